//! Errors of the ledger.

use {displaydoc::Display, fuchsiatack_derives::message, fuchsiatack_model::SessionId, smol_str::SmolStr};

/// Why a command was refused.
#[derive(Display)]
#[message]
pub enum LedgerError {
    /// the journal is full for team {team}
    JournalFull {
        /// The team.
        team: SmolStr,
    },
    /// {what} {name} does not exist
    NotFound {
        /// Kind of thing.
        what: SmolStr,
        /// Its name.
        name: SmolStr,
    },
    /// session {0:?} has ended
    SessionEnded(SessionId),
    /// the epoch is not the present one of worker {worker}
    StaleEpoch {
        /// The worker.
        worker: SmolStr,
    },
    /// the cell knows {limit} workers, the most that it keeps
    TooManyWorkers {
        /// Number of workers.
        limit: u32,
    },
    /// work {work} was created before and still has tasks that have not ended
    WorkBusy {
        /// The work.
        work: SmolStr,
    },
    /// team {team} has too many works that have not ended
    WorkQueueFull {
        /// The team.
        team: SmolStr,
    },
}

impl std::error::Error for LedgerError {}
