//! Record writes: versions, conflicts and resends.

mod support;

use {
    fuchsiatack_ledger::{Change, Command, OperationId, RecordAction, RecordWrite, Reply, WriteConflict},
    fuchsiatack_records::Kind,
    support::{Cell, put, team},
};

fn write(operation: u128, action: RecordAction) -> Command {
    Command::WriteRecord(RecordWrite {
        action,
        author: "cyn".into(),
        operation: OperationId(operation),
    })
}

/// Guards against a lost update when two operators replace the same version.
#[test]
fn one_of_two_concurrent_writes_wins_and_the_other_gets_its_author() {
    let mut cell = Cell::default();
    cell.put("red", 0, team("first"));

    assert_eq!(
        cell.write("ben", put("red", 1, team("ben's"))),
        Reply::Written { version: 2 }
    );
    let conflict = cell.write("cyn", put("red", 1, team("cyn's")));

    let author = "ben".into();
    assert_eq!(conflict, Reply::Conflict(WriteConflict { author, version: 2 }));
    assert!(cell.changes.is_empty());
}

/// Guards against a writer that mistakes a re-created record for the one that it has read.
#[test]
fn versions_continue_after_a_delete() {
    let mut cell = Cell::default();
    cell.put("red", 0, team("first"));
    cell.put("red", 1, team("second"));
    assert_eq!(cell.delete(Kind::Team, "red", 2), Reply::Written { version: 2 });

    let author = "ben".into();
    let conflict = cell.put("red", 2, team("late"));
    assert_eq!(conflict, Reply::Conflict(WriteConflict { author, version: 0 }));
    assert_eq!(cell.put("red", 0, team("again")), Reply::Written { version: 3 });
}

/// Guards against versions that repeat once the tombstone of a deleted name is evicted.
#[test]
fn versions_do_not_repeat_after_many_deletes() {
    let mut cell = Cell::default();
    cell.put("red", 0, team("first"));
    cell.put("red", 1, team("second"));
    cell.delete(Kind::Team, "red", 2);
    for number in 0..20_001 {
        let name = format!("other-{number}");
        let Reply::Written { version } = cell.put(&name, 0, team("")) else {
            panic!()
        };
        cell.delete(Kind::Team, &name, version);
    }

    assert_eq!(cell.put("red", 0, team("again")), Reply::Written { version: 3 });
}

/// Guards against a write that is applied twice after a lost response.
#[test]
fn a_resend_gets_the_first_result_and_changes_nothing() {
    let mut cell = Cell::default();
    let first = cell.apply(write(900, put("red", 0, team("first"))));
    let refused = cell.apply(write(901, put("red", 7, team("lost"))));
    cell.put("red", 1, team("second"));

    assert_eq!(cell.apply(write(900, put("red", 0, team("first")))), first);
    assert!(cell.changes.is_empty());
    assert_eq!(cell.apply(write(901, put("red", 7, team("lost")))), refused);
}

/// Guards against memory that grows with every operation identifier.
#[test]
fn the_oldest_operation_is_evicted_beyond_twenty_thousand() {
    let mut cell = Cell::default();
    for operation in 0..=20_000 {
        cell.apply(write(operation, put("red", 0, team(""))));
    }

    assert!(matches!(
        cell.apply(write(1, put("red", 0, team("")))),
        Reply::Conflict(_)
    ));
    assert!(matches!(
        cell.apply(write(0, put("blue", 0, team("")))),
        Reply::Written { .. }
    ));
}

/// Guards against a read or a follower that misses a record.
#[test]
fn followers_and_queries_see_the_same_records() {
    let mut cell = Cell::default();
    cell.limit("red", 0, 3);
    cell.put("blue", 0, team("b"));
    cell.put("red", 0, team("r"));
    let session = cell.open("a");

    let teams = cell.records(Kind::Team);
    assert_eq!(
        teams.iter().map(|team| team.name.as_str()).collect::<Vec<_>>(),
        ["blue", "red"]
    );
    let directory = cell.ledger.directory(session);
    let written = directory
        .iter()
        .filter(|change| matches!(change, Change::RecordWritten(_)));
    assert_eq!(written.count(), 3);
}
