//! Load hints, which entry daemons send to each other by UDP.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DaemonName, SessionId, TeamName},
};

/// Load of an entry daemon. A lost hint only makes requests wait longer.
#[message]
pub struct LoadHint {
    /// Name of the sending daemon.
    pub daemon: DaemonName,
    /// Sum of the free slots on the daemon's workers.
    pub free_slots: u32,
    /// Sequence number of the hint in its session. Hints that arrive out of order are dropped.
    pub sequence: u64,
    /// Session of the sending daemon.
    pub session: SessionId,
    /// Limited teams that have free tokens at the daemon, at most `MAX_TOKEN_TEAMS`.
    pub token_teams: Vec<TeamName>,
    /// Number of tasks waiting at the daemon.
    pub waiting: u32,
}

impl LoadHint {
    /// Largest number of teams in one hint, so that it fits into a datagram of about 1,200 bytes.
    pub const MAX_TOKEN_TEAMS: usize = 32;
}
