//! Orders that get no answer while the renewal of their worker waits for an end.

mod common;

use {
    common::{Leader, Sent, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

/// Guards against tasks that wait for the end of a long renewal before it is found out whether
/// their order arrived: a leader that loses one order in twenty would make most wide jobs late.
#[test]
fn unanswered_order_is_settled_beside_the_waiting_renewal() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_started().remove(0);
    leader.pass(350);

    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    assert!(leader.take().contains(&Sent::Check(worker.clone())));
    leader.pass(3);
    leader.held(worker.as_str(), HoldKind::Check, &[], &[]);
    assert!(leader.take().contains(&Sent::Stop {
        run,
        worker: worker.clone()
    }));
    leader.pass(3);
    leader.stopped(&worker, run);
    assert!(leader.take().contains(&Sent::Check(worker.clone())));
    leader.pass(3);
    leader.held(worker.as_str(), HoldKind::Check, &[], &[]);

    let started = leader.take_started();
    assert_eq!(started.len(), 1, "the task starts again at once");
    assert_eq!(started[0].0.number, run.number + 1);
    assert_ne!(started[0].1, worker);
}

/// Guards against the stop of a run whose order arrived although its answer was lost.
#[test]
fn run_that_is_listed_after_an_unanswered_order_goes_on() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_started().remove(0);
    leader.pass(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.take();

    leader.pass(3);
    leader.held(worker.as_str(), HoldKind::Check, &[(run, 50)], &[]);

    let calls = leader.take();
    assert!(
        !calls
            .iter()
            .any(|call| matches!(call, Sent::Start { .. } | Sent::Stop { .. }))
    );
}

/// Guards against a check that is given up after it got no answer itself.
#[test]
fn unanswered_check_is_repeated() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (run, worker) = leader.take_started().remove(0);
    leader.pass(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.take();

    leader.hold_answered("a", HoldKind::Check, Err(WorkerCallError::Unanswered));
    leader.pass(100);

    assert!(leader.take().contains(&Sent::Check(WorkerName::new("a"))));
}
