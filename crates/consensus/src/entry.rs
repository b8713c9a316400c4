//! Entries of the replicated log.

use {
    crate::{Member, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
};

/// Content of a log entry.
#[message]
pub enum Payload {
    /// Encoded command for the state machine; empty in the entry that a new leader appends.
    Command(Vec<u8>),
    /// Complete new member list. A member uses it as soon as it has appended the entry, even before
    /// the entry is committed.
    Members(Vec<Member>),
}

impl Payload {
    /// Returns the approximate encoded size in bytes. A member counts as `MEMBER_BYTES`.
    pub(crate) fn size_bytes(&self) -> usize {
        const MEMBER_BYTES: usize = 64;
        match self {
            Self::Command(command) => command.len(),
            Self::Members(members) => members.len() * MEMBER_BYTES,
        }
    }
}

/// One entry of the replicated log.
#[message]
pub struct Entry {
    /// Position in the log; the first entry has index 1.
    pub index: LogIndex,
    /// Command or member list.
    pub payload: Payload,
    /// Term of the leader that appended it.
    pub term: Term,
}
