//! A job that the engine holds.

use {
    crate::{
        job::{Job, JobClass},
        shared::OpenGuard,
        traces::Hop,
    },
    fuchsiatack_model::{Epoch, WorkerName},
    tokio::{task::AbortHandle, time::Instant},
};

/// Where a job's task runs.
pub(crate) struct RunningAt {
    pub(crate) abort: AbortHandle,
    pub(crate) epoch: Epoch,
    pub(crate) worker: WorkerName,
}

/// Progress of a job's present task. Variants are sorted by name.
pub(crate) enum EntryState {
    /// A peer runs it.
    Forwarded(AbortHandle),
    /// The call broke at `at`; the task may still run.
    Lost { at: Instant, worker: WorkerName },
    /// A worker runs it.
    Running(RunningAt),
    /// The kernel has not placed it yet.
    Waiting,
}

/// A job with its state.
pub(crate) struct Entry {
    /// Whether its caller or work does not want it any more.
    pub(crate) cancelled: bool,
    pub(crate) class: JobClass,
    pub(crate) job: Job,
    /// Counts a task of a queued work that a planned stop waits for.
    _open: Option<OpenGuard>,
    pub(crate) state: EntryState,
    /// Whether its worker was asked to stop it.
    pub(crate) stopping: bool,
    /// Span of the wait.
    pub(crate) wait: Option<Hop>,
    pub(crate) waiting_since: Instant,
}

impl Entry {
    pub(crate) fn new(class: JobClass, job: Job, wait: Hop, open: Option<OpenGuard>) -> Self {
        Self {
            cancelled: false,
            class,
            job,
            _open: open,
            state: EntryState::Waiting,
            stopping: false,
            wait: Some(wait),
            waiting_since: Instant::now(),
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, EntryState::Waiting)
    }

    /// Returns whether it runs, or may run, on a worker.
    pub(crate) fn is_on(&self, worker: &WorkerName) -> bool {
        match &self.state {
            EntryState::Lost { worker: on, .. } => on == worker,
            EntryState::Running(running) => running.worker == *worker,
            EntryState::Forwarded(_) | EntryState::Waiting => false,
        }
    }
}
