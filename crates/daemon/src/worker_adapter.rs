//! What a daemon asks of a worker, independent of the worker's dialect.

use {
    async_trait::async_trait,
    bytes::Bytes,
    fuchsiatack_model::{
        Epoch, EpochRequest, LeaseRequest, RequestId, Resources, TaskCommand, TaskId, TeamName, WorkTask,
        WorkerReport,
    },
    smol_str::SmolStr,
};

/// Why a call to a worker other than a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerError {
    /// The worker holds another epoch, or its lease has ended.
    Conflict,
    /// The call may have taken effect; its answer is lost.
    Lost,
    /// The connection was not made, so the call had no effect.
    NotSent,
}

/// A task to run.
pub(crate) struct RunCall {
    /// Body of the task.
    pub(crate) body: Bytes,
    /// Content type of the body.
    pub(crate) content_type: Option<SmolStr>,
    /// What the task holds.
    pub(crate) demand: Resources,
    /// Ownership epoch.
    pub(crate) epoch: Epoch,
    /// Identifier that the caller chose.
    pub(crate) request: RequestId,
    /// The task.
    pub(crate) task: TaskId,
    /// Team it counts for.
    pub(crate) team: TeamName,
    /// W3C trace context.
    pub(crate) trace_parent: Option<SmolStr>,
    /// Task of a queued work, if it is one.
    pub(crate) work: Option<WorkTask>,
}

/// Complete answer of a worker to a run.
#[derive(Clone, Debug)]
pub(crate) struct WorkerResponse {
    /// Whole body.
    pub(crate) body: Bytes,
    /// Content type of the body.
    pub(crate) content_type: Option<SmolStr>,
    /// HTTP status.
    pub(crate) status: u16,
}

impl WorkerResponse {
    /// Returns whether the task succeeded.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self.status, 200..=299)
    }
}

/// How a run call ended.
#[derive(Clone, Debug)]
pub(crate) enum RunEnd {
    /// The worker answered.
    Responded(WorkerResponse),
    /// The connection broke; the task may run.
    Lost,
    /// Nothing was started.
    Refused,
}

/// Client of workers that speak one dialect. `address` is an IP address and port.
#[async_trait]
pub(crate) trait WorkerAdapter: Send + Sync {
    /// Presents an ownership epoch.
    async fn present_epoch(&self, address: &str, request: &EpochRequest)
    -> Result<WorkerReport, WorkerError>;

    /// Renews the lease of the worker's tasks.
    async fn renew(&self, address: &str, request: &LeaseRequest) -> Result<WorkerReport, WorkerError>;

    /// Runs a task and waits for its end.
    async fn run(&self, address: &str, call: RunCall) -> RunEnd;

    /// Asks something of a running task.
    async fn command(
        &self,
        address: &str,
        epoch: Epoch,
        task: TaskId,
        command: TaskCommand,
    ) -> Result<(), WorkerError>;
}
