//! Overview of the ledger as shown by `fuchsiatack status`.

use {
    crate::{DaemonInfo, WorkerEntry},
    fuchsiatack_derives::message,
    fuchsiatack_model::{SessionId, TeamName},
};

/// A session that is live, or that has ended while its tasks may still run.
#[message]
pub struct SessionStatus {
    /// Daemon that opened the session.
    pub daemon: DaemonInfo,
    /// Whether the session has ended. It keeps its tokens until none of its tasks can run.
    pub ended: bool,
    /// Id of the session.
    pub session: SessionId,
}

/// Tokens of one team that one session holds.
#[message]
pub struct TokenStatus {
    /// Session that holds the tokens.
    pub session: SessionId,
    /// Team that the tokens belong to.
    pub team: TeamName,
    /// Number of tokens.
    pub tokens: u32,
}

/// A worker with its current owner.
pub type WorkerStatus = WorkerEntry;

/// Overview of the ledger.
#[message]
pub struct LedgerStatus {
    /// Number of journal entries of all teams.
    pub journal_entries: u64,
    /// Sessions sorted by id.
    pub sessions: Vec<SessionStatus>,
    /// Tokens sorted by team and session.
    pub tokens: Vec<TokenStatus>,
    /// Workers sorted by name.
    pub workers: Vec<WorkerStatus>,
}
