//! Specification and progress of queued work.

use {
    crate::{Policy, Refusal, Resources, TeamName, WorkName},
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// Contents of a `work` record.
#[message]
pub struct WorkSpec {
    /// Body of the request to the worker, the same for every task.
    pub body: SmolStr,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Whether a task that was lost may run again.
    pub idempotent: bool,
    /// Scheduling policy: `Batch`, `Gang` or `Service`.
    pub policy: Policy,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Team whose share and limit the tasks count towards.
    pub team: TeamName,
}

/// Final state of one task of a work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The work was cancelled before the task ended.
    Cancelled,
    /// The worker ran the task and returned its result.
    Done,
    /// The worker ran the task and reported a failure.
    Failed,
    /// The task may have run, its result was lost, and it does not run again.
    Unknown,
}

/// Phase of a work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum WorkPhase {
    /// The work was cancelled before all tasks had ended.
    Cancelled,
    /// All tasks have ended.
    Finished,
    /// At least one task is assigned to a daemon.
    Running,
    /// Not all tasks have ended, and none is assigned to a daemon.
    Waiting,
}

/// Progress of a work, as shown in its status.
#[message]
pub struct WorkStatus {
    /// Reason why tasks cannot be placed at present; absent if they can.
    pub blocked: Option<Refusal>,
    /// Resources that the fleet lacks if the work can never fit; absent otherwise.
    ///
    /// For a gang it is the demand of the tasks that do not fit on the daemon whose workers fit
    /// the most of them, otherwise the shortfall of one task on the worker that comes closest. All
    /// amounts are zero if only the team's limit is too low.
    pub missing: Option<Resources>,
    /// Outcome of each task by its number; `None` for a task that has not ended.
    pub outcomes: Vec<Option<TaskOutcome>>,
    /// Phase of the work as a whole.
    pub phase: WorkPhase,
}

/// Reference to one task of a work.
#[derive(Eq, Hash, PartialOrd, Ord)]
#[message]
pub struct WorkTask {
    /// Number of the task in the work, counted from 0.
    pub number: u32,
    /// Name of the work.
    pub work: WorkName,
}
