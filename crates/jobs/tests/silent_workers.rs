//! Workers that are silent or slow to report for a while.

mod common;

use {
    common::{Leader, Sent, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, RunId, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

/// Time between two reports of a worker, in milliseconds.
const REPORT_MS: u64 = 500;

/// Returns a leader of which the worker `a` has a confirmed run of the only task.
fn leader_with_run() -> (Leader, RunId) {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 60_000)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.started(&worker, run, Ok(leader.now_ms));
    (leader, run)
}

/// Returns the starts and stops among the calls.
fn starts_and_stops(calls: Vec<Sent>) -> Vec<Sent> {
    let is_order = |call: &Sent| matches!(call, Sent::Start { .. } | Sent::Stop { .. });
    calls.into_iter().filter(is_order).collect()
}

/// Guards against runs that are stopped or started again since the heartbeats of their worker do not arrive,
/// while it answers the leader's calls.
#[test]
fn run_stays_on_a_worker_without_heartbeats() {
    let (mut leader, run) = leader_with_run();
    leader.heartbeat("b");
    leader.take_calls();
    leader.report_runs("b", HoldKind::Renewal, &[], &[]);

    let mut orders = Vec::new();
    for percent in 1..=40 {
        leader.advance(REPORT_MS);
        leader.heartbeat("b");
        orders.extend(starts_and_stops(leader.take_calls()));
        leader.report_runs("a", HoldKind::Renewal, &[(run, percent)], &[]);
    }

    assert_eq!(orders, []);
}

/// Guards against a second run, or a lost first one, after a worker has not answered for a time in which
/// its lease may not have expired.
#[test]
fn run_stays_on_a_worker_that_answers_again_within_its_lease() {
    let (mut leader, run) = leader_with_run();
    leader.heartbeat("b");
    leader.take_calls();
    leader.report_runs("b", HoldKind::Renewal, &[], &[]);

    let mut orders = Vec::new();
    for _ in 0..6 {
        leader.advance(REPORT_MS);
        leader.heartbeat("b");
        leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unanswered));
        orders.extend(starts_and_stops(leader.take_calls()));
    }
    leader.report_runs("a", HoldKind::Renewal, &[(run, 10)], &[]);
    for percent in 11..=20 {
        leader.advance(REPORT_MS);
        leader.heartbeat("a");
        leader.heartbeat("b");
        orders.extend(starts_and_stops(leader.take_calls()));
        leader.report_runs("a", HoldKind::Renewal, &[(run, percent)], &[]);
    }

    assert_eq!(orders, []);
}

/// Guards against a second run while the first one may still run, when the leader was paused for longer than
/// a lease and then finds the worker silent.
#[test]
fn paused_leader_starts_nothing_again_before_the_worker_was_asked() {
    let (mut leader, run) = leader_with_run();
    leader.heartbeat("b");
    leader.take_calls();
    leader.report_runs("b", HoldKind::Renewal, &[], &[]);
    leader.take_calls();

    leader.advance(8_000);
    let orders = starts_and_stops(leader.take_calls());
    leader.report_runs("a", HoldKind::Renewal, &[(run, 10)], &[]);
    let later = starts_and_stops(leader.take_calls());

    assert_eq!((orders, later), (Vec::new(), Vec::new()));
    assert!(leader.store().workers.contains_key(&WorkerName::new("a")));
}
