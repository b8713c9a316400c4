//! The leader's response to a renewal.

use {
    crate::TeamUsage,
    fuchsiatack_derives::message,
    fuchsiatack_model::{LogIndex, TeamName, WorkerName},
};

/// Request to reduce a session's pool of tokens.
#[message]
pub struct TokenTarget {
    /// Number of tokens that the session keeps.
    pub target: u32,
    /// Team whose tokens are to be returned.
    pub team: TeamName,
}

/// Response to a `Renewal`.
#[message]
pub struct RenewalResponse {
    /// Commit index when the renewal arrived. The lease is extended once the daemon has applied it.
    pub commit_index: LogIndex,
    /// Running and waiting tasks over the whole fleet, for the teams that the renewal listed.
    pub fleet: Vec<TeamUsage>,
    /// Workers that the daemon should release to balance the fleet.
    pub release_workers: Vec<WorkerName>,
    /// Pools that the daemon should reduce by returning tokens.
    pub return_tokens: Vec<TokenTarget>,
}
