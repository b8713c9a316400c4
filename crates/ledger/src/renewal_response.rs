//! What the leader answers to a renewal.

use {
    crate::TeamUsage,
    fuchsiatack_derives::message,
    fuchsiatack_model::{LogIndex, TeamName, WorkerName},
};

/// Pool size that a daemon should come down to.
#[message]
pub struct TokenTarget {
    /// Tokens to keep.
    pub target: u32,
    /// The team.
    pub team: TeamName,
}

/// Answer to a `Renewal`.
#[message]
pub struct RenewalResponse {
    /// Commit index when the renewal arrived. The lease holds once the daemon applied it.
    pub commit_index: LogIndex,
    /// Use of each team over the fleet, for the teams that the renewal listed.
    pub fleet: Vec<TeamUsage>,
    /// Workers that the daemon should hand over to balance the fleet.
    pub release_workers: Vec<WorkerName>,
    /// Pools that the daemon should reduce.
    pub return_tokens: Vec<TokenTarget>,
}
