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
}

impl std::error::Error for LedgerError {}
