//! Orders to empty data centres. Guards against starts in a data centre that an operator has had emptied, and
//! against orders that are lost.

mod common;

use {
    common::{Leader, Sent, advised_queue, queue, step},
    fuchsiatack_jobs::{
        AdviceRequest, AdviceResponse, CellCall, CellResponse, HoldKind, JobEvent, JobId, JobStore, Queue,
        RunId, StepSpec, WaitReason, WorkerCallError,
    },
    fuchsiatack_model::{DataCenter, WorkerName},
};

const JOB: JobId = JobId(1);
/// Steps of the planner's clock in which a test waits, in milliseconds.
const TICK_MS: u64 = 100;

fn evacuate(data_center: &str) -> CellCall {
    CellCall::EvacuateDataCenter {
        data_center: DataCenter::new(data_center),
        ordered_by: None,
    }
}

fn restore(data_center: &str) -> CellCall {
    CellCall::RestoreDataCenter(DataCenter::new(data_center))
}

/// Handles a heartbeat of a worker in a data centre.
fn heartbeat_in(leader: &mut Leader, worker: &str, data_center: &str, sequence: u64) {
    let mut report = leader.report_with(worker, 1, sequence, common::WORKER_CAPACITY);
    report.data_center = DataCenter::new(data_center);
    leader.heartbeat_report(report);
}

/// Returns a leader with workers in data centres that have answered a first renewal.
fn leader_with(queue: Queue, workers: &[(&str, &str)]) -> Leader {
    let mut leader = Leader::new(queue, &[]);
    register(&mut leader, workers);
    leader
}

fn register(leader: &mut Leader, workers: &[(&str, &str)]) {
    for (worker, data_center) in workers {
        heartbeat_in(leader, worker, data_center, 1_000);
    }
    leader.take_calls();
    for (worker, _) in workers {
        leader.report_runs(worker, HoldKind::Renewal, &[], &[]);
    }
}

fn names(starts: &[(RunId, WorkerName)]) -> Vec<&str> {
    starts.iter().map(|(_, worker)| worker.as_str()).collect()
}

/// Waits for a second, with heartbeats of the workers, and returns the runs that were started.
fn wait(leader: &mut Leader, workers: &[(&str, &str)], round: u64) -> Vec<(RunId, WorkerName)> {
    let mut starts = Vec::new();
    for step in 0..10 {
        leader.advance(TICK_MS);
        for (worker, data_center) in workers {
            heartbeat_in(leader, worker, data_center, 2_000 + round * 10 + step);
        }
        starts.extend(leader.take_starts());
    }
    starts
}

/// Guards against a start after the acknowledgement, and against work that is never started again after the
/// order is withdrawn.
#[test]
fn nothing_is_started_in_an_evacuated_data_center_until_it_is_restored() {
    let workers = [("a1", "a"), ("a2", "a")];
    let mut leader = leader_with(queue(), &workers);
    leader.call(evacuate("a"));
    leader.take_calls();

    leader.submit(JOB, vec![step(2, 1_000)]);
    let evacuated = wait(&mut leader, &workers, 1);
    leader.call(restore("a"));
    let restored = wait(&mut leader, &workers, 2);

    assert_eq!(names(&evacuated), Vec::<&str>::new());
    assert_eq!(restored.len(), 2);
}

/// Guards against work that waits although another data centre has room, and against runs that an order stops.
#[test]
fn other_data_centers_get_the_work_and_present_runs_go_on() {
    let workers = [("a1", "a"), ("b1", "b")];
    let mut leader = leader_with(queue(), &workers);
    leader.submit(JOB, vec![step(16, 60_000)]);
    let before = leader.take_starts();
    for (run, worker) in &before {
        leader.started(worker, *run, Ok(0));
    }
    leader.call(evacuate("a"));

    let stops = leader.take_calls();
    leader.now_ms += TICK_MS;
    end_two_runs(&mut leader, "a1", &before);
    end_two_runs(&mut leader, "b1", &before);
    leader.submit(JobId(2), vec![step(4, 60_000)]);
    let after = leader.take_starts();

    assert_eq!(before.len(), 16, "both workers are full");
    assert!(
        !stops.iter().any(|call| matches!(call, Sent::Stop { .. })),
        "{stops:?}"
    );
    assert_eq!(names(&after), ["b1", "b1"]);
}

/// Guards against an order that only the leader that acknowledged it knows.
#[test]
fn later_leader_keeps_the_order() {
    let workers = [("a1", "a")];
    let mut leader = leader_with(queue(), &workers);
    leader.call(evacuate("a"));
    leader.take_calls();

    leader.replace_planner();
    register(&mut leader, &workers);
    leader.submit(JOB, vec![step(1, 1_000)]);
    let starts = wait(&mut leader, &workers, 1);

    assert_eq!(names(&starts), Vec::<&str>::new());
}

