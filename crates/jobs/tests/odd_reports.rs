//! Odd entries among those of workers. Guards against conclusions from what a worker did not say.

mod common;

use {
    common::{Leader, queue, step},
    fuchsiatack_jobs::{HoldKind, HoldReport, JobId, RunId},
    fuchsiatack_model::WorkerName,
};

/// Starts one long task on the only worker, which confirms it.
fn leader_with_run() -> (Leader, RunId, WorkerName) {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 60_000)]);
    let (run, worker) = leader.take_starts().remove(0);
    let now_ms = leader.now_ms;
    leader.started(&worker, run, Ok(now_ms));
    (leader, run, worker)
}

/// Returns a report without readable rows.
fn unreadable_report(leader: &Leader) -> HoldReport {
    HoldReport {
        started_unix_ms: Some(1),
        clock_ms: leader.now_ms,
        ended: Vec::new(),
        running: Vec::new(),
        unreadable_rows: vec!["[[[".into()],
    }
}

/// Guards against a second run beside one that continues: its row could not be decoded, and the leader
/// took it as ended.
#[test]
fn run_in_an_unreadable_row_is_not_started_again() {
    let (mut leader, ..) = leader_with_run();

    leader.advance(500);
    let report = unreadable_report(&leader);
    leader.complete_hold("a", HoldKind::Renewal, Ok(report));
    leader.advance(500);

    assert_eq!(leader.take_starts(), []);
}

/// Guards against a run that counts as present for ever after a single unreadable row.
#[test]
fn run_missing_from_a_readable_report_is_started_again() {
    let (mut leader, run, _) = leader_with_run();

    leader.advance(500);
    let report = unreadable_report(&leader);
    leader.complete_hold("a", HoldKind::Renewal, Ok(report));
    leader.advance(500);
    leader.report_runs("a", HoldKind::Renewal, &[], &[]);
    leader.advance(500);

    let starts = leader.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0.number, run.number + 1);
}

/// Guards against a log line for each of the reports, which arrive several times a second.
#[test]
fn unreadable_rows_are_logged_once() {
    let (mut leader, ..) = leader_with_run();

    for _ in 0..5 {
        leader.advance(500);
        let report = unreadable_report(&leader);
        leader.complete_hold("a", HoldKind::Renewal, Ok(report));
    }

    let events = leader.take_log_events();
    let is_unreadable = |event: &&String| event.contains("unreadable row");
    assert_eq!(events.iter().filter(is_unreadable).count(), 1);
}
