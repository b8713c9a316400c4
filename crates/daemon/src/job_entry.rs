//! A job with the state of its current task.

use {
    crate::{
        job::{Job, JobClass},
        shared::OpenGuard,
        traces::SpanGuard,
    },
    fuchsiatack_model::{DaemonName, Epoch, WorkerName},
    tokio::{task::AbortHandle, time::Instant},
};

/// Attempt to run a task on a worker.
pub(crate) struct RunningJob {
    pub(crate) abort: AbortHandle,
    pub(crate) epoch: Epoch,
    pub(crate) worker: WorkerName,
}

/// State of a job's current task. Variants are sorted by name.
pub(crate) enum JobState {
    /// Forwarded to a peer, whose response is awaited, or the end of its runs if it was lost.
    Forwarded { abort: AbortHandle, daemon: DaemonName },
    /// The connection to the worker was lost at `at`; the task may still run.
    Lost { at: Instant, worker: WorkerName },
    /// Started on a worker, whose response is awaited.
    Running(RunningJob),
    /// The kernel has not placed it yet.
    Waiting,
}

/// A job that has not ended.
pub(crate) struct JobEntry {
    /// Whether its caller disconnected or its work was cancelled.
    pub(crate) cancelled: bool,
    pub(crate) class: JobClass,
    pub(crate) job: Job,
    /// Present for a task of a queued work, whose end a planned stop waits for.
    _open_guard: Option<OpenGuard>,
    pub(crate) state: JobState,
    /// Whether the worker was asked to cancel the task.
    pub(crate) stopping: bool,
    /// Trace span of the wait; absent once the task was started or forwarded.
    pub(crate) wait_span: Option<SpanGuard>,
    pub(crate) waiting_since: Instant,
}

impl JobEntry {
    pub(crate) fn new(
        class: JobClass,
        job: Job,
        wait_span: SpanGuard,
        open_guard: Option<OpenGuard>,
    ) -> Self {
        Self {
            cancelled: false,
            class,
            job,
            _open_guard: open_guard,
            state: JobState::Waiting,
            stopping: false,
            wait_span: Some(wait_span),
            waiting_since: Instant::now(),
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, JobState::Waiting)
    }

    /// Returns whether the task runs on a worker, or may run there after a lost connection.
    pub(crate) fn is_on(&self, worker: &WorkerName) -> bool {
        match &self.state {
            JobState::Lost { worker: on, .. } => on == worker,
            JobState::Running(running) => running.worker == *worker,
            JobState::Forwarded { .. } | JobState::Waiting => false,
        }
    }
}