/// Guards against an order that counts although its leader was lost before the commit, and against a resent
/// order that is not answered.
#[test]
fn order_that_was_not_committed_is_effective_once_it_is_resent() {
    let workers = [("a1", "a")];
    let mut leader = leader_with(queue(), &workers);
    let committed: JobStore = leader.store().clone();
    leader.call(evacuate("a"));

    leader.replace_planner_with(committed);
    register(&mut leader, &workers);
    leader.submit(JOB, vec![step(1, 60_000)]);
    let before = leader.take_starts();
    leader.call(evacuate("a"));
    leader.call(evacuate("a"));
    let responses = acknowledgements(&mut leader);
    leader.submit(JobId(2), vec![step(1, 60_000)]);
    let after = wait(&mut leader, &workers, 1);

    assert_eq!(before.len(), 1, "no order was committed");
    assert_eq!(responses, 2);
    assert_eq!(names(&after), Vec::<&str>::new());
}

/// Guards against a state other than that of the order that was committed last.
#[test]
fn concurrent_orders_count_in_the_order_of_their_commits() {
    let mut leader = leader_with(queue(), &[("a1", "a")]);

    for call in [evacuate("a"), restore("a"), evacuate("a"), evacuate("a")] {
        leader.call(call);
    }
    let evacuated = leader.store().extension.evacuations.len();
    for call in [restore("a"), evacuate("a"), restore("a"), restore("a")] {
        leader.call(call);
    }
    let responses = acknowledgements(&mut leader);

    assert_eq!(evacuated, 1);
    assert!(leader.store().extension.evacuations.is_empty());
    assert_eq!(responses, 8, "each order is acknowledged");
}

/// Guards against workers that register after the order and get work.
#[test]
fn workers_that_register_later_are_evacuated_as_well() {
    let mut leader = leader_with(queue(), &[]);
    leader.call(evacuate("late"));
    leader.take_calls();

    let workers = [("l1", "late")];
    register(&mut leader, &workers);
    leader.submit(JOB, vec![step(1, 1_000)]);
    let starts = wait(&mut leader, &workers, 1);

    assert_eq!(names(&starts), Vec::<&str>::new());
}

/// Guards against operators who cannot see why work waits, or when a data centre is empty.
#[test]
fn waits_and_remaining_runs_are_reported() {
    let workers = [("a1", "a"), ("b1", "b")];
    let mut leader = leader_with(queue(), &workers);
    let mut large = step(1, 60_000);
    large.required_label = Some("kind".into());
    leader.submit(JOB, vec![large.clone()]);
    for (run, worker) in leader.take_starts() {
        leader.started(&worker, run, Ok(0));
    }
    let runs_in_a = runs_on(&leader, "a1");
    leader.call(evacuate("a"));
    leader.call(evacuate("b"));
    leader.submit(JobId(2), vec![large]);
    leader.take_calls();
    leader.advance(2_000);

    let report = leader.take_report().expect("a report is due");

    let of_a = &report.evacuations[0];
    assert_eq!(
        (of_a.data_center.as_str(), of_a.workers, of_a.runs),
        ("a", 1, runs_in_a)
    );
    assert_eq!(report.evacuations.len(), 2);
    leader.advance(TICK_MS);
    leader.take_calls();
    leader.advance(1_000);
    let report = leader.take_report().expect("a report is due");
    let reasons: Vec<_> = report
        .backlog
        .iter()
        .flat_map(|entry| entry.waits.iter())
        .collect();
    assert!(
        reasons.iter().any(|(reason, _)| *reason == WaitReason::Evacuated),
        "{reasons:?}"
    );
}

/// Guards against advice requests on workers that get no work, and against workers on which no advice is
/// requested any more after the data centre is restored.
#[test]
fn advice_is_requested_only_on_workers_that_may_get_work() {
    let workers = [("a1", "a"), ("b1", "b")];
    let mut leader = leader_with(advised_queue(), &workers);
    leader.submit(JOB, vec![step(16, 60_000)]);
    let both = take_requests(&mut leader);
    leader.call(evacuate("a"));
    leader.advised(None, &both[0]);
    let starts = leader.take_starts();
    leader.submit(JobId(2), vec![step(1, 60_000)]);
    let evacuated = requests_of(&mut leader, &workers, 1);
    leader.call(restore("a"));
    let restored = requests_of(&mut leader, &workers, 2);

    assert_eq!(both[0].workers.len(), 2);
    assert_eq!(starts.len(), 8);
    assert!(names(&starts).iter().all(|worker| *worker == "b1"));
    assert!(!names_in(&evacuated).contains(&"a1".to_owned()), "{evacuated:?}");
    assert!(names_in(&restored).contains(&"a1".to_owned()), "{restored:?}");
}

