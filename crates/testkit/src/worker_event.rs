//! Lines of a fake worker's event log.

use {
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{Epoch, Resources, TaskId, TeamName, WorkTask, WorkerName},
    smol_str::SmolStr,
};

/// Kind of an event on a worker.
#[key]
#[serde(rename_all = "kebab-case")]
pub enum WorkerEventKind {
    /// An entry VM accepted an announcement.
    Announced,
    /// An entry VM accepted an announcement that the worker is leaving.
    AnnouncedLeaving,
    /// A task was cancelled by the worker's owner.
    Cancelled,
    /// A running task was asked to save its progress.
    Checkpointed,
    /// The worker stops gracefully.
    Down,
    /// A task completed successfully.
    Ended,
    /// A task ended with a failure.
    Failed,
    /// The worker accepted a higher epoch.
    Fenced,
    /// The lease expired, and its tasks are stopped.
    LeaseEnded,
    /// A request of the owner was refused and started nothing.
    Refused,
    /// A task started.
    Started,
    /// A task was stopped because the lease expired or the worker stops.
    Stopped,
    /// The rest of a task was slowed down.
    Throttled,
    /// The worker started. Tasks of an earlier worker with the same name have ended.
    Up,
}

impl WorkerEventKind {
    /// Returns whether this event ends a task.
    pub fn is_end(self) -> bool {
        matches!(self, Self::Cancelled | Self::Ended | Self::Failed | Self::Stopped)
    }
}

/// One event on a worker.
#[message]
pub struct WorkerEvent {
    /// Wall time in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Capacity of the worker; on `up` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Resources>,
    /// Resources that the task needs; absent without a task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Resources>,
    /// Status and cause of a refusal, or the address that accepted an announcement; otherwise empty.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub detail: SmolStr,
    /// Current epoch of the worker, or the epoch of the refused request.
    pub epoch: Epoch,
    /// Kind of the event.
    pub event: WorkerEventKind,
    /// Request identifier, from the header or the body of the task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<SmolStr>,
    /// Identifier of the task; absent for events of the worker itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub task: Option<TaskId>,
    /// Team that the task belongs to; absent without a task.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// Work and task number; absent for interactive requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<WorkTask>,
    /// Name of the worker.
    pub worker: WorkerName,
}

impl WorkerEvent {
    /// Creates an event without a task and without details.
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
