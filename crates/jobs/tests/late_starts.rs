//! Start orders without a response that a restarted worker may still carry out.

mod common;

use {
    common::{Leader, Sent, UNIX_START_MS, advised_queue, queue, step},
    fuchsiatack_jobs::{
        CellCall, EndedRun, HoldKind, HoldReport, JobAction, JobCall, JobEvent, JobId, JobState, ListedEnd,
        Queue, RunId, StepSpec, WorkerCallError,
    },
    fuchsiatack_model::WorkerName,
    smol_str::format_smolstr,
};

const JOB: JobId = JobId(1);
/// Longer than every lease on a restarted worker, in milliseconds.
const LEASE_EXPIRY_MS: u64 = 12_000;
const TICK_MS: u64 = 25;
/// Time for which an order without a response may be carried out, in milliseconds.
const LATE_ORDER_MS: u64 = 12_000;
/// Time from an order without a response until its task starts again at the latest, if its worker responds, in
/// milliseconds.
const REPEAT_MS: u64 = 16_000;
/// Response time-out of an order in milliseconds.
const TIMEOUT_MS: u64 = 350;
/// Start time of the first incarnation of the workers.
const FIRST_START_MS: u64 = 1;

fn lasting_step() -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(1, 600)
    }
}

fn cancel(leader: &mut Leader) {
    leader.call(CellCall::Job(JobCall {
        action: JobAction::Cancel,
        host: "host".into(),
        key: Some("key".into()),
        path: format_smolstr!("/q/{JOB}"),
    }));
}

/// Advances the time while worker `a` sends heartbeats and responds to no call.
fn advance_without_responses(leader: &mut Leader, duration_ms: u64) {
    for number in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        for call in leader.take_calls() {
            fail(leader, call);
        }
        leader.heartbeat_of("a", UNIX_START_MS, number + 2);
    }
}

fn fail(leader: &mut Leader, call: Sent) {
    match call {
        Sent::Check(_) => leader.complete_hold("a", HoldKind::Check, Err(WorkerCallError::Unanswered)),
        Sent::Renew { .. } => leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unanswered)),
        Sent::Stop { run, worker } => leader.handle(JobEvent::Stopped {
            result: Err(WorkerCallError::Unanswered),
            run,
            sent_ms: leader.now_ms,
            worker,
        }),
        Sent::Advise { .. } | Sent::Pace { .. } | Sent::Start { .. } => {}
    }
}

fn stops_during(leader: &mut Leader, duration_ms: u64, run: RunId) -> bool {
    let worker = WorkerName::new("a");
    let stop = Sent::Stop { run, worker };
    let mut calls = Vec::new();
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        calls.extend(leader.take_calls());
    }
    calls.contains(&stop)
}

/// Guards against a run that starts and continues after its job was cancelled: the worker restarted, its
/// new incarnation responded to no stop until the leases had expired, and the leader sent it none when it
/// responded again. The deadline in the start order is on the clock of the earlier incarnation.
#[test]
fn late_start_is_stopped_on_a_restarted_worker_that_responds_after_its_leases() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JOB, vec![lasting_step()]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.heartbeat_of("a", UNIX_START_MS, 1);
    cancel(&mut leader);
    advance_without_responses(&mut leader, LEASE_EXPIRY_MS);

    leader.report_of("a", HoldKind::Renewal, UNIX_START_MS, &[]);

    assert!(stops_during(&mut leader, 500, run));
}

/// Returns a leader of workers `a` and `b` whose start order for a task had no response, with the run.
fn leader_with_an_unanswered_start(queue: Queue) -> (Leader, RunId, WorkerName) {
    let mut leader = Leader::new(queue, &["a", "b"]);
    leader.submit(JOB, vec![step(1, 600)]);
    let (run, worker) = take_starts_after_advice(&mut leader).remove(0);
    leader.advance(TIMEOUT_MS);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    (leader, run, worker)
}

