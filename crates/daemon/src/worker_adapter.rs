//! Calls of a daemon to a worker, independent of the protocol that the worker speaks.

use {
    async_trait::async_trait,
    bytes::Bytes,
    fuchsiatack_model::{
        Epoch, EpochRequest, LeaseRequest, RequestId, Resources, TaskCommand, TaskId, TeamName, WorkTask,
        WorkerReport,
    },
    smol_str::SmolStr,
};

/// Reason why a call to a worker, other than a run, failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerError {
    /// The worker has another epoch, or its lease has expired.
    Conflict,
    /// The call may have had an effect, but no valid response arrived.
    Lost,
    /// No connection could be opened, so the call had no effect.
    NotSent,
}

/// Call that runs a task.
pub(crate) struct RunCall {
    /// Body of the request, which is the input of the task.
    pub(crate) body: Bytes,
    /// Content type of the body; absent if none was given.
    pub(crate) content_type: Option<SmolStr>,
    /// Resources that are allocated to the task.
    pub(crate) demand: Resources,
    /// Ownership epoch, by which the worker rejects calls of a former owner.
    pub(crate) epoch: Epoch,
    /// Request id of the caller.
    pub(crate) request: RequestId,
    /// Identifier of the task, for commands and reports.
    pub(crate) task: TaskId,
    /// Team that the task counts for.
    pub(crate) team: TeamName,
    /// W3C trace context; absent if the caller gave none and traces are off.
    pub(crate) trace_parent: Option<SmolStr>,
    /// Task of a queued work; absent for a request.
    pub(crate) work: Option<WorkTask>,
}

/// Complete response of a worker to a run.
#[derive(Clone, Debug)]
pub(crate) struct WorkerResponse {
    /// Complete body, passed on unchanged.
    pub(crate) body: Bytes,
    /// Content type of the body; absent if none was given.
    pub(crate) content_type: Option<SmolStr>,
    /// HTTP status of the worker.
    pub(crate) status: u16,
}

impl WorkerResponse {
    /// Returns whether the status reports success.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self.status, 200..=299)
    }
}

/// End of a run call.
#[derive(Clone, Debug)]
pub(crate) enum RunEnd {
    /// The worker responded, so the task has ended.
    Responded(WorkerResponse),
    /// The connection was lost; the task may still run.
    Lost,
    /// The worker refused the task or could not be reached, so the task was not started.
    Refused,
}

/// Client of workers that speak one protocol. `address` is an IP address and port.
#[async_trait]
pub(crate) trait WorkerAdapter: Send + Sync {
    /// Presents an ownership epoch, which also grants a lease.
    async fn present_epoch(&self, address: &str, request: &EpochRequest)
    -> Result<WorkerReport, WorkerError>;

    /// Renews the task lease of the worker.
    async fn renew(&self, address: &str, request: &LeaseRequest) -> Result<WorkerReport, WorkerError>;

    /// Runs a task and waits for the response.
    async fn run(&self, address: &str, call: RunCall) -> RunEnd;

    /// Sends a command to a running task.
    async fn command(
        &self,
        address: &str,
        epoch: Epoch,
        task: TaskId,
        command: TaskCommand,
    ) -> Result<(), WorkerError>;
}
