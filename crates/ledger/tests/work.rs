//! Queued work: assignment, cancellation and the end of its tasks.

mod support;

use {
    fuchsiatack_ledger::{Change, LedgerError, Reply},
    fuchsiatack_model::{Policy, Refusal, Resources, SessionId, TaskOutcome, WorkPhase, WorkSpec},
    fuchsiatack_records::{DrainSpec, Kind, Spec},
    support::{Cell, assign_tasks, end, finish_task, lost, release, return_tasks, task, work},
};

/// Returns a cell with a work `w` of four tasks and the sessions of the daemons `a` and `b`.
/// Session `a` owns a worker and holds tasks 0 to 2.
fn running_cell(idempotent: bool) -> (Cell, SessionId, SessionId) {
    let mut cell = Cell::default();
    let (old, new) = (cell.open("a"), cell.open("b"));
    cell.own("worker", old);
    cell.put("w", 0, work("red", Policy::Batch, 4, idempotent));
    cell.apply(assign_tasks(old, "w", &[0, 1, 2]));
    (cell, old, new)
}

/// Guards against a task that is counted or run twice.
#[test]
fn a_task_ends_exactly_once_and_only_for_its_holder() {
    let (mut cell, old, new) = running_cell(true);

    assert!(matches!(
        cell.apply(finish_task(new, "w", 0, TaskOutcome::Failed)),
        Reply::Refused(_)
    ));
    assert_eq!(
        cell.apply(finish_task(old, "w", 0, TaskOutcome::Done)),
        Reply::Applied
    );
    assert!(matches!(
        cell.apply(finish_task(old, "w", 0, TaskOutcome::Failed)),
        Reply::Refused(_)
    ));
    assert_eq!(cell.work("w").outcomes[0], Some(TaskOutcome::Done));
    assert_eq!(cell.work("w").phase, WorkPhase::Running);
}

/// Guards against tasks that are assigned to a second session while the first holds them.
#[test]
fn only_waiting_tasks_are_assigned_and_gangs_whole() {
    let (mut cell, _, new) = running_cell(true);
    cell.apply(assign_tasks(new, "w", &[2, 3, 9]));
    assert!(
        matches!(cell.sent_to(new)[..], [Change::TasksAssigned { tasks, running: false, .. }] if tasks[..] == [3])
    );

    cell.put("gang", 0, work("red", Policy::Gang, 2, true));
    cell.apply(assign_tasks(new, "gang", &[0, 1, 2]));
    assert!(cell.changes.is_empty());
}

/// Guards against a second run of a task that may still be running for a crashed daemon.
#[test]
fn tasks_of_an_ended_session_wait_again_only_after_its_workers_are_fenced() {
    for (idempotent, outcome) in [(true, None), (false, Some(TaskOutcome::Unknown))] {
        let (mut cell, old, new) = running_cell(idempotent);
        cell.apply(end(old));
        cell.apply(assign_tasks(new, "w", &[0, 1, 2]));
        assert!(cell.changes.is_empty());

        let epoch = cell.assign("worker", new);
        cell.fence_with_tasks("worker", epoch, &[], &[task("w", 1)]);

        assert!(cell.sent_to(new).iter().any(|change| {
            matches!(change, Change::TasksAssigned { running: true, tasks, .. } if tasks[..] == [1])
        }));
        assert_eq!(cell.work("w").outcomes, [outcome, None, outcome, None]);
        cell.apply(assign_tasks(new, "w", &[0, 1]));
        assert_eq!(cell.changes.len(), usize::from(idempotent));
        assert_eq!(
            cell.apply(finish_task(new, "w", 1, TaskOutcome::Unknown)),
            Reply::Applied
        );
    }
}

/// Guards against tasks that never end after both their worker and its owner were lost.
#[test]
fn a_lost_worker_frees_the_tasks_of_an_ended_session() {
    let (mut cell, old, new) = running_cell(true);
    cell.apply(end(old));
    let epoch = cell.assign("worker", new);
    cell.apply(lost("worker", epoch));

    cell.apply(assign_tasks(new, "w", &[0, 1, 2, 3]));
    assert!(matches!(cell.sent_to(new)[..], [Change::TasksAssigned { tasks, .. }] if tasks.len() == 4));
}

