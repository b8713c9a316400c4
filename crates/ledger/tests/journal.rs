//! Journal of non-idempotent requests.

mod support;

use {
    fuchsiatack_ledger::{Change, Command, JournalEntry, LedgerError, Query, QueryReply, Reply},
    support::{Cell, end, journal_key},
};

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

fn entry(cell: &Cell, request: &str) -> Option<JournalEntry> {
    match cell.ledger.query(&Query::Journal(journal_key(request))) {
        QueryReply::Journal(entry) => entry,
        reply => panic!("not a journal entry: {reply:?}"),
    }
}

fn expire(cell: &mut Cell, before_unix_ms: u64) {
    cell.apply(Command::ExpireJournal { before_unix_ms });
}

fn is_truncated(cell: &Cell, request: &str) -> bool {
    match entry(cell, request) {
        Some(JournalEntry::Finished { response, .. }) => response.truncated && response.body.is_empty(),
        entry => panic!("not finished: {entry:?}"),
    }
}

/// Guards against a journal that grows without bound because ended entries are never removed.
#[test]
fn ended_entries_expire_after_a_day() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    cell.start("r", session);
    cell.finish("r", session, 1);
    let ended_unix_ms = 2_000;

    let early = cell.ledger.journal_expiry(ended_unix_ms + DAY_MS);
    let due = cell.ledger.journal_expiry(ended_unix_ms + DAY_MS + 1);

    assert_eq!(early, None);
    cell.apply(due.expect("an expiry"));
    assert_eq!(entry(&cell, "r"), None);
    assert_eq!(cell.ledger.journal_expiry(u64::MAX), None);
}

/// Guards against a request that runs twice after a resend.
#[test]
fn a_known_request_is_answered_with_its_entry() {
    let mut cell = Cell::default();
    let (first, second) = (cell.open("a"), cell.open("b"));
    assert_eq!(cell.start("r", first), Reply::JournalStarted);

    let known = cell.start("r", second);
    assert!(matches!(known, Reply::JournalKnown(entry)
        if matches!(*entry, JournalEntry::Started { body_hash: 7, session, .. } if session == first)));
    assert!(matches!(cell.finish("r", second, 1), Reply::Refused(_)));
    assert_eq!(cell.finish("r", first, 1), Reply::Applied);
    assert_eq!(cell.finish("r", first, 1), Reply::Applied);
    assert!(matches!(cell.finish("r", first, 2), Reply::Refused(_)));
    assert!(matches!(cell.start("r", first), Reply::JournalKnown(_)));
}

/// Guards against an aborted start that blocks its request for a day.
#[test]
fn an_aborted_start_can_be_started_again_by_its_session_only() {
    let mut cell = Cell::default();
    let (first, second) = (cell.open("a"), cell.open("b"));
    cell.start("r", first);
    let abort = |session| Command::JournalAbort {
        key: journal_key("r"),
        session,
        unix_ms: 1_000,
    };

    assert!(matches!(cell.apply(abort(second)), Reply::Refused(_)));
    assert_eq!(cell.apply(abort(first)), Reply::Applied);
    assert_eq!(cell.start("r", second), Reply::JournalStarted);
}

/// Guards against a delayed abort that removes a newer start, after which a resend would run the
/// request a second time.
#[test]
fn an_abort_leaves_a_later_start_of_the_same_request() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    cell.start("r", session);

    let reply = cell.apply(Command::JournalAbort {
        key: journal_key("r"),
        session,
        unix_ms: 999,
    });

    assert!(matches!(reply, Reply::Refused(_)));
    assert!(matches!(entry(&cell, "r"), Some(JournalEntry::Started { .. })));
}

/// Guards against entries that are evicted before a day has passed because a team fills its journal.
#[test]
fn a_full_journal_refuses_new_starts_and_keeps_the_old() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    for number in 0..10_000 {
        cell.start(&number.to_string(), session);
    }

    let team = "red".into();
    assert_eq!(
        cell.start("more", session),
        Reply::Refused(LedgerError::JournalFull { team })
    );
    assert!(matches!(cell.start("0", session), Reply::JournalKnown(_)));
    cell.finish("0", session, 1);
    expire(&mut cell, 2_001);
    assert_eq!(cell.start("more", session), Reply::JournalStarted);
}

/// Guards against stored responses that exhaust the memory of every store member.
#[test]
fn bodies_are_bounded_individually_and_in_total() {
    let mut cell = Cell::default();
    let session = cell.open("a");
    for number in 0..=256 {
        cell.start(&number.to_string(), session);
        cell.finish(&number.to_string(), session, 64 * 1024);
    }
    cell.start("large", session);
    cell.finish("large", session, 64 * 1024 + 1);

    assert!(is_truncated(&cell, "large"));
    assert!(is_truncated(&cell, "0"));
    assert!(!is_truncated(&cell, "1"));
    assert_eq!(cell.status().journal_entries, 258);
}

/// Guards against a request of a crashed daemon that runs again, or whose entry never expires.
#[test]
fn starts_of_an_ended_session_stay_for_a_day_after_its_end() {
    let mut cell = Cell::default();
    let (old, new) = (cell.open("a"), cell.open("b"));
    cell.start("r", old);
    cell.apply(end(old));

    let directory = cell.ledger.directory(new);
    let has_old = directory
        .iter()
        .any(|change| matches!(change, Change::DaemonJoined { session, .. } if *session == old));
    assert!(!has_old);
    assert!(matches!(cell.start("r", new), Reply::JournalKnown(_)));
    expire(&mut cell, 10 * DAY_MS);
    expire(&mut cell, 11 * DAY_MS);
    assert!(entry(&cell, "r").is_some());
    expire(&mut cell, 11 * DAY_MS + 1);
    assert_eq!(entry(&cell, "r"), None);
}
