//! What an entry daemon reports with each renewal of its session.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{LogIndex, Resources, SessionId, TeamName},
};

/// Use of one team at one daemon.
#[message]
pub struct TeamUsage {
    /// Tasks running on the daemon's workers.
    pub running: u32,
    /// The team.
    pub team: TeamName,
    /// Tasks waiting at the daemon.
    pub waiting: u32,
}

/// Periodic report of a session. Only teams with running or waiting tasks are listed.
#[message]
pub struct Renewal {
    /// Index up to which the daemon has applied changes.
    pub applied: LogIndex,
    /// Free amounts on the daemon's workers, added up.
    pub free: Resources,
    /// The session.
    pub session: SessionId,
    /// Whether the daemon is in a planned stop. It gets no more workers, tokens or tasks.
    pub stopping: bool,
    /// Use by team.
    pub usage: Vec<TeamUsage>,
}
