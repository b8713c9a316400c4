//! Reads of the ledger through the leader.

use {
    crate::{JournalEntry, JournalKey, LedgerStatus},
    fuchsiatack_derives::message,
    fuchsiatack_model::{WorkName, WorkStatus},
    fuchsiatack_records::{Kind, Record},
    smol_str::SmolStr,
};

/// A read that reflects every command committed before it was asked.
#[message]
pub enum Query {
    /// State of a journalled request.
    Journal(JournalKey),
    /// One record.
    Record {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
    },
    /// All records of a kind, by name.
    Records(Kind),
    /// Sessions, workers, tokens.
    Status,
    /// Progress of a work.
    Work(WorkName),
}

/// Answer to a `Query`, by the same variant.
#[message]
pub enum QueryReply {
    /// `None` if the journal does not know the request.
    Journal(Option<JournalEntry>),
    /// `None` if there is no such record.
    Record(Option<Box<Record>>),
    /// Records by name.
    Records(Vec<Record>),
    /// The status.
    Status(Box<LedgerStatus>),
    /// The record and its progress, or `None` if there is no such work.
    Work(Option<Box<(Record, WorkStatus)>>),
}
