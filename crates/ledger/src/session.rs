//! State of a session in the ledger.

use {
    crate::DaemonInfo,
    fuchsiatack_derives::message,
    fuchsiatack_model::{TeamName, WorkerName},
    std::collections::{BTreeMap, BTreeSet},
};

/// A session that is live, or that has ended while its tasks may still run on workers.
#[message]
pub(crate) struct Session {
    /// Workers that the session fenced and that no later owner has fenced or reported lost. Tasks
    /// that the session started can only run on these.
    pub(crate) counted_workers: BTreeSet<WorkerName>,
    /// Daemon that opened the session.
    pub(crate) daemon: DaemonInfo,
    /// Whether the session has ended.
    pub(crate) ended: bool,
    /// Workers that the session currently owns.
    pub(crate) owned_workers: BTreeSet<WorkerName>,
    /// Sequence number of the last applied return of tokens, by team.
    pub(crate) last_return_sequences: BTreeMap<TeamName, u64>,
}

impl Session {
    /// Creates a live session without workers.
    pub(crate) fn new(daemon: DaemonInfo) -> Self {
        Self {
            counted_workers: BTreeSet::new(),
            daemon,
            ended: false,
            owned_workers: BTreeSet::new(),
            last_return_sequences: BTreeMap::new(),
        }
    }
}
