//! Results of commands.

use {
    crate::{JournalEntry, LedgerError},
    fuchsiatack_derives::message,
    fuchsiatack_model::{Epoch, SessionId},
    smol_str::SmolStr,
};

/// The write that won a race.
#[message]
pub struct WriteConflict {
    /// Who made the winning write.
    pub author: SmolStr,
    /// Version that is in force; 0 if the record does not exist.
    pub version: u64,
}

/// Result of applying a command.
#[message]
pub enum Reply {
    /// Applied, with nothing to say.
    Applied,
    /// The worker was assigned.
    Assigned(Epoch),
    /// The record was written under another version.
    Conflict(WriteConflict),
    /// Number of tokens granted or returned.
    Counted(u32),
    /// The journal already knows the request.
    JournalKnown(Box<JournalEntry>),
    /// The request was journalled; the session may dispatch it.
    JournalStarted,
    /// Refused; nothing changed.
    Refused(LedgerError),
    /// The session was opened.
    SessionOpened(SessionId),
    /// The record was written and has this version now.
    Written {
        /// New version, or the withdrawn one.
        version: u64,
    },
}
