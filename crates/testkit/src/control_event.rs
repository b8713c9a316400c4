//! Actions of a test on a cell, as input of the history checker.

use {
    crate::wall_us,
    fuchsiatack_derives::message,
    fuchsiatack_model::{KeyName, TaskOutcome, TeamName, WorkName, WorkerName},
};

/// An action of an operator or a test that affects what the checker expects.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Control {
    /// The write of a drain record was accepted.
    Drained {
        /// Worker that is drained.
        worker: WorkerName,
    },
    /// The deletion of a drain record was accepted.
    DrainEnded {
        /// Worker that accepts tasks again.
        worker: WorkerName,
    },
    /// The deletion of a key record was accepted.
    KeyWithdrawn {
        /// Name of the key record.
        key: KeyName,
    },
    /// The write of a limit record was accepted.
    LimitSet {
        /// Maximum number of running tasks of the team.
        max_running: u32,
        /// Team that the limit applies to.
        team: TeamName,
    },
    /// The status of a work was read at the end of the test.
    WorkEnded {
        /// Outcome of each task by its number; absent if the task has none.
        outcomes: Vec<Option<TaskOutcome>>,
        /// Name of the work.
        work: WorkName,
    },
    /// A worker process was killed, which ended its tasks.
    WorkerKilled {
        /// Worker that was killed.
        worker: WorkerName,
    },
    /// A work was accepted.
    WorkSubmitted {
        /// Whether its tasks may run more than once.
        idempotent: bool,
        /// Number of tasks.
        tasks: u32,
        /// Name of the work.
        work: WorkName,
    },
}

/// An action with the time of its confirmation.
#[message]
pub struct ControlEvent {
    /// Wall time of the response in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Action that was confirmed.
    pub control: Control,
}

impl ControlEvent {
    /// Creates the event of an action that was confirmed just now.
    pub fn now(control: Control) -> Self {
        Self {
            at_us: wall_us(),
            control,
        }
    }
}
