//! Bodies and path segments of the HTTP calls from an entry daemon to its workers.

use {
    crate::{Epoch, RunningTask},
    fuchsiatack_derives::message,
};

/// Request body of `POST /v1/epoch`, with which a daemon takes ownership of a worker.
///
/// The worker responds with status 200 and a `WorkerReport` if `epoch` is higher than the epoch
/// it holds, or if both are equal and its lease has not expired, and with status 409 otherwise.
#[message]
pub struct EpochRequest {
    /// Ownership epoch of the sending daemon.
    pub epoch: Epoch,
    /// Lease of the worker's tasks in milliseconds, counted from the receipt of the request.
    pub lease_ms: u64,
}

/// Request body of `POST /v1/lease`, which renews the lease of all tasks on the worker.
///
/// The worker responds with status 409 if `epoch` differs from the epoch it holds or if its lease
/// has expired.
#[message]
pub struct LeaseRequest {
    /// Ownership epoch of the sending daemon.
    pub epoch: Epoch,
    /// Lease of the worker's tasks in milliseconds, counted from the receipt of the request.
    pub lease_ms: u64,
}

/// Response of a worker to an epoch or lease request.
#[message]
pub struct WorkerReport {
    /// Ownership epoch that the worker holds.
    pub epoch: Epoch,
    /// Whether the worker is about to stop and must not receive new tasks.
    #[serde(default)]
    pub leaving: bool,
    /// Tasks that run on the worker at present.
    pub running: Vec<RunningTask>,
}

/// Command from the owner to a running task, sent as `POST /v1/tasks/{task}/{command}`.
#[fuchsiatack_derives::key]
#[serde(rename_all = "kebab-case")]
pub enum TaskCommand {
    /// Stops the task. Status 200 means that it no longer runs.
    Cancel,
    /// Saves the task's progress.
    Checkpoint,
    /// Slows the task down.
    Throttle,
}

impl TaskCommand {
    /// Returns the last segment of the request path.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cancel => "cancel",
            Self::Checkpoint => "checkpoint",
            Self::Throttle => "throttle",
        }
    }
}
