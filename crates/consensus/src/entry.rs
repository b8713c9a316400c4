//! Entries of the replicated log.

use {
    crate::{Member, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
};

/// Content of an entry.
#[message]
pub enum Payload {
    /// Command for the state machine. Empty in the entry that a new leader appends.
    Command(Vec<u8>),
    /// Complete member list, in force from the moment a member appends the entry.
    Members(Vec<Member>),
}

impl Payload {
    /// Returns the approximate encoded size in bytes.
    pub(crate) fn size_bytes(&self) -> usize {
        const MEMBER_BYTES: usize = 64;
        match self {
            Self::Command(command) => command.len(),
            Self::Members(members) => members.len() * MEMBER_BYTES,
        }
    }
}

/// One entry of the log.
#[message]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
    /// Term of the leader that appended it.
    pub term: Term,
}