/// Responds to the advice requests, and returns the runs that are started.
fn take_starts_after_advice(leader: &mut Leader) -> Vec<(RunId, WorkerName)> {
    let calls = leader.take_calls();
    for call in &calls {
        if let Sent::Advise { by, request } = call {
            leader.advised(*by, request);
        }
    }
    let starts = calls.into_iter().chain(leader.take_calls());
    starts
        .filter_map(|call| match call {
            Sent::Start { run, worker } => Some((run, worker)),
            _ => None,
        })
        .collect()
}

/// Advances the time while the workers confirm each stop, have no runs and answer each advice request. Returns
/// the starts with the time since the beginning.
fn starts_during(leader: &mut Leader, duration_ms: u64) -> Vec<(u64, RunId, WorkerName)> {
    let begin_ms = leader.now_ms;
    let mut starts = Vec::new();
    while leader.now_ms < begin_ms + duration_ms {
        leader.advance(TICK_MS);
        leader.heartbeat("a");
        leader.heartbeat("b");
        for call in leader.take_calls() {
            match call {
                Sent::Advise { by, request } => leader.advised(by, &request),
                Sent::Check(worker) => {
                    leader.report_of(worker.as_str(), HoldKind::Check, FIRST_START_MS, &[])
                }
                Sent::Renew { worker, .. } => {
                    leader.report_of(worker.as_str(), HoldKind::Renewal, FIRST_START_MS, &[])
                }
                Sent::Start { run, worker } => {
                    starts.push((leader.now_ms - begin_ms, run, worker.clone()));
                    leader.started(&worker, run, Ok(leader.now_ms));
                }
                Sent::Stop { run, worker } => leader.stopped(&worker, run),
                Sent::Pace { .. } => {}
            }
        }
    }
    starts
}

/// Guards against a task that runs twice at the same time or after it is done: it started elsewhere once the
/// worker had confirmed the stop, and the next incarnation of that worker carried the first order out.
#[test]
fn task_waits_until_a_start_order_without_a_ticket_has_expired() {
    let (mut leader, run, _) = leader_with_an_unanswered_start(queue());

    let early = starts_during(&mut leader, LATE_ORDER_MS);
    let late = starts_during(&mut leader, REPEAT_MS - LATE_ORDER_MS);

    assert_eq!(early, Vec::new());
    assert!(
        !late.is_empty(),
        "the task starts again after the order has expired"
    );
    assert_eq!(late[0].1.number, run.number + 1);
}

/// Guards against tasks that wait for no reason: the next incarnation of the worker rejects the ticket.
#[test]
fn task_whose_start_order_had_a_ticket_starts_elsewhere_without_the_wait() {
    let (mut leader, run, first) = leader_with_an_unanswered_start(advised_queue());

    let starts = starts_during(&mut leader, 500);

    assert!(!starts.is_empty(), "the task starts again at once");
    assert_eq!(starts[0].1.number, run.number + 1);
    assert_ne!(starts[0].2, first);
}

