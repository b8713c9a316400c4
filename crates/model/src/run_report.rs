//! Bodies that an entry daemon exchanges with a worker.

use {
    crate::{Epoch, RunningTask},
    fuchsiatack_derives::message,
};

/// Body of `POST /v1/epoch`: the sender owns the worker from now on.
///
/// A worker answers 200 with a `WorkerReport` if `epoch` is higher than the one it
/// holds, 200 as well if it is equal and its lease has not ended, and 409 otherwise.
#[message]
pub struct EpochRequest {
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// Lease of the worker's tasks from receipt, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `POST /v1/lease`: renews the lease of all tasks on the worker.
///
/// A worker answers 409 if `epoch` is not the one it holds or its lease has ended.
#[message]
pub struct LeaseRequest {
    /// Ownership epoch of the sender.
    pub epoch: Epoch,
    /// Lease of the worker's tasks from receipt, in milliseconds.
    pub lease_ms: u64,
}

/// Answer of a worker to an epoch or lease request.
#[message]
pub struct WorkerReport {
    /// Ownership epoch that the worker holds.
    pub epoch: Epoch,
    /// Whether the worker is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// Tasks running now.
    pub running: Vec<RunningTask>,
}

/// What an owner can ask of a running task, after `POST /v1/tasks/{task}/`.
#[fuchsiatack_derives::key]
#[serde(rename_all = "kebab-case")]
pub enum TaskCommand {
    /// Stops the task. The answer 200 means it no longer runs.
    Cancel,
    /// Saves the task's progress.
    Checkpoint,
    /// Slows the task down.
    Throttle,
}

impl TaskCommand {
    /// Last path segment of the call.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cancel => "cancel",
            Self::Checkpoint => "checkpoint",
            Self::Throttle => "throttle",
        }
    }
}
