//! What a test did to a cell, for the history checker.

use {
    crate::wall_us,
    fuchsiatack_derives::message,
    fuchsiatack_model::{KeyName, TaskOutcome, TeamName, WorkName, WorkerName},
};

/// An action of the operator or the test that the checker must know.
#[message]
#[serde(rename_all = "kebab-case")]
pub enum Control {
    /// The write of a drain record was accepted.
    Drained {
        /// The worker.
        worker: WorkerName,
    },
    /// The deletion of a drain record was accepted.
    DrainEnded {
        /// The worker.
        worker: WorkerName,
    },
    /// The deletion of a key record was accepted.
    KeyWithdrawn {
        /// The key.
        key: KeyName,
    },
    /// The write of a limit record was accepted.
    LimitSet {
        /// Most running tasks.
        max_running: u32,
        /// The team.
        team: TeamName,
    },
    /// The status of a work was read at the end of the test.
    WorkEnded {
        /// Outcome of each task.
        outcomes: Vec<Option<TaskOutcome>>,
        /// The work.
        work: WorkName,
    },
    /// A worker process was killed. Its tasks are over.
    WorkerKilled {
        /// The worker.
        worker: WorkerName,
    },
    /// A work was accepted.
    WorkSubmitted {
        /// Whether its tasks may run again.
        idempotent: bool,
        /// Number of tasks.
        tasks: u32,
        /// The work.
        work: WorkName,
    },
}

/// An action with its time.
#[message]
pub struct ControlEvent {
    /// Wall time of the answer in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The action.
    pub control: Control,
}

impl ControlEvent {
    /// An action that was just confirmed.
    pub fn now(control: Control) -> Self {
        Self {
            at_us: wall_us(),
            control,
        }
    }
}
