//! Report of an entry daemon, sent with each renewal of its session.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{LogIndex, Resources, SessionId, TeamName},
};

/// Number of running and waiting tasks of one team.
#[message]
pub struct TeamUsage {
    /// Number of tasks that run on workers.
    pub running: u32,
    /// Team that the tasks belong to.
    pub team: TeamName,
    /// Number of tasks that wait at a daemon.
    pub waiting: u32,
}

/// Periodic report of a session. Only teams with running or waiting tasks are listed.
#[message]
pub struct Renewal {
    /// Log index up to which the daemon has applied changes.
    pub applied: LogIndex,
    /// Sum of the free resources on the daemon's workers.
    pub free: Resources,
    /// Session to renew.
    pub session: SessionId,
    /// Whether the daemon is in a planned stop. It then gets no more workers, tokens or tasks.
    pub stopping: bool,
    /// Usage of each listed team at this daemon.
    pub usage: Vec<TeamUsage>,
}
