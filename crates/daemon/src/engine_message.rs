//! Messages to the engine.

use {
    crate::{
        job::{NewJobs, Ticket},
        token_returns::AppliedReturn,
        worker_adapter::RunEnd,
    },
    fuchsiatack_ledger::WorkerEntry,
    fuchsiatack_model::{Epoch, LogIndex, SessionId, TaskId, WorkTask, WorkerName, WorkerReport},
    fuchsiatack_wire::{ForwardedResponse, LoadHint, WireError},
    std::time::Duration,
    tokio::{sync::oneshot, time::Instant},
};

/// A worker under one ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owned {
    pub(crate) epoch: Epoch,
    pub(crate) worker: WorkerName,
}

/// Input of the engine. Variants are sorted by name.
pub(crate) enum EngineMessage {
    /// The caller of a job went away.
    Cancel(Ticket),
    /// The worker was fenced and the command that says so is applied.
    Fenced {
        entry: Box<WorkerEntry>,
        owned: Owned,
        report: WorkerReport,
    },
    /// A forwarded job came back.
    Forwarded {
        result: Result<Box<ForwardedResponse>, WireError>,
        task: TaskId,
    },
    /// Hands all workers over and refuses what does not run yet; answered when that is proposed.
    HandOver(oneshot::Sender<()>),
    /// A worker announced here that it is leaving.
    Leaving(WorkerName),
    /// Load of a peer.
    Hint(LoadHint),
    /// The worker's leases have certainly ended.
    Removed(Owned),
    /// A worker answered a renewal that was sent at `sent`.
    Reported {
        owned: Owned,
        report: WorkerReport,
        sent: Instant,
    },
    /// An attempt ended.
    RunEnded {
        end: RunEnd,
        ran: Duration,
        task: TaskId,
    },
    /// A worker confirmed that a task no longer runs.
    Stopped(TaskId),
    /// New jobs.
    Submit(Box<NewJobs>),
    /// The ledger applied a return of tokens.
    TokensReturned {
        applied: AppliedReturn,
        session: SessionId,
    },
    /// A worker does not answer.
    Unreachable(Owned),
    /// The end of a task of a queued work was applied at an index.
    WorkSettled { index: LogIndex, task: WorkTask },
}
