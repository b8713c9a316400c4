//! Queued work and its progress.

use {
    crate::{Policy, Refusal, Resources, TeamName, WorkName},
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
};

/// What a `work` record asks for.
#[message]
pub struct WorkSpec {
    /// Body that is sent to the worker for every task.
    pub body: SmolStr,
    /// Need of each task.
    pub demand: Resources,
    /// Whether a task may run again after it was lost.
    pub idempotent: bool,
    /// `Batch`, `Gang` or `Service`.
    pub policy: Policy,
    /// Number of tasks.
    pub tasks: u32,
    /// Team the work counts for.
    pub team: TeamName,
}

/// How one task of a work ended.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The work was cancelled before the task ended.
    Cancelled,
    /// The worker ran the task and returned an answer.
    Done,
    /// The worker ran the task and reported a failure.
    Failed,
    /// The task may have run; it is not run again.
    Unknown,
}

/// Stage of a work.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum WorkPhase {
    /// Withdrawn before its end.
    Cancelled,
    /// All tasks have ended.
    Finished,
    /// A daemon is placing and running its tasks.
    Running,
    /// No daemon has it yet.
    Waiting,
}

/// Progress of a work, as its status shows it.
#[message]
pub struct WorkStatus {
    /// Why tasks cannot be placed at present.
    pub blocked: Option<Refusal>,
    /// What the fleet lacks if the work never fits: for one task on the worker that comes
    /// closest, or for the rest of a gang on the daemon with the largest workers. It is nothing
    /// if the team's limit is too low for the gang.
    pub missing: Option<Resources>,
    /// Outcome of each task that has ended, by task number.
    pub outcomes: Vec<Option<TaskOutcome>>,
    /// Stage of the work.
    pub phase: WorkPhase,
}

/// One task of a queued work.
#[derive(Eq, Hash, PartialOrd, Ord)]
#[message]
pub struct WorkTask {
    /// Number of the task in the work, from 0.
    pub number: u32,
    /// The work.
    pub work: WorkName,
}
