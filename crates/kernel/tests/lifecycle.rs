//! Start and end of tasks, tokens, the lease, and the hand-over of workers.

mod common;

use {
    common::{TestKernel, id, inherited, started, started_tasks, submission, tokens_set},
    fuchsiatack_kernel::{Decision, Event, TaskEnd},
    fuchsiatack_model::{Policy, Refusal, WorkerName},
};

/// Guards against a task that does not start while a slot is free, or starts while none is.
#[test]
fn task_waits_for_a_free_slot() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("w", 1);

    let first = kernel.submit(1, "a", Policy::Interactive);
    let second = kernel.submit(2, "a", Policy::Interactive);
    let after_end = kernel.end(1, TaskEnd::Done);

    assert_eq!(started_tasks(&first), [1]);
    assert_eq!(second, []);
    assert_eq!(started_tasks(&after_end), [2]);
}

/// Guards against starts beyond a team's tokens because inherited tasks are not counted.
#[test]
fn tokens_bound_running_tasks() {
    let mut kernel = TestKernel::new().limited_team("a", 2);
    kernel.attach("w", 8, 1_000, vec![inherited(100, "a")]);

    let first = kernel.submit(1, "a", Policy::Interactive);
    let second = kernel.submit(2, "a", Policy::Interactive);
    let after_report = kernel.report("w", &[1]);

    assert_eq!(started_tasks(&first), [1]);
    assert_eq!(second, []);
    assert_eq!(started_tasks(&after_report), [2]);
}

/// Guards against a start on a worker that must not receive tasks, and against one without lease.
#[test]
fn nothing_starts_on_unusable_workers_or_without_lease() {
    for unusable in [
        Event::LeaseChanged { valid: false },
        Event::WorkerDraining {
            draining: true,
            worker: "w".into(),
        },
        Event::WorkerReleasing { worker: "w".into() },
        Event::WorkerUnreachable { worker: "w".into() },
        Event::WorkerRemoved { worker: "w".into() },
    ] {
        let mut kernel = TestKernel::new().team("a", 1_000).worker("w", 1);
        kernel.step(unusable.clone());

        let decisions = kernel.submit(1, "a", Policy::Batch);

        assert_eq!(started_tasks(&decisions), [], "{unusable:?}");
    }
}

/// Guards against interactive requests that wait at a daemon without lease.
#[test]
fn lapsed_lease_refuses_waiting_requests() {
    let mut kernel = TestKernel::new().team("a", 1_000);
    kernel.submit(1, "a", Policy::Interactive);

    let decisions = kernel.step(Event::LeaseChanged { valid: false });

    let refused = Decision::Refuse {
        reason: Refusal::LeaseLapsed,
        retry_after_ms: 1_000,
        task: id(1),
    };
    assert_eq!(decisions, [refused]);
}

/// Guards against a token that is used twice: by a task that the new owner of a worker counts, and
/// by a new task here.
#[test]
fn tokens_of_a_releasing_worker_are_frozen() {
    let mut kernel = TestKernel::new().limited_team("a", 2).worker("w", 2);
    kernel.submit(1, "a", Policy::Interactive);
    kernel.submit(2, "a", Policy::Interactive);
    kernel.step(Event::WorkerReleasing { worker: "w".into() });
    let mut kernel = kernel.worker("v", 8);
    kernel.submit(3, "a", Policy::Interactive);

    let after_end = kernel.end(1, TaskEnd::Done);
    let after_detach = kernel.step(Event::WorkerDetached {
        moved_tokens: vec![("a".into(), 1)],
        worker: "w".into(),
    });
    let after_set = kernel.step(tokens_set("a", 1));
    kernel.submit(4, "a", Policy::Interactive);
    let after_relayed_end = kernel.end(2, TaskEnd::Done);

    assert_eq!(after_end, []);
    assert_eq!(started(&after_detach), [(3, "v".into())]);
    assert_eq!(after_set, []);
    assert_eq!(after_relayed_end, []);
}

/// Guards against a second run of a lost task while the first may still run, and against
/// any second run of a non-idempotent task.
#[test]
fn lost_task_runs_again_only_if_ended_and_idempotent() {
    let mut kernel = TestKernel::new().team("a", 1_000).worker("w", 2);
    let mut once = submission(&[2], "a", Policy::Interactive);
    once.class.idempotent = false;
    kernel.submit(1, "a", Policy::Interactive);
    kernel.step(Event::Submit(once));
    kernel.end(1, TaskEnd::ConnectionLost);
    kernel.end(2, TaskEnd::ConnectionLost);

    let still_running = kernel.report("w", &[1, 2]);
    let ended = kernel.report("w", &[]);

    assert_eq!(still_running, []);
    assert_eq!(started_tasks(&ended), [1]);
}

/// Guards against a grant that makes tokens usable again whose return is under way.
#[test]
fn returned_tokens_stay_unusable() {
    let mut kernel = TestKernel::new().limited_team("a", 4).worker("w", 8);
    kernel.submit(1, "a", Policy::Interactive);
    kernel.submit(2, "a", Policy::Interactive);

    let after_target = kernel.step(Event::TokenTargetSet {
        target: 1,
        team: "a".into(),
    });
    let late_grant = kernel.step(tokens_set("a", 5));
    let third = kernel.submit(3, "a", Policy::Interactive);
    let fourth = kernel.submit(4, "a", Policy::Interactive);

    let returned = |tokens| Decision::ReturnTokens {
        team: "a".into(),
        tokens,
    };
    assert_eq!(after_target, [returned(2)]);
    assert_eq!(late_grant, [returned(1)]);
    assert_eq!(started_tasks(&third), []);
    assert_eq!(started_tasks(&fourth), []);
}

/// Guards against a pool that stays too small after the ledger applied a grant and a return while
/// the daemon received no changes, so that it learns only the resulting number.
#[test]
fn pool_recovers_after_a_return_that_was_not_observed() {
    let mut kernel = TestKernel::new().limited_team("a", 4).worker("w", 8);
    kernel.step(Event::TokenTargetSet {
        target: 2,
        team: "a".into(),
    });

    kernel.step(tokens_set("a", 5));
    kernel.step(Event::TokensReturned {
        team: "a".into(),
        tokens: 2,
    });
    let started: Vec<_> = (1..=6)
        .flat_map(|task| started_tasks(&kernel.submit(task, "a", Policy::Interactive)))
        .collect();

    assert_eq!(started, [1, 2, 3, 4, 5]);
}

/// Guards against a second run of a request while its first run, which an ended session started, goes on: the
/// worker must not count as free before a report omits the task.
#[test]
fn worker_is_free_of_a_session_once_a_report_omits_its_tasks() {
    let mut kernel = TestKernel::new().team("anfa", 1_000).worker("worker-1", 2);
    kernel.attach("worker-2", 2, 1_000, vec![inherited(7, "anfa")]);
    let free = |kernel: &TestKernel| {
        let workers = kernel.inner.workers_free_of(&[id(7).session]);
        workers.into_iter().map(|(name, _)| name).collect::<Vec<_>>()
    };

    let before = free(&kernel);
    kernel.report("worker-2", &[7]);
    let still_running = free(&kernel);
    kernel.report("worker-2", &[]);
    let after = free(&kernel);

    assert_eq!(before, [WorkerName::new("worker-1")]);
    assert_eq!(still_running, before);
    assert_eq!(after.len(), 2);
}
