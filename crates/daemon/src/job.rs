//! Work that the engine is asked to run.

use {
    crate::run_response::RunResponse,
    bytes::Bytes,
    fuchsiatack_model::{QueueName, RequestId, SessionId, TaskClass, TeamName, WorkTask},
    smol_str::SmolStr,
    tokio::{sync::oneshot, time::Instant},
};

/// Number of a job, unique in the process. It stays the same when the job is run again as another task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct JobId(pub(crate) u64);

/// Who waits for the end of a job.
pub(crate) enum ReplyTo {
    /// A request.
    Caller(oneshot::Sender<RunResponse>),
    /// A task of a queued work.
    Work(WorkTask),
}

/// What one task runs.
pub(crate) struct Job {
    pub(crate) body: Bytes,
    pub(crate) content_type: Option<SmolStr>,
    pub(crate) reply: ReplyTo,
    pub(crate) request: RequestId,
    pub(crate) job_id: JobId,
    pub(crate) trace_parent: Option<SmolStr>,
}

/// What all jobs of a submission share.
#[derive(Clone)]
pub(crate) struct JobClass {
    pub(crate) task_class: TaskClass,
    /// Time by which it must have started.
    pub(crate) deadline: Option<Instant>,
    pub(crate) may_forward: bool,
    /// Queue it came through, with the most requests of one team that wait there.
    pub(crate) queue: Option<(QueueName, u32)>,
    /// Session in which it must start; none means any.
    pub(crate) session: Option<SessionId>,
    pub(crate) team: TeamName,
}

/// One request, or all tasks of a gang.
pub(crate) struct JobSubmission {
    pub(crate) class: JobClass,
    pub(crate) jobs: Vec<Job>,
}
