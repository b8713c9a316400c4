//! A job that the engine holds.

use {
    crate::{
        job::{Job, JobClass},
        shared::OpenGuard,
        traces::SpanGuard,
    },
    fuchsiatack_model::{Epoch, WorkerName},
    tokio::{task::AbortHandle, time::Instant},
};

/// Where a job's task runs.
pub(crate) struct RunningJob {
    pub(crate) abort: AbortHandle,
    pub(crate) epoch: Epoch,
    pub(crate) worker: WorkerName,
}

/// Progress of a job's present task. Variants are sorted by name.
pub(crate) enum JobState {
    /// A peer runs it.
    Forwarded(AbortHandle),
    /// The call broke at `at`; the task may still run.
    Lost { at: Instant, worker: WorkerName },
    /// A worker runs it.
    Running(RunningJob),
    /// The kernel has not placed it yet.
    Waiting,
}

/// A job with its state.
pub(crate) struct JobEntry {
    /// Whether its caller or work does not want it any more.
    pub(crate) cancelled: bool,
    pub(crate) class: JobClass,
    pub(crate) job: Job,
    /// Counts a task of a queued work that a planned stop waits for.
    _open_guard: Option<OpenGuard>,
    pub(crate) state: JobState,
    /// Whether its worker was asked to stop it.
    pub(crate) stopping: bool,
    /// Span of the wait.
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

    /// Returns whether it runs, or may run, on a worker.
    pub(crate) fn is_on(&self, worker: &WorkerName) -> bool {
        match &self.state {
            JobState::Lost { worker: on, .. } => on == worker,
            JobState::Running(running) => running.worker == *worker,
            JobState::Forwarded(_) | JobState::Waiting => false,
        }
    }
}