/// Guards against the loss of a call's outcome because its worker was handed over.
#[test]
fn a_live_former_owner_reports_the_end_of_a_call_that_it_relays() {
    let (mut cell, old, new) = running_cell(false);
    cell.apply(release("worker", old));
    let epoch = cell.assign("worker", new);
    cell.fence_with_tasks("worker", epoch, &[], &[task("w", 0)]);

    assert_eq!(
        cell.apply(finish_task(old, "w", 0, TaskOutcome::Done)),
        Reply::Applied
    );
    assert!(matches!(
        cell.apply(finish_task(new, "w", 0, TaskOutcome::Unknown)),
        Reply::Refused(_)
    ));
    assert_eq!(cell.work("w").outcomes[0], Some(TaskOutcome::Done));
}

/// Guards against cancelled work that keeps running, or whose name is reused while tasks still run.
#[test]
fn a_delete_cancels_waiting_tasks_and_notifies_the_holders() {
    let (mut cell, old, _) = running_cell(true);
    assert_eq!(cell.delete(Kind::Work, "w", 1), Reply::Written { version: 1 });
    assert!(matches!(cell.sent_to(old)[..], [Change::WorkCancelled { .. }]));

    let busy = cell.put("w", 0, work("red", Policy::Batch, 1, true));
    assert!(matches!(busy, Reply::Refused(LedgerError::WorkBusy { .. })));
    cell.apply(return_tasks(old, "w", &[1, 2]));
    cell.apply(finish_task(old, "w", 0, TaskOutcome::Done));

    let status = cell.work("w");
    let cancelled = Some(TaskOutcome::Cancelled);
    assert_eq!(
        status.outcomes,
        [Some(TaskOutcome::Done), cancelled, cancelled, cancelled]
    );
    assert_eq!(status.phase, WorkPhase::Cancelled);
    let again = cell.put("w", 0, work("red", Policy::Batch, 1, true));
    assert_eq!(again, Reply::Written { version: 2 });
}

/// Guards against work that can never run but does not report why.
#[test]
fn work_that_never_fits_is_reported_until_the_fleet_changes() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    cell.put("w", 0, work("red", Policy::Gang, 9, true));
    cell.own("small", session);
    let status = cell.work("w");
    assert_eq!(status.blocked, Some(Refusal::NeverFits));
    assert_eq!(status.missing, Some(Resources::default()));

    cell.own("more", session);

    assert_eq!(cell.work("w").blocked, None);
    cell.put(
        "more",
        0,
        Spec::Drain(DrainSpec {
            reason: "disk".into(),
        }),
    );
    assert_eq!(cell.work("w").blocked, Some(Refusal::NeverFits));
}

/// Guards against a status that does not show which resource every worker lacks.
#[test]
fn a_task_that_fits_no_worker_shows_the_missing_resources() {
    let mut cell = Cell::default();
    cell.register("worker");
    let demand = Resources {
        accelerators: 2,
        slots: 8,
        ..Resources::NONE
    };
    let Spec::Work(spec) = work("red", Policy::Batch, 5, true) else {
        panic!()
    };
    cell.put("w", 0, Spec::Work(WorkSpec { demand, ..spec }));

    let missing = Resources {
        accelerators: 2,
        ..Resources::NONE
    };
    assert_eq!(cell.work("w").missing, Some(missing));
}

/// Guards against a daemon that reconnects and starts tasks that are already running.
#[test]
fn the_directory_marks_running_and_cancelled_tasks() {
    let (mut cell, old, new) = running_cell(true);
    cell.apply(end(old));
    let epoch = cell.assign("worker", new);
    cell.fence_with_tasks("worker", epoch, &[], &[task("w", 2)]);
    cell.apply(assign_tasks(new, "w", &[3]));
    cell.delete(Kind::Work, "w", 1);

    let directory = cell.ledger.directory(new);
    let marks: Vec<bool> = directory
        .iter()
        .filter_map(|change| match change {
            Change::TasksAssigned { running, .. } => Some(*running),
            _ => None,
        })
        .collect();
    assert_eq!(marks, [false, true]);
    assert!(
        directory
            .iter()
            .any(|change| matches!(change, Change::WorkCancelled { .. }))
    );
}
