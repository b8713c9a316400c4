//! Snapshots of the state machine.

use {
    crate::{Member, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
};

/// Encoded state of the state machine that replaces the log up to `index`.
///
/// A new cell starts from a snapshot at index 0 with the initial member list and empty data.
#[message]
pub struct Snapshot {
    /// Encoded state; empty at index 0.
    pub data: Vec<u8>,
    /// Last log index that the state includes.
    pub index: LogIndex,
    /// Member list as of `index`.
    pub members: Vec<Member>,
    /// Term of the entry at `index`; 0 at index 0.
    pub term: Term,
}
