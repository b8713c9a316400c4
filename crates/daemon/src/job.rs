//! Jobs that other tasks submit to the engine.

use {
    crate::run_response::RunResponse,
    bytes::Bytes,
    fuchsiatack_model::{QueueName, RequestId, SessionId, TaskClass, TeamName, WorkTask},
    smol_str::SmolStr,
    tokio::{sync::oneshot, time::Instant},
};

/// Identifier of a job, unique in the process. A job that is run again as a new task keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct JobId(pub(crate) u64);

/// Receiver of a job's response.
pub(crate) enum ReplyTo {
    /// A caller or peer that waits for the response.
    Caller(oneshot::Sender<RunResponse>),
    /// A task of a queued work, whose end is committed to the ledger.
    Work(WorkTask),
}

/// Input of one task.
pub(crate) struct Job {
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) job_id: JobId,
    /// Whether a peer that was lost may have run it.
    pub(crate) may_have_run: bool,
    pub(crate) reply: ReplyTo,
    pub(crate) request: RequestId,
    pub(crate) trace_parent: Option<SmolStr>,
}

/// Properties that all jobs of a submission share.
#[derive(Clone)]
pub(crate) struct JobClass {
    /// Time by which a job must have started; absent if it may wait for any time.
    pub(crate) deadline: Option<Instant>,
    pub(crate) may_forward: bool,
    /// Queue of the request, with the limit of waiting requests of one team; absent for tasks of
    /// works, requests of peers and jobs that are run again.
    pub(crate) queue: Option<(QueueName, u32)>,
    /// Session in which the jobs must start; any session if absent.
    pub(crate) session: Option<SessionId>,
    pub(crate) task_class: TaskClass,
    pub(crate) team: TeamName,
}

/// One request or task, or all tasks of a gang.
pub(crate) struct JobSubmission {
    pub(crate) class: JobClass,
    pub(crate) jobs: Vec<Job>,
}
