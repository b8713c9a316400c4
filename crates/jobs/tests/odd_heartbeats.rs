//! Heartbeats of another writer under the name of a worker. Guards against changes of that worker.

mod common;

use {
    common::{Leader, WORKER_CAPACITY, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, WorkerCallError, WorkerReport},
    fuchsiatack_model::{DataCenter, Resources},
};

/// Guards against a clock that is far ahead: every lease would seem to have a later end than it has, and no
/// true reading would count any more.
#[test]
fn heartbeat_with_a_clock_far_ahead_is_ignored() {
    let mut leader = Leader::new(queue(), &["a"]);
    for clock_ms in [1 << 40, (1 << 53) - 1, u64::MAX] {
        let mut odd = leader.report_with("a", 1, 1_000, WORKER_CAPACITY);
        odd.clock_ms = clock_ms;
        odd.draining = true;
        leader.heartbeat_report(odd);
    }

    leader.advance(100);
    leader.heartbeat("a");
    leader.submit(JobId(1), vec![step(1, 600)]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against a log line for every heartbeat of a writer that repeats itself.
#[test]
fn ignored_heartbeats_are_logged_once() {
    let mut leader = Leader::new(queue(), &["a"]);
    for sequence in 1_000..1_010 {
        let mut odd = leader.report_with("a", 1, sequence, WORKER_CAPACITY);
        odd.clock_ms = u64::MAX;
        leader.heartbeat_report(odd);
    }

    let events = leader.take_log_events();
    let is_ignored = |event: &&String| event.contains("heartbeat ignored");
    assert_eq!(events.iter().filter(is_ignored).count(), 1);
}

/// Guards against a heartbeat that takes a live worker away from its service or sends its orders elsewhere,
/// where another worker rejects them, so that its runs count as ended while they continue.
#[test]
fn heartbeat_of_another_writer_does_not_change_a_live_worker() {
    let changes: [fn(&mut WorkerReport); 5] = [
        |report| report.address = "127.0.0.1:2".parse().expect("the address is valid"),
        |report| report.service = "unknown".into(),
        |report| report.data_center = DataCenter::new("unknown"),
        |report| report.labels.clear(),
        |report| report.machine = "unknown".into(),
    ];
    for change in changes {
        let mut leader = Leader::new(queue(), &["a"]);
        let mut odd = leader.report_with("a", 1, 1_000, Resources::NONE);
        change(&mut odd);

        leader.heartbeat_report(odd.clone());
        leader.submit(JobId(1), vec![step(1, 600)]);

        assert_eq!(leader.take_starts().len(), 1, "{odd:?}");
    }
}

/// Guards against a worker that cannot register because an entry of another writer has its name: nobody
/// answers at the address of that entry.
#[test]
fn entry_of_another_writer_that_does_not_answer_is_replaced() {
    let mut leader = Leader::new(queue(), &[]);
    let mut odd = leader.report_with("a", 1, 1, WORKER_CAPACITY);
    odd.address = "127.0.0.1:2".parse().expect("the address is valid");
    leader.heartbeat_report(odd);
    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unreachable));

    let report = leader.report_with("a", 1, 2, WORKER_CAPACITY);
    leader.heartbeat_report(report);
    leader.report_runs("a", HoldKind::Renewal, &[], &[]);
    leader.submit(JobId(1), vec![step(1, 600)]);

    assert_eq!(leader.take_starts().len(), 1);
}
