//! Snapshots of the state machine.

use {
    crate::{Member, Term},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
};

/// State of the state machine that replaces the log up to `index`.
///
/// A cell starts from a snapshot at index 0 with the initial member list and empty data.
#[message]
pub struct Snapshot {
    /// Encoded state; empty at index 0.
    pub data: Vec<u8>,
    /// Last index it contains.
    pub index: LogIndex,
    /// Member list as of `index`.
    pub members: Vec<Member>,
    /// Term of the entry at `index`.
    pub term: Term,
}
