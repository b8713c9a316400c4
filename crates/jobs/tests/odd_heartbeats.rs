//! Heartbeats of another writer under the name of a worker. Guards against changes of that worker.

mod common;

use {
    common::{Leader, WORKER_CAPACITY, queue, step},
    fuchsiatack_jobs::JobId,
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
