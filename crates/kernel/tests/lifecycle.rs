//! Tasks, tokens, lease and hand-over in their ordinary course.

mod common;

use {
    common::{Cell, id, inherited, started, started_tasks, submission, tokens_set},
    fuchsiatack_kernel::{Decision, Event, TaskEnd},
    fuchsiatack_model::{Policy, Refusal},
};

/// Guards against a task that is not bound when a slot is free, or is bound when none is.
#[test]
fn task_waits_for_a_free_slot() {
    let mut cell = Cell::new().team("a", 1_000).worker("w", 1);

    let first = cell.submit(1, "a", Policy::Interactive);
    let second = cell.submit(2, "a", Policy::Interactive);
    let after_end = cell.end(1, TaskEnd::Done);

    assert_eq!(started_tasks(&first), [1]);
    assert_eq!(second, []);
    assert_eq!(started_tasks(&after_end), [2]);
}

/// Guards against starts beyond a team's tokens, with inherited tasks left out of the count.
#[test]
fn tokens_bound_running_tasks() {
    let mut cell = Cell::new().limited_team("a", 2);
    cell.attach("w", 8, 1_000, vec![inherited(100, "a")]);

    let first = cell.submit(1, "a", Policy::Interactive);
    let second = cell.submit(2, "a", Policy::Interactive);
    let after_report = cell.report("w", &[1]);

    assert_eq!(started_tasks(&first), [1]);
    assert_eq!(second, []);
    assert_eq!(started_tasks(&after_report), [2]);
}

/// Guards against a start on a worker that must get no work.
#[test]
fn nothing_starts_on_unusable_workers_or_without_lease() {
    for unusable in [
        Event::LeaseChanged { valid: false },
        Event::WorkerHeld {
            held: true,
            worker: "w".into(),
        },
        Event::WorkerReleasing { worker: "w".into() },
        Event::WorkerUnreachable { worker: "w".into() },
        Event::WorkerRemoved { worker: "w".into() },
    ] {
        let mut cell = Cell::new().team("a", 1_000).worker("w", 1);
        cell.step(unusable.clone());

        let decisions = cell.submit(1, "a", Policy::Batch);

        assert_eq!(started_tasks(&decisions), [], "{unusable:?}");
    }
}

/// Guards against callers that wait at a daemon without lease.
#[test]
fn lapsed_lease_refuses_callers() {
    let mut cell = Cell::new().team("a", 1_000);
    cell.submit(1, "a", Policy::Interactive);

    let decisions = cell.step(Event::LeaseChanged { valid: false });

    let refused = Decision::Refuse {
        reason: Refusal::LeaseLapsed,
        retry_after_ms: 1_000,
        task: id(1),
    };
    assert_eq!(decisions, [refused]);
}

/// Guards against a token used by a task that the new owner counts and by a new task.
#[test]
fn tokens_of_a_releasing_worker_are_frozen() {
    let mut cell = Cell::new().limited_team("a", 2).worker("w", 2);
    cell.submit(1, "a", Policy::Interactive);
    cell.submit(2, "a", Policy::Interactive);
    cell.step(Event::WorkerReleasing { worker: "w".into() });
    let mut cell = cell.worker("v", 8);
    cell.submit(3, "a", Policy::Interactive);

    let after_end = cell.end(1, TaskEnd::Done);
    let after_detach = cell.step(Event::WorkerDetached {
        moved: vec![("a".into(), 1)],
        worker: "w".into(),
    });
    let after_set = cell.step(tokens_set("a", 1));
    cell.submit(4, "a", Policy::Interactive);
    let after_relayed_end = cell.end(2, TaskEnd::Done);

    assert_eq!(after_end, []);
    assert_eq!(started(&after_detach), [(3, "v".into())]);
    assert_eq!(after_set, []);
    assert_eq!(after_relayed_end, []);
}

/// Guards against a second run of a lost task while the first may still run, and against
/// any second run of a non-idempotent task.
#[test]
fn lost_task_runs_again_only_when_over_and_idempotent() {
    let mut cell = Cell::new().team("a", 1_000).worker("w", 2);
    let mut once = submission(&[2], "a", Policy::Interactive);
    once.class.idempotent = false;
    cell.submit(1, "a", Policy::Interactive);
    cell.step(Event::Submit(once));
    cell.end(1, TaskEnd::Lost);
    cell.end(2, TaskEnd::Lost);

    let still_running = cell.report("w", &[1, 2]);
    let over = cell.report("w", &[]);

    assert_eq!(still_running, []);
    assert_eq!(started_tasks(&over), [1]);
}

/// Guards against a grant that makes tokens usable which are on their way back.
#[test]
fn returned_tokens_stay_unusable() {
    let mut cell = Cell::new().limited_team("a", 4).worker("w", 8);
    cell.submit(1, "a", Policy::Interactive);
    cell.submit(2, "a", Policy::Interactive);

    let advised = cell.step(Event::TokensAdvised {
        target: 1,
        team: "a".into(),
    });
    let late_grant = cell.step(tokens_set("a", 5));
    let third = cell.submit(3, "a", Policy::Interactive);
    let fourth = cell.submit(4, "a", Policy::Interactive);

    let returned = |tokens| Decision::ReturnTokens {
        team: "a".into(),
        tokens,
    };
    assert_eq!(advised, [returned(2)]);
    assert_eq!(late_grant, [returned(1)]);
    assert_eq!(started_tasks(&third), []);
    assert_eq!(started_tasks(&fourth), []);
}

/// Guards against a pool that stays too small after a grant and a return that the ledger applied
/// while the daemon was not following, and which it sees as one number.
#[test]
fn pool_is_whole_again_after_a_return_that_was_not_seen() {
    let mut cell = Cell::new().limited_team("a", 4).worker("w", 8);
    cell.step(Event::TokensAdvised {
        target: 2,
        team: "a".into(),
    });

    cell.step(tokens_set("a", 5));
    cell.step(Event::TokensReturned {
        team: "a".into(),
        tokens: 2,
    });
    let started: Vec<_> = (1..=6)
        .flat_map(|task| started_tasks(&cell.submit(task, "a", Policy::Interactive)))
        .collect();

    assert_eq!(started, [1, 2, 3, 4, 5]);
}
