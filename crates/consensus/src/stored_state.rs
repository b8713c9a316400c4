//! State that a member keeps on its disk.

use {
    crate::{Entry, MemberId, Snapshot, Term},
    fuchsiatack_derives::{message, value},
    std::sync::Arc,
};

/// Term and vote. A vote may be sent only after the sync of its hard state.
#[derive(Copy, Default, Eq)]
#[message]
pub struct HardState {
    /// Latest term that the member has seen.
    pub term: Term,
    /// Candidate that got its vote in `term`.
    pub vote: Option<MemberId>,
}

/// Everything read from the disk at start.
#[value]
pub struct StoredState {
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Arc<Entry>>,
    /// Term and vote.
    pub hard_state: HardState,
    /// Identity of the disk.
    pub identity: MemberId,
    /// Latest snapshot; `None` until the disk holds a member list.
    pub snapshot: Option<Arc<Snapshot>>,
}
