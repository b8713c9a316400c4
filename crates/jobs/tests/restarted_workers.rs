//! Restarts that the leader has to notice: of workers whose clock was set back, and while the response of the
//! earlier incarnation to an order is on its way.

mod common;

use {
    common::{Leader, Sent, UNIX_START_MS, WORKER_CAPACITY, queue, step},
    fuchsiatack_jobs::{HoldKind, JobEvent, JobId, RunId, StepSpec, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

const FIRST_START_MS: u64 = UNIX_START_MS;
const SECOND_START_MS: u64 = UNIX_START_MS - 2_000;
const TICK_MS: u64 = 25;

/// Guards against a leader that ignores all reports of the new incarnation: it took the run as present for
/// ever, so that the task did not start again, and called the worker at every tick.
#[test]
fn run_is_started_again_after_a_restart_with_an_earlier_start_time() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    leader.heartbeat_of("a", FIRST_START_MS, 1);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    let now_ms = leader.now_ms;
    leader.started(&worker, run, Ok(now_ms));

    let mut starts = 0;
    for sequence in 1..=1_000 / TICK_MS {
        leader.advance(TICK_MS);
        leader.heartbeat_of("a", SECOND_START_MS, sequence);
        for call in leader.take_calls() {
            match call {
                Sent::Check(_) => leader.report_of("a", HoldKind::Check, SECOND_START_MS, &[]),
                Sent::Renew { .. } => leader.report_of("a", HoldKind::Renewal, SECOND_START_MS, &[]),
                Sent::Start { .. } => starts += 1,
                Sent::Advise { .. } | Sent::Pace { .. } | Sent::Stop { .. } => {}
            }
        }
    }

    assert_eq!(starts, 1);
}

/// Guards against a restart of an idle worker that the leader never notices, so that late starts on the new
/// incarnation are not stopped.
#[test]
fn idle_worker_is_asked_after_a_heartbeat_with_an_earlier_start_time() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    leader.advance(TICK_MS);
    leader.take_calls();

    leader.heartbeat_of("a", SECOND_START_MS, 1);
    leader.advance(TICK_MS);

    assert!(leader.take_calls().contains(&Sent::Check(WorkerName::new("a"))));
}

/// Guards against a stop that counts as confirmed by the new incarnation of a worker although only the earlier
/// one confirmed it: the response was handled after the restart.
#[test]
fn stop_that_an_earlier_incarnation_confirmed_is_repeated() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.advance(3);
    leader.report_runs("a", HoldKind::Check, &[], &[]);
    let stop_sent_ms = leader.now_ms;
    leader.advance(100);
    leader.heartbeat_of("a", FIRST_START_MS, 1);
    leader.take_calls();

    leader.handle(JobEvent::Stopped {
        result: Ok(leader.now_ms),
        run,
        sent_ms: stop_sent_ms,
        worker: worker.clone(),
    });
    leader.advance(TICK_MS);

    assert!(leader.take_calls().contains(&Sent::Stop { run, worker }));
}

/// Guards against a run that counts as present on the new incarnation of a worker because the earlier one
/// confirmed its start: the response was handled after the restart.
#[test]
fn start_that_an_earlier_incarnation_confirmed_is_checked() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    let start_sent_ms = leader.now_ms;
    leader.advance(100);
    leader.heartbeat_of("a", FIRST_START_MS, 1);
    leader.take_calls();

    leader.handle(JobEvent::Started {
        result: Ok(1_000_000),
        run,
        sent_ms: start_sent_ms,
        worker: worker.clone(),
    });
    leader.advance(TICK_MS);

    assert!(leader.take_calls().contains(&Sent::Check(worker.clone())));
    leader.report_of("a", HoldKind::Check, FIRST_START_MS, &[]);
    assert!(leader.take_calls().contains(&Sent::Stop { run, worker }));
}

