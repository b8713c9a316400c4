//! Reads of the ledger.

use {
    crate::{JournalEntry, JournalKey, LedgerStatus},
    fuchsiatack_derives::message,
    fuchsiatack_model::{WorkName, WorkStatus},
    fuchsiatack_records::{Kind, Record},
    smol_str::SmolStr,
};

/// A linearizable read: it reflects every command committed before the query was sent.
#[message]
pub enum Query {
    /// Reads the journal entry of a request.
    Journal(JournalKey),
    /// Reads one record.
    Record {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
    },
    /// Reads all records of a kind.
    Records(Kind),
    /// Reads sessions, workers and token pools.
    Status,
    /// Reads the record and the progress of a work.
    Work(WorkName),
}

/// Reply to the `Query` of the same variant.
#[message]
pub enum QueryReply {
    /// Entry of the request; `None` if the journal has none.
    Journal(Option<JournalEntry>),
    /// Record in its current version; `None` if it does not exist.
    Record(Option<Box<Record>>),
    /// Records sorted by name.
    Records(Vec<Record>),
    /// Overview of the ledger.
    Status(Box<LedgerStatus>),
    /// Record and progress of the work; `None` if it does not exist.
    Work(Option<Box<(Record, WorkStatus)>>),
}
