//! Messages to the engine.

use {
    crate::{
        job::{JobId, JobSubmission},
        token_returns::AppliedReturn,
        worker_adapter::RunEnd,
    },
    fuchsiatack_ledger::WorkerEntry,
    fuchsiatack_model::{Epoch, LogIndex, SessionId, TaskId, WorkTask, WorkerName, WorkerReport},
    fuchsiatack_wire::{ForwardedResponse, LoadHint, WireError},
    std::time::Duration,
    tokio::{sync::oneshot, time::Instant},
};

/// One ownership of a worker, identified by its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnershipId {
    pub(crate) epoch: Epoch,
    pub(crate) worker: WorkerName,
}

/// Message to the engine. Variants are sorted by name.
pub(crate) enum EngineMessage {
    /// The caller of a job closed its connection, or the work of a task was cancelled.
    Cancel(JobId),
    /// A forwarded request ended at the peer, or the call to the peer failed.
    Forwarded {
        result: Result<Box<ForwardedResponse>, WireError>,
        task: TaskId,
    },
    /// The runs of a peer that was lost during a forwarded request have ended, or it is not known whether they
    /// have.
    ForwardedRunsEnded { are_over: bool, task: TaskId },
    /// Releases all workers and refuses tasks that have not started. The sender is notified once
    /// the releases are committed or the session has ended.
    HandOver(oneshot::Sender<()>),
    /// Load that a peer reported.
    Hint(LoadHint),
    /// Asks for the attached workers that run no task of these sessions.
    ListWorkersFreeOf {
        reply: oneshot::Sender<Vec<(WorkerName, Epoch)>>,
        sessions: Vec<SessionId>,
    },
    /// An attempt to run a task ended after `ran`.
    RunEnded {
        end: RunEnd,
        ran: Duration,
        task: TaskId,
    },
    /// New jobs to run.
    Submit(Box<JobSubmission>),
    /// A worker confirmed that a task no longer runs.
    TaskStopped(TaskId),
    /// The ledger applied a return of tokens.
    TokensReturned {
        applied: AppliedReturn,
        session: SessionId,
    },
    /// The end of a task of a queued work was applied at `index`.
    WorkSettled { index: LogIndex, task: WorkTask },
    /// The worker accepted the epoch, and `WorkerFenced` is applied to the directory.
    WorkerFenced {
        entry: Box<WorkerEntry>,
        ownership: OwnershipId,
        report: WorkerReport,
    },
    /// A worker announced to this daemon that it is leaving.
    WorkerLeaving(WorkerName),
    /// All leases that the worker may hold have expired.
    WorkerRemoved(OwnershipId),
    /// A worker responded to a renewal that was sent at `sent`.
    WorkerReported {
        ownership: OwnershipId,
        report: WorkerReport,
        sent: Instant,
    },
    /// Calls to a worker fail or time out.
    WorkerUnreachable(OwnershipId),
}
