//! What `fuchsiatack status` shows of the ledger.

use {
    crate::{DaemonInfo, WorkerEntry},
    fuchsiatack_derives::message,
    fuchsiatack_model::{SessionId, TeamName},
};

/// A session.
#[message]
pub struct SessionStatus {
    /// The daemon.
    pub daemon: DaemonInfo,
    /// Whether it has ended but still holds uncounted tokens.
    pub ended: bool,
    /// The session.
    pub session: SessionId,
}

/// Tokens of a team in one session.
#[message]
pub struct TokenStatus {
    /// The session.
    pub session: SessionId,
    /// The team.
    pub team: TeamName,
    /// Tokens it holds.
    pub tokens: u32,
}

/// A worker with its present owner.
pub type WorkerStatus = WorkerEntry;

/// Overview of the ledger.
#[message]
pub struct LedgerStatus {
    /// Journalled requests kept.
    pub journal_entries: u64,
    /// Sessions, by id.
    pub sessions: Vec<SessionStatus>,
    /// Tokens, by team and session.
    pub tokens: Vec<TokenStatus>,
    /// Workers, by name.
    pub workers: Vec<WorkerStatus>,
}
