//! State of a worker in the ledger.

use {crate::WorkerEntry, fuchsiatack_derives::message, fuchsiatack_model::SessionId};

/// A worker and the session for which its running tasks are counted.
#[message]
pub(crate) struct Worker {
    /// Last session that fenced the worker, as long as tasks of that session may run on it.
    pub(crate) counted_for: Option<SessionId>,
    /// State that followers receive.
    pub(crate) entry: WorkerEntry,
}

impl Worker {
    /// Returns whether the allocator should assign the worker.
    pub(crate) fn needs_owner(&self) -> bool {
        self.entry.owner.is_none() && !self.entry.lost
    }
}