/// Guards against tasks that wait for no reason: the earlier incarnation has carried the order out.
#[test]
fn task_whose_start_an_earlier_incarnation_confirmed_starts_without_the_wait() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    leader.submit(JOB, vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    let sent_ms = leader.now_ms;
    leader.advance(TICK_MS);
    leader.heartbeat_of(worker.as_str(), UNIX_START_MS, 1);
    leader.handle(JobEvent::Started {
        result: Ok(0),
        run,
        sent_ms,
        worker: worker.clone(),
    });
    leader.advance(TICK_MS);
    leader.report_of(worker.as_str(), HoldKind::Check, UNIX_START_MS, &[]);
    leader.advance(TICK_MS);
    leader.stopped(&worker, run);

    leader.report_of(worker.as_str(), HoldKind::Check, UNIX_START_MS, &[]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against a new leader that starts a task elsewhere because its run is missing on the worker: the order
/// of the earlier leader may still be carried out.
#[test]
fn new_leader_waits_until_a_start_order_without_a_ticket_has_expired() {
    let (mut leader, run, _) = leader_with_an_unanswered_start(queue());
    leader.replace_planner();

    let early = starts_during(&mut leader, LATE_ORDER_MS);
    let late = starts_during(&mut leader, REPEAT_MS - LATE_ORDER_MS);

    assert_eq!(early, Vec::new());
    assert!(
        !late.is_empty(),
        "the task starts again after the order has expired"
    );
    assert_eq!(late[0].1.number, run.number + 1);
}

/// Guards against a new leader that lets the tasks of queues with advice wait for no reason.
#[test]
fn new_leader_starts_a_task_of_a_queue_with_advice_without_the_wait() {
    let (mut leader, run, _) = leader_with_an_unanswered_start(advised_queue());
    leader.replace_planner();

    let starts = starts_during(&mut leader, 1_000);

    assert!(!starts.is_empty(), "the task starts again at once");
    assert_eq!(starts[0].1.number, run.number + 1);
}

/// Guards against a task that starts elsewhere as soon as the leases on its silent worker have expired: the
/// worker may have restarted, and carries the first order out under a lease of the full length.
#[test]
fn task_on_a_silent_worker_waits_until_its_start_order_has_expired() {
    let (mut leader, _, worker) = leader_with_an_unanswered_start(queue());
    let other = if worker.as_str() == "a" { "b" } else { "a" };

    let mut starts = Vec::new();
    for _ in 0..LATE_ORDER_MS / TICK_MS {
        leader.advance(TICK_MS);
        leader.heartbeat(other);
        for call in leader.take_calls() {
            match call {
                Sent::Start { run, .. } => starts.push(run),
                Sent::Renew { worker: to, .. } if to != worker => {
                    leader.report_of(other, HoldKind::Renewal, FIRST_START_MS, &[])
                }
                Sent::Check(to) | Sent::Renew { worker: to, .. } => {
                    let error = Err(WorkerCallError::Unanswered);
                    leader.complete_hold(to.as_str(), HoldKind::Renewal, error.clone());
                    leader.complete_hold(to.as_str(), HoldKind::Check, error);
                }
                Sent::Advise { .. } | Sent::Pace { .. } | Sent::Stop { .. } => {}
            }
        }
    }

    assert_eq!(starts, Vec::new());
}

/// Guards against a task that starts elsewhere because a worker with another name serves the address, while the
/// first one may return there.
#[test]
fn task_on_a_replaced_worker_waits_until_its_start_order_has_expired() {
    let (mut leader, _, worker) = leader_with_an_unanswered_start(queue());
    leader.take_calls();

    leader.complete_hold(
        worker.as_str(),
        HoldKind::Check,
        Err(WorkerCallError::WrongWorker),
    );

    assert_eq!(leader.take_starts(), Vec::new());
    assert!(leader.store().workers.contains_key(&worker));
}

/// Guards against a gang that is recorded as done while the start order of a member may still be carried out.
#[test]
fn end_of_a_gang_member_is_held_back_while_another_one_may_start_late() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    let gang = StepSpec {
        gang: true,
        max_per_worker: Some(1),
        ..step(2, 600)
    };
    leader.submit(JOB, vec![gang]);
    let members = leader.take_starts();
    let (ended, ended_on) = members[0].clone();
    let (late, late_on) = members[1].clone();
    leader.started(&ended_on, ended, Ok(leader.now_ms));
    leader.advance(TIMEOUT_MS);
    leader.started(&late_on, late, Err(WorkerCallError::Unanswered));

    report_done(&mut leader, &ended_on, ended);
    let before = leader.store().jobs[&JOB].state();
    leader.report_runs(late_on.as_str(), HoldKind::Check, &[(late, 50)], &[]);
    report_done(&mut leader, &ended_on, ended);

    assert_eq!(before, JobState::Running);
    assert_eq!(leader.store().jobs[&JOB].state(), JobState::Completed);
}

fn report_done(leader: &mut Leader, worker: &WorkerName, run: RunId) {
    let ended = EndedRun {
        checkpoint: Default::default(),
        end: ListedEnd::Done,
        reason: "done".into(),
        run,
        sequence: 1,
    };
    leader.advance(TICK_MS);
    let report = HoldReport {
        started_unix_ms: Some(FIRST_START_MS),
        clock_ms: leader.now_ms,
        ended: vec![ended],
        running: Vec::new(),
        unreadable_rows: Vec::new(),
    };
    leader.complete_hold(worker.as_str(), HoldKind::Renewal, Ok(report));
}
