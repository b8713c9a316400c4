//! Durable state of a member.

use {
    crate::{Entry, MemberId, Snapshot, Term},
    fuchsiatack_derives::{message, value},
    std::sync::Arc,
};

/// Term and vote. A vote is sent only after the hard state that contains it is synced.
#[derive(Copy, Default, Eq)]
#[message]
pub struct HardState {
    /// Highest term that the member has seen.
    pub term: Term,
    /// Candidate that the member voted for in `term`, if any.
    pub vote: Option<MemberId>,
}

/// State read from the data folder at start.
#[value]
pub struct StoredState {
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Arc<Entry>>,
    /// Latest stored term and vote.
    pub hard_state: HardState,
    /// Identity from the data folder.
    pub identity: MemberId,
    /// Latest snapshot; `None` until the cell is formed or a leader's snapshot is received.
    pub snapshot: Option<Arc<Snapshot>>,
}