/// Guards against a worker that gets no work any more: it returned as another kind, and a report told of the
/// restart before its first heartbeat, so that the heartbeats seemed to come from another writer.
#[test]
fn worker_that_returns_as_another_kind_gets_runs() {
    for started_unix_ms in [FIRST_START_MS, SECOND_START_MS] {
        let mut leader = Leader::new(queue(), &["a"]);
        leader.heartbeat_of("a", FIRST_START_MS - 1, 1);
        leader.report_of("a", HoldKind::Renewal, FIRST_START_MS - 1, &[]);
        leader.advance(TICK_MS);
        leader.report_of("a", HoldKind::Renewal, started_unix_ms, &[]);
        let mut changed = leader.report_with("a", started_unix_ms, 1, WORKER_CAPACITY);
        changed.labels = vec!["other-kind".into(), "rack".into()];

        leader.heartbeat_report(changed);
        leader.submit(JobId(1), vec![labelled_step("other-kind")]);

        assert_eq!(leader.take_starts().len(), 1, "start time {started_unix_ms}");
    }
}

/// Guards against the same if the leader changes between the report and the heartbeat.
#[test]
fn worker_that_returns_as_another_kind_gets_runs_of_a_new_leader() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    leader.replace_planner();
    leader.advance(TICK_MS);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    let mut changed = leader.report_with("a", FIRST_START_MS, 1, WORKER_CAPACITY);
    changed.labels = vec!["other-kind".into(), "rack".into()];

    leader.heartbeat_report(changed);
    leader.submit(JobId(1), vec![labelled_step("other-kind")]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against another writer that describes a restarted worker before the worker itself does: orders to the
/// worker would go to another address.
#[test]
fn restarted_worker_keeps_the_address_at_which_it_answered() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    let mut odd = leader.report_with("a", FIRST_START_MS, 1, WORKER_CAPACITY);
    let address = odd.address;
    odd.address = "127.0.0.1:2".parse().expect("the address is valid");

    leader.heartbeat_report(odd);

    assert_eq!(leader.store().workers["a"].address, address);
}

/// Returns a step of one task that needs a label.
fn labelled_step(label: &str) -> StepSpec {
    StepSpec {
        required_label: Some(label.into()),
        ..step(1, 600)
    }
}

/// Returns a leader with a run on the second incarnation of worker `a`, and a run whose start order was sent
/// to the first one and has had no response.
fn leader_with_an_order_to_the_earlier_incarnation() -> (Leader, RunId, RunId) {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (ordered, _) = leader.take_starts().remove(0);
    leader.advance(TICK_MS);
    leader.heartbeat_of("a", FIRST_START_MS, 1);
    leader.report_of("a", HoldKind::Renewal, FIRST_START_MS, &[]);
    leader.submit(JobId(2), vec![step(1, 600)]);
    let (present, worker) = leader.take_starts().remove(0);
    leader.started(&worker, present, Ok(leader.now_ms));
    leader.advance(TICK_MS);
    leader.take_commands();
    (leader, ordered, present)
}

/// Guards against two runs of a task: a renewal that was sent to the earlier incarnation met another worker at the
/// address, and its response ended the runs of the next incarnation while they continued.
#[test]
fn renewal_that_met_a_successor_before_a_restart_ends_no_runs() {
    let (mut leader, ..) = leader_with_an_order_to_the_earlier_incarnation();

    leader.handle(JobEvent::Held {
        kind: HoldKind::Renewal,
        result: Err(WorkerCallError::WrongWorker),
        sent_ms: 0,
        worker: WorkerName::new("a"),
    });

    assert_eq!(leader.take_commands(), []);
}

/// Guards against the same after a start order. Its own run has certainly not started.
#[test]
fn start_that_met_a_successor_before_a_restart_ends_no_other_run() {
    let (mut leader, ordered, present) = leader_with_an_order_to_the_earlier_incarnation();

    leader.handle(JobEvent::Started {
        result: Err(WorkerCallError::WrongWorker),
        run: ordered,
        sent_ms: 0,
        worker: WorkerName::new("a"),
    });

    let job = &leader.store().jobs[&present.task.step.job];
    assert_eq!(job.runs().map(|(run, _)| run).collect::<Vec<_>>(), [present]);
    assert!(leader.store().workers.contains_key("a"));
}

