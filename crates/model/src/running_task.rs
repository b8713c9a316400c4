//! A task that a worker reports as running.

use {
    crate::{Resources, TaskId, TeamName, WorkTask},
    fuchsiatack_derives::message,
};

/// One entry of a worker's list of running tasks.
#[message]
pub struct RunningTask {
    /// What the task holds.
    pub demand: Resources,
    /// The task.
    pub task: TaskId,
    /// Team the task counts for.
    pub team: TeamName,
    /// Task of a queued work, if it is one.
    #[serde(default)]
    pub work: Option<WorkTask>,
}
