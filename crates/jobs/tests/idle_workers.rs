//! Workers without runs that miss a call of the leader.

mod common;

use {
    common::{Leader, Sent, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

/// Guards against an idle worker that gets no run any more because its last renewal had no response: the
/// leader waited for a response and asked for none, so that tasks waited for ever beside free workers.
#[test]
fn idle_worker_is_used_again_after_a_missed_renewal() {
    let worker = WorkerName::new("a");
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, _) = leader.take_starts().remove(0);
    leader.started(&worker, run, Ok(0));
    leader.advance(600);
    leader.report_runs("a", HoldKind::Renewal, &[], &[(1, run)]);
    leader.advance(450);
    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unanswered));
    leader.take_calls();

    leader.submit(JobId(2), vec![step(1, 600)]);
    leader.advance(1_000);
    let calls = leader.take_calls();
    leader.report_runs("a", HoldKind::Renewal, &[], &[]);
    leader.advance(25);

    assert!(calls.contains(&Sent::Renew { wait_ms: 0, worker }));
    assert_eq!(leader.take_starts().len(), 1);
}