/// Guards against room that is kept for a gang on workers that it cannot use any more.
#[test]
fn gang_reserves_room_only_elsewhere() {
    let workers = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let mut leader = leader_with(queue(), &workers);
    leader.submit(JOB, vec![step(32, 3_000)]);
    let filling = leader.take_starts();
    for (run, worker) in &filling {
        leader.started(worker, *run, Ok(0));
    }
    leader.submit(JobId(2), vec![gang(2)]);
    leader.take_calls();
    leader.call(evacuate("a"));
    leader.take_calls();

    leader.now_ms += TICK_MS;
    for (worker, _) in &workers {
        let ended = filling.iter().filter(|(_, on)| on.as_str() == *worker);
        let ended: Vec<_> = (1..)
            .zip(ended)
            .map(|(number, (run, _))| (number, *run))
            .collect();
        leader.report_runs(worker, HoldKind::Renewal, &[], &ended);
    }
    let mut starts = leader.take_starts();
    starts.extend(wait(&mut leader, &workers, 1));

    assert_eq!(filling.len(), 32);
    let mut on = names(&starts);
    on.sort_unstable();
    assert_eq!(on, ["b1", "b2"]);
}

/// Guards against a start order without a response that a worker carries out long after the acknowledgement.
#[test]
fn unanswered_start_into_an_evacuated_data_center_is_stopped() {
    let workers = [("a1", "a")];
    let mut leader = leader_with(queue(), &workers);
    leader.submit(JOB, vec![step(1, 60_000)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.call(evacuate("a"));
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));

    // The check that would show the run has no response either.
    let mut stopped_ms = None;
    for _ in 0..40 {
        leader.advance(TICK_MS);
        let calls = leader.take_calls();
        let is_stop = |call: &Sent| matches!(call, Sent::Stop { run: stopped, .. } if *stopped == run);
        if calls.iter().any(is_stop) {
            stopped_ms = Some(leader.now_ms);
            break;
        }
    }

    assert!(stopped_ms.is_some_and(|ms| ms <= 2_000), "{stopped_ms:?}");
}

/// Guards against an order of an earlier leader that is carried out after the acknowledgement.
#[test]
fn start_of_an_earlier_leader_that_its_worker_does_not_list_is_stopped() {
    let workers = [("a1", "a")];
    let mut leader = leader_with(queue(), &workers);
    leader.submit(JOB, vec![step(1, 60_000)]);
    let (run, _) = leader.take_starts().remove(0);
    leader.replace_planner();
    leader.call(evacuate("a"));
    leader.advance(TICK_MS);
    leader.take_calls();

    leader.report_runs("a1", HoldKind::Renewal, &[], &[]);
    leader.advance(TICK_MS);
    let calls = leader.take_calls();

    let is_stop = |call: &Sent| matches!(call, Sent::Stop { run: stopped, .. } if *stopped == run);
    assert!(calls.iter().any(is_stop), "{calls:?}");
}

fn acknowledgements(leader: &mut Leader) -> usize {
    leader
        .take_cell_responses()
        .into_iter()
        .filter(|response| *response == CellResponse::Done)
        .count()
}

/// Reports the ends of two of a worker's runs.
fn end_two_runs(leader: &mut Leader, worker: &str, starts: &[(RunId, WorkerName)]) {
    let here = starts.iter().filter(|(_, on)| on.as_str() == worker);
    let here: Vec<_> = here.map(|(run, _)| *run).collect();
    let (ended, running) = here.split_at(2);
    let running: Vec<_> = running.iter().map(|run| (*run, 10)).collect();
    let ended: Vec<_> = (1..).zip(ended.iter().copied()).collect();
    leader.report_runs(worker, HoldKind::Renewal, &running, &ended);
}

fn gang(tasks: u32) -> StepSpec {
    let mut spec = step(tasks, 60_000);
    spec.gang = true;
    spec.max_per_worker = Some(1);
    spec.demand.processors_millis = 16_000;
    spec
}

fn names_in(requests: &[AdviceRequest]) -> Vec<String> {
    let workers = requests.iter().flat_map(|request| &request.workers);
    workers.map(|worker| worker.to_string()).collect()
}

fn runs_on(leader: &Leader, worker: &str) -> usize {
    let runs = leader.store().jobs.values().flat_map(|job| job.runs());
    runs.filter(|(_, on)| on.as_str() == worker).count()
}

fn take_requests(leader: &mut Leader) -> Vec<AdviceRequest> {
    let calls = leader.take_calls().into_iter();
    calls
        .filter_map(|call| match call {
            Sent::Advise { request, .. } => Some(request),
            _ => None,
        })
        .collect()
}

/// Returns the advice requests of a second, in which no worker is found eligible.
fn requests_of(leader: &mut Leader, workers: &[(&str, &str)], round: u64) -> Vec<AdviceRequest> {
    let mut requests = Vec::new();
    for step in 0..10 {
        leader.advance(TICK_MS);
        for (worker, data_center) in workers {
            heartbeat_in(leader, worker, data_center, 2_000 + round * 10 + step);
        }
        for request in take_requests(leader) {
            let response = AdviceResponse {
                eligible: Vec::new(),
                unreadable_rows: 0,
                valid_ms: None,
            };
            leader.handle(JobEvent::Advised {
                by: None,
                response: Ok(response),
                step: request.step,
            });
            requests.push(request);
        }
    }
    requests
}
