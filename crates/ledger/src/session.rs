//! Sessions as the ledger keeps them.

use {
    crate::DaemonInfo,
    fuchsiatack_derives::message,
    fuchsiatack_model::{TeamName, WorkerName},
    std::collections::{BTreeMap, BTreeSet},
};

/// A session that is live, or has ended and still has workers to be counted.
#[message]
pub(crate) struct Session {
    /// Workers that the session fenced and no later owner has fenced, nor reported as lost.
    /// Tasks that the session started can only run on these.
    pub(crate) counted: BTreeSet<WorkerName>,
    /// The daemon.
    pub(crate) daemon: DaemonInfo,
    /// Whether it has ended.
    pub(crate) ended: bool,
    /// Workers that it owns at present.
    pub(crate) owned: BTreeSet<WorkerName>,
    /// Number of the last return of tokens of each team.
    pub(crate) returns: BTreeMap<TeamName, u64>,
}

impl Session {
    /// Creates a live session without workers.
    pub(crate) fn new(daemon: DaemonInfo) -> Self {
        Self {
            counted: BTreeSet::new(),
            daemon,
            ended: false,
            owned: BTreeSet::new(),
            returns: BTreeMap::new(),
        }
    }
}
