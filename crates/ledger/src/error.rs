//! Errors of commands.

use {displaydoc::Display, fuchsiatack_derives::message, fuchsiatack_model::SessionId, smol_str::SmolStr};

/// Reason why a command was refused.
#[derive(Display)]
#[message]
pub enum LedgerError {
    /// the journal of team {team} is full
    JournalFull {
        /// Team that the entries belong to.
        team: SmolStr,
    },
    /// {kind} {name} does not exist
    NotFound {
        /// Kind of the missing object, as shown in the message.
        kind: SmolStr,
        /// Name of the missing object.
        name: SmolStr,
    },
    /// session {0:?} has ended
    SessionEnded(SessionId),
    /// the epoch or the owner of worker {worker} has changed
    StaleEpoch {
        /// Name of the worker.
        worker: SmolStr,
    },
    /// the cell has reached its limit of {limit} workers
    TooManyWorkers {
        /// Largest number of workers.
        limit: u32,
    },
    /// work {work} exists already and has tasks that have not ended
    WorkBusy {
        /// Name of the work.
        work: SmolStr,
    },
    /// team {team} has reached its limit of works that have not ended
    WorkQueueFull {
        /// Team that the works belong to.
        team: SmolStr,
    },
}

impl std::error::Error for LedgerError {}
