//! Work that a node hands to its driver.

use {
    crate::{Entry, Envelope, HardState, Snapshot},
    fuchsiatack_derives::{key, value},
    std::sync::Arc,
};

/// Identifies a `Ready`. Later ones have higher marks.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct PersistMark(pub u64);

/// Work for the driver: send `immediate`, persist, send `after_sync`, then call
/// `Node::persisted`. `committed` may be applied at once, after an installed snapshot.
///
/// `after_sync` must also wait for the sync of every earlier `Ready`.
#[derive(Default)]
#[value]
pub struct Ready {
    /// Messages to send once this and every earlier `Ready` is synced.
    pub after_sync: Vec<Envelope>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Arc<Entry>>,
    /// Tokens of confirmed leadership. The state reflects them once `committed` is applied.
    pub confirmed: Vec<u64>,
    /// Entries to store. The first one replaces a stored entry of its index and all later ones.
    pub entries: Vec<Arc<Entry>>,
    /// Term and vote to store.
    pub hard_state: Option<HardState>,
    /// Messages that may be sent at once.
    pub immediate: Vec<Envelope>,
    /// Whether `snapshot` replaces the state machine's state before `committed` is applied.
    pub install_snapshot: bool,
    /// Mark for `Node::persisted`.
    pub mark: PersistMark,
    /// Whether the stored log does not continue the snapshot and must be discarded.
    pub reset_log: bool,
    /// Snapshot to store.
    pub snapshot: Option<Arc<Snapshot>>,
}

impl Ready {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
            && self.confirmed.is_empty()
            && self.immediate.is_empty()
    }

    /// Returns whether something must be stored.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || !self.entries.is_empty() || self.snapshot.is_some()
    }
}
