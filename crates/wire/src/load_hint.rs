//! Load hints, the only content of datagrams.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DaemonName, SessionId, TeamName},
};

/// Load of an entry daemon. Losing one costs waiting time only.
#[message]
pub struct LoadHint {
    /// The daemon.
    pub daemon: DaemonName,
    /// Free slots on its workers.
    pub free_slots: u32,
    /// Number of this hint in its session; older ones that arrive late are dropped.
    pub sequence: u64,
    /// Session of the daemon.
    pub session: SessionId,
    /// Teams with a limit that have free tokens at the daemon, at most `MAX_TOKEN_TEAMS`.
    pub token_teams: Vec<TeamName>,
    /// Tasks waiting at the daemon.
    pub waiting: u32,
}

impl LoadHint {
    /// Most teams that one hint names, so that it fits a datagram of about 1,200 bytes.
    pub const MAX_TOKEN_TEAMS: usize = 32;
}
