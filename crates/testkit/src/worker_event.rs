//! Lines of a fake worker's log.

use {
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{Epoch, Resources, TaskId, TeamName, WorkTask, WorkerName},
    smol_str::SmolStr,
};

/// What happened on a worker.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum WorkerEventKind {
    /// An entry VM accepted an announcement.
    Announced,
    /// An entry VM accepted an announcement that the worker is leaving.
    AnnouncedLeaving,
    /// A task was stopped by its owner.
    Cancelled,
    /// A task saved its progress.
    Checkpointed,
    /// The worker process ends.
    Down,
    /// A task ended by itself with success.
    Ended,
    /// A task ended by itself with a failure.
    Failed,
    /// A higher epoch was accepted.
    Fenced,
    /// The lease ended; its tasks are stopped.
    LeaseEnded,
    /// A call was refused and started nothing.
    Refused,
    /// A task started.
    Started,
    /// A task was stopped since the lease ended or the process stops.
    Stopped,
    /// A task was slowed down.
    Throttled,
    /// The worker process started. Tasks of an earlier process with its name are over.
    Up,
}

impl WorkerEventKind {
    /// Returns whether a task is over after this event.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Cancelled | Self::Ended | Self::Failed | Self::Stopped)
    }
}

/// One event on a worker.
#[message]
pub struct WorkerEvent {
    /// Wall time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What the worker holds; on `up` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Resources>,
    /// What the task needs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Resources>,
    /// Status and cause of a refusal, or the entry address of an announcement.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
    /// Epoch that the worker holds, or that a refused call presented.
    pub epoch: Epoch,
    /// What happened.
    pub event: WorkerEventKind,
    /// Request identifier, from the header or the body of the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// The task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskId>,
    /// Team of the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Task of a queued work, if it is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<WorkTask>,
    /// The worker.
    pub worker: WorkerName,
}

impl WorkerEvent {
    /// Creates an event without task.
    pub fn new(at_us: u64, worker: &WorkerName, epoch: Epoch, event: WorkerEventKind) -> Self {
        Self {
            at_us,
            capacity: None,
            demand: None,
            detail: SmolStr::default(),
            epoch,
            event,
            request: None,
            task: None,
            team: None,
            work: None,
            worker: worker.clone(),
        }
    }
}
