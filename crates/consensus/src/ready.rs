//! Work that a node returns to its driver.

use {
    crate::{Entry, Envelope, HardState, Snapshot},
    fuchsiatack_derives::{key, value},
    std::sync::Arc,
};

/// Sequence number of a `Ready`; increases with each `Node::take_ready`.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct PersistMark(pub u64);

/// Work for the driver, in this order: send `immediate`, persist and sync, send `after_sync`, call
/// `Node::persisted`. `committed` can be applied without waiting for the sync, but only after
/// `snapshot` is installed if `install_snapshot` is set.
///
/// `after_sync` also waits for the sync of every earlier `Ready`.
#[derive(Default)]
#[value]
pub struct Ready {
    /// Messages to send once this and every earlier `Ready` is synced, such as votes.
    pub after_sync: Vec<Envelope>,
    /// Newly committed entries, to be applied in order.
    pub committed: Vec<Arc<Entry>>,
    /// Tokens passed to `Node::confirm_leadership` for which the leadership is now confirmed. Their
    /// reads can be served once `committed` is applied.
    pub confirmed: Vec<u64>,
    /// Entries to store. The first one replaces any stored entry at its index and all later ones.
    pub entries: Vec<Arc<Entry>>,
    /// Term and vote to store; `None` if unchanged.
    pub hard_state: Option<HardState>,
    /// Messages to send without waiting for the sync.
    pub immediate: Vec<Envelope>,
    /// Whether to replace the state machine's state by `snapshot` before `committed` is applied.
    pub install_snapshot: bool,
    /// Mark to pass to `Node::persisted` after the sync.
    pub mark: PersistMark,
    /// Whether to discard the stored log, because it does not continue the snapshot.
    pub reset_log: bool,
    /// Snapshot to store; `None` if unchanged.
    pub snapshot: Option<Arc<Snapshot>>,
}

impl Ready {
    /// Returns whether the driver has nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_sync()
            && self.after_sync.is_empty()
            && self.committed.is_empty()
            && self.confirmed.is_empty()
            && self.immediate.is_empty()
    }

    /// Returns whether the driver has to store and sync something.
    pub fn needs_sync(&self) -> bool {
        self.hard_state.is_some() || !self.entries.is_empty() || self.snapshot.is_some()
    }
}
