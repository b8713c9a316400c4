//! Entries of the list of running tasks in a worker's report.

use {
    crate::{Resources, TaskId, TeamName, WorkTask},
    fuchsiatack_derives::message,
};

/// A task that a worker reports as running.
#[message]
pub struct RunningTask {
    /// Resources that are reserved for the task.
    pub demand: Resources,
    /// Identifier of the task.
    pub task: TaskId,
    /// Team whose share and limit the task counts towards.
    pub team: TeamName,
    /// Queued work that the task belongs to; absent for a request.
    #[serde(default)]
    pub work: Option<WorkTask>,
}
