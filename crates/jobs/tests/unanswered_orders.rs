//! Start orders without a response while a renewal of the same worker waits for the end of a run.

mod common;

use {
    common::{Leader, Sent, advised_queue, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

/// Guards against tasks that wait for the end of a long renewal before the leader finds out whether
/// their start order arrived: if one order in twenty is lost, most wide jobs would be late. The order has a
/// ticket; without one, its task also waits until the order has expired (`late_starts.rs`).
#[test]
fn unanswered_order_is_checked_while_a_renewal_waits() {
    let mut leader = Leader::new(advised_queue(), &["a", "b"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let requests = leader.take_calls().into_iter().filter_map(|call| match call {
        Sent::Advise { by, request } => Some((by, request)),
        _ => None,
    });
    for (by, request) in requests {
        leader.advised(by, &request);
    }
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);

    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    assert!(leader.take_calls().contains(&Sent::Check(worker.clone())));
    leader.advance(3);
    leader.report_runs(worker.as_str(), HoldKind::Check, &[], &[]);
    assert!(leader.take_calls().contains(&Sent::Stop {
        run,
        worker: worker.clone()
    }));
    leader.advance(3);
    leader.stopped(&worker, run);
    assert!(leader.take_calls().contains(&Sent::Check(worker.clone())));
    leader.advance(3);
    leader.report_runs(worker.as_str(), HoldKind::Check, &[], &[]);

    let started = leader.take_starts();
    assert_eq!(started.len(), 1, "the task starts again at once");
    assert_eq!(started[0].0.number, run.number + 1);
    assert_ne!(started[0].1, worker);
}

/// Guards against the stop of a run whose start order arrived although its response was lost.
#[test]
fn run_reported_after_an_unanswered_order_continues() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.take_calls();

    leader.advance(3);
    leader.report_runs(worker.as_str(), HoldKind::Check, &[(run, 50)], &[]);

    let calls = leader.take_calls();
    assert!(
        !calls
            .iter()
            .any(|call| matches!(call, Sent::Start { .. } | Sent::Stop { .. }))
    );
}

/// Guards against a check that is not repeated after it had no response itself.
#[test]
fn unanswered_check_is_repeated() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.take_calls();

    leader.complete_hold("a", HoldKind::Check, Err(WorkerCallError::Unanswered));
    leader.advance(100);

    assert!(leader.take_calls().contains(&Sent::Check(WorkerName::new("a"))));
}