/// Time for which an order without a response may still be carried out, in milliseconds.
const LATE_ORDER_MS: u64 = 12_000;

/// Returns a leader whose renewal, which acknowledged the end of a run on worker `a`, had no response before
/// the worker restarted.
fn leader_with_a_late_acknowledgement() -> Leader {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(2, 600)]);
    let started = leader.take_starts();
    for (run, worker) in &started {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    leader.advance(200);
    leader.report_runs(
        "a",
        HoldKind::Renewal,
        &[(started[1].0, 20)],
        &[(1, started[0].0)],
    );
    leader.advance(150);
    leader.take_calls();
    leader.advance(400);
    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unanswered));
    leader
}

/// Has the next incarnation of the worker send heartbeats and answer renewals. Returns the number of starts
/// on it.
fn starts_on_the_next_incarnation(leader: &mut Leader, duration_ms: u64) -> usize {
    const NEXT_START_MS: u64 = UNIX_START_MS + 1;
    let mut starts = 0;
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        leader.heartbeat_of("a", NEXT_START_MS, leader.now_ms);
        for call in leader.take_calls() {
            match call {
                Sent::Check(_) => leader.report_of("a", HoldKind::Check, NEXT_START_MS, &[]),
                Sent::Renew { .. } => leader.report_of("a", HoldKind::Renewal, NEXT_START_MS, &[]),
                Sent::Start { .. } => starts += 1,
                Sent::Advise { .. } | Sent::Pace { .. } | Sent::Stop { .. } => {}
            }
        }
    }
    starts
}

/// Guards against a second start of tasks that are done: a renewal that acknowledged ends of the earlier
/// incarnation was carried out by the next one, which forgot ends that the leader had not seen.
#[test]
fn worker_that_may_forget_ends_gets_no_task_that_ends() {
    let mut leader = leader_with_a_late_acknowledgement();

    let early = starts_on_the_next_incarnation(&mut leader, LATE_ORDER_MS);
    let late = starts_on_the_next_incarnation(&mut leader, 4_000);

    assert_eq!(early, 0);
    assert_eq!(late, 1);
}

/// Guards against lasting tasks that wait for no reason: they start again however they end.
#[test]
fn worker_that_may_forget_ends_gets_lasting_tasks() {
    let mut leader = leader_with_a_late_acknowledgement();
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 0)
    };
    leader.submit(JobId(2), vec![lasting]);

    let starts = starts_on_the_next_incarnation(&mut leader, 1_000);

    assert_eq!(starts, 1);
}

/// Guards against workers that are left unused after each restart, also if every renewal had a response.
#[test]
fn restarted_worker_is_used_at_once_if_all_renewals_were_answered() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.started(&worker, run, Ok(leader.now_ms));

    let starts = starts_on_the_next_incarnation(&mut leader, 1_000);

    assert_eq!(starts, 1);
}

/// Guards against a task that is started again and again on a worker that crashes under it, while another
/// worker is free.
#[test]
fn task_is_kept_from_the_worker_that_crashed_under_it() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    leader.submit(JobId(1), vec![step(1, 9_000)]);
    let (run, first) = leader.take_starts().remove(0);
    leader.started(&first, run, Ok(leader.now_ms));
    leader.advance(2_500);
    leader.complete_hold(
        first.as_str(),
        HoldKind::Renewal,
        Err(WorkerCallError::Unreachable),
    );

    leader.heartbeat(first.as_str());
    leader.heartbeat("b");
    leader.heartbeat_of(first.as_str(), UNIX_START_MS, 1);
    leader.advance(TICK_MS);
    leader.report_of(first.as_str(), HoldKind::Renewal, UNIX_START_MS, &[]);
    let starts = leader.take_starts();

    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].1, first);
}
