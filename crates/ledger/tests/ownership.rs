//! Sessions, ownership, fencing and tokens.

mod support;

use {
    fuchsiatack_ledger::{Change, Command, LedgerError, Reply},
    support::{Cell, end, lost, release},
};

/// Guards against a former owner that keeps using tokens that moved with its running tasks.
#[test]
fn fence_moves_tokens_of_running_tasks_to_the_new_owner() {
    let mut cell = Cell::default();
    cell.limit("red", 0, 10);
    let (old, new) = (cell.open("a"), cell.open("b"));
    cell.own("w", old);
    cell.grant(old, "red", 8);
    cell.apply(release("w", old));
    let epoch = cell.assign("w", new);

    cell.fence("w", epoch, &[("red", 3)]);

    assert_eq!((cell.tokens(old, "red"), cell.tokens(new, "red")), (5, 3));
    assert!(matches!(cell.sent_to(old)[..], [
            Change::WorkerDetached { moved_tokens: moved, .. },
            Change::TokensSet { tokens: 5, .. }
        ] if moved[0].count == 3));
    assert!(matches!(
        cell.sent_to(new)[..],
        [Change::TokensSet { tokens: 3, .. }]
    ));
}

/// Guards against tokens of a crashed daemon that are granted again while its tasks may run.
#[test]
fn tokens_of_an_ended_session_stay_counted_until_its_workers_are_fenced_or_lost() {
    let mut cell = Cell::default();
    cell.limit("red", 0, 10);
    let (old, new) = (cell.open("a"), cell.open("b"));
    cell.own("w1", old);
    cell.own("w2", old);
    cell.grant(old, "red", 10);
    cell.apply(end(old));

    assert_eq!(cell.grant(new, "red", 10), Reply::TokenCount(0));
    let epoch = cell.assign("w1", new);
    cell.fence("w1", epoch, &[("red", 2)]);
    assert_eq!(cell.grant(new, "red", 10), Reply::TokenCount(0));
    let epoch = cell.assign("w2", new);
    cell.apply(lost("w2", epoch));

    assert_eq!(cell.grant(new, "red", 10), Reply::TokenCount(8));
    assert_eq!(cell.status().sessions.len(), 1);
}

/// Guards against charging running tasks to an owner that never fenced the worker.
#[test]
fn an_owner_that_did_not_fence_is_not_charged_for_running_tasks() {
    let mut cell = Cell::default();
    cell.limit("red", 0, 10);
    let (first, second, third) = (cell.open("a"), cell.open("b"), cell.open("c"));
    cell.own("w", first);
    cell.grant(first, "red", 4);
    cell.grant(second, "red", 4);
    cell.apply(end(first));
    cell.assign("w", second);
    cell.apply(end(second));
    let epoch = cell.assign("w", third);

    cell.fence("w", epoch, &[("red", 4)]);

    assert_eq!(cell.tokens(third, "red"), 4);
    assert_eq!(cell.grant(third, "red", 10), Reply::TokenCount(6));
}

/// Guards against a paused daemon that acts under a stale ownership or an ended session.
#[test]
fn stale_epochs_and_ended_sessions_are_refused() {
    let mut cell = Cell::default();
    let (old, new) = (cell.open("a"), cell.open("b"));
    let first = cell.own("w", old);
    cell.apply(release("w", old));
    let second = cell.assign("w", new);
    let is_stale = |reply| matches!(reply, Reply::Refused(LedgerError::StaleEpoch { .. }));

    assert!(second > first);
    assert!(is_stale(cell.fence("w", first, &[])));
    assert!(is_stale(cell.apply(release("w", old))));
    let worker = "w".into();
    assert!(is_stale(
        cell.apply(Command::AssignWorker { session: old, worker })
    ));
    cell.apply(end(old));
    assert_eq!(
        cell.grant(old, "red", 1),
        Reply::Refused(LedgerError::SessionEnded(old))
    );
    assert_eq!(
        cell.start("r", old),
        Reply::Refused(LedgerError::SessionEnded(old))
    );
}

/// Guards against two live sessions of one daemon after its restart.
#[test]
fn a_new_session_ends_the_older_one_of_the_same_daemon() {
    let mut cell = Cell::default();
    let old = cell.open("a");
    cell.own("w", old);

    let new = cell.open("a");

    assert!(
        cell.changes
            .iter()
            .any(|sent| sent.change == Change::DaemonLeft { session: old })
    );
    assert_eq!(cell.status().workers[0].owner, None);
    let directory = cell.ledger.directory(new);
    let joined = directory
        .iter()
        .filter(|change| matches!(change, Change::DaemonJoined { .. }));
    assert_eq!(joined.count(), 1);
}

/// Guards against a change that is sent to every follower for each periodic announcement.
#[test]
fn an_announcement_that_changes_nothing_yields_no_change() {
    let mut cell = Cell::default();
    cell.register("w");
    assert_eq!(cell.changes.len(), 1);

    cell.register("w");

    assert!(cell.changes.is_empty());
}

/// Guards against a lost worker that is assigned repeatedly before it returns, or never again.
#[test]
fn a_lost_worker_returns_with_its_announcement() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    let epoch = cell.own("w", session);
    cell.apply(lost("w", epoch));
    assert!(cell.status().workers[0].lost);

    cell.register("w");

    assert!(!cell.status().workers[0].lost);
    assert_eq!(cell.changes.len(), 1);
}

/// Guards against a lowered limit that removes the tokens of running tasks, or that permits grants.
#[test]
fn a_lowered_limit_stops_grants_until_enough_tokens_return() {
    let mut cell = Cell::default();
    cell.limit("red", 0, 10);
    let session = cell.open("a");
    cell.grant(session, "red", 10);
    cell.limit("red", 1, 4);

    assert_eq!(cell.tokens(session, "red"), 10);
    assert_eq!(cell.grant(session, "red", 1), Reply::TokenCount(0));
    let command = cell.return_tokens(session, "red", 8);
    cell.apply(command.clone());
    cell.apply(command);
    assert_eq!(cell.grant(session, "red", 9), Reply::TokenCount(2));
}

/// Guards against tokens that move twice when the report of a fence is resent.
#[test]
fn a_resent_fence_or_loss_changes_nothing() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    let epoch = cell.own("w", session);

    assert_eq!(cell.fence("w", epoch, &[("red", 3)]), Reply::Applied);
    assert!(cell.changes.is_empty());
    cell.apply(lost("w", epoch));
    assert_eq!(cell.apply(lost("w", epoch)), Reply::Applied);
    assert!(cell.changes.is_empty());
}

/// Guards against a directory that grows with every worker that ever existed.
#[test]
fn the_longest_lost_workers_are_removed() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    for number in 0..=1_000 {
        let epoch = cell.own(&number.to_string(), session);
        cell.apply(lost(&number.to_string(), epoch));
    }

    let worker = "0".into();
    assert_eq!(
        cell.changes.last().unwrap().change,
        Change::WorkerRemoved { worker }
    );
    assert_eq!(cell.status().workers.len(), 1_000);
}
