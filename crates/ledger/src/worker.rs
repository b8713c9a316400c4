//! Workers as the ledger keeps them.

use {crate::WorkerEntry, fuchsiatack_derives::message, fuchsiatack_model::SessionId};

/// A worker with the session that its running tasks count for.
#[message]
pub(crate) struct Worker {
    /// Last session that fenced it, while tasks of that session may still run on it.
    pub(crate) counted_for: Option<SessionId>,
    /// What followers know of it.
    pub(crate) entry: WorkerEntry,
}

impl Worker {
    /// Returns whether the allocator may give the worker an owner.
    pub(crate) fn needs_owner(&self) -> bool {
        self.entry.owner.is_none() && !self.entry.lost
    }
}
