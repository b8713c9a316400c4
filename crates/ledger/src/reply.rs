//! Results of commands.

use {
    crate::{JournalEntry, LedgerError},
    fuchsiatack_derives::message,
    fuchsiatack_model::{Epoch, SessionId},
    smol_str::SmolStr,
};

/// State that a conflicting write found.
#[message]
pub struct WriteConflict {
    /// Author of the last write or deletion; empty if it is not known.
    pub author: SmolStr,
    /// Current version of the record; 0 if the record does not exist.
    pub version: u64,
}

/// Result of applying a command.
#[message]
pub enum Reply {
    /// The command was applied and has no other result.
    Applied,
    /// The worker was assigned under this epoch.
    Assigned(Epoch),
    /// The version of the write is not the current version of the record. Nothing was written.
    Conflict(WriteConflict),
    /// Number of tokens granted or returned.
    TokenCount(u32),
    /// The journal has this entry for the request, so it was not started.
    JournalKnown(Box<JournalEntry>),
    /// The request was journalled. The session may dispatch it.
    JournalStarted,
    /// The command was refused and changed nothing.
    Refused(LedgerError),
    /// The session was opened with this id.
    SessionOpened(SessionId),
    /// The record was written or deleted.
    Written {
        /// New version, or the deleted one.
        version: u64,
    },
}
