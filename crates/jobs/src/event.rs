//! Events that the planner handles, and the results of calls to workers.

use {
    crate::{AdviceError, AdviceResponse, CallId, CellCall, HoldKind, RunId, StepId},
    fuchsiatack_derives::{key, message, value},
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Why a call to a worker failed. The encoding depends on the order of variants.
#[key]
pub enum WorkerCallError {
    /// The worker at the address has another name.
    WrongWorker,
    /// The worker rejected the call, which had no effect.
    Rejected(OrderRejection),
    /// No response arrived in time. The worker may have carried the call out, or may do so later.
    Unanswered,
    /// No connection could be opened, so that the worker did not receive the call.
    Unreachable,
}

/// Why a worker rejected an order. The encoding depends on the order of variants.
#[key]
pub enum OrderRejection {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The order is malformed.
    Invalid,
    /// The lease deadline in the order had passed.
    DeadlinePassed,
    /// A run of the task with this number or a higher one has ended there.
    Outdated,
    /// The worker lacks free capacity.
    NoCapacity,
    /// The ticket of the advice service is not valid.
    InvalidTicket,
    /// The worker reports that it is unhealthy.
    Unhealthy,
}

impl WorkerCallError {
    /// Returns the text of the error in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WrongWorker => "other worker at the address",
            Self::Rejected(OrderRejection::Fenced) => "higher fencing token seen",
            Self::Rejected(OrderRejection::Invalid) => "order invalid",
            Self::Rejected(OrderRejection::DeadlinePassed) => "deadline passed",
            Self::Rejected(OrderRejection::Outdated) => "later run known",
            Self::Rejected(OrderRejection::NoCapacity) => "no room",
            Self::Rejected(OrderRejection::InvalidTicket) => "ticket not valid",
            Self::Rejected(OrderRejection::Unhealthy) => "worker unhealthy",
            Self::Unanswered => "no answer",
            Self::Unreachable => "no connection",
        }
    }
}

/// A run that a worker reports as present.
#[message]
pub struct ListedRun {
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Completed part of the task in percent; for a long-running task, its present speed in percent
    /// of full speed.
    pub percent: u32,
    /// Identifier of the run.
    pub run: RunId,
    /// Tail latency in milliseconds for a task that serves users; for others, the processors in use,
    /// in thousandths of a core.
    pub usage: u64,
}

/// How a run ended, as its worker reports it.
#[key]
pub enum ListedEnd {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped, its lease expired, or its gang was incomplete or lost a member.
    Interrupted,
}

/// A run that a worker reports as ended.
#[message]
pub struct EndedRun {
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// How the run ended.
    pub end: ListedEnd,
    /// Reason that the worker gave, for logs.
    pub reason: SmolStr,
    /// Identifier of the run.
    pub run: RunId,
    /// Number of the end in the worker's present incarnation, from 1.
    pub sequence: u64,
}

/// Response of a worker to a hold order: its present and ended runs.
#[message]
pub struct HoldReport {
    /// Start time of the worker's incarnation in milliseconds since the Unix epoch; `None` if the
    /// worker does not report it.
    pub started_unix_ms: Option<u64>,
    /// Reading of the worker's monotonic clock in milliseconds.
    pub clock_ms: u64,
    /// Ended runs that the leader has not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Runs that are present at the time of the report.
    pub running: Vec<ListedRun>,
    /// Beginnings of rows that could not be decoded, at most a few. If there are any, a run that is not
    /// listed may still be present.
    pub unreadable_rows: Vec<SmolStr>,
}

/// Result of a start, stop or pace order: the reading of the worker's monotonic clock in milliseconds, or
/// why the call failed.
pub type OrderResult = Result<u64, WorkerCallError>;

/// An event for the planner. Variants are sorted by name.
#[value]
pub enum JobEvent {
    /// An advice request ended.
    Advised {
        /// Peer address of the daemon that sent the request; `None` is the leader itself.
        by: Option<SocketAddr>,
        /// Response, or why there is none.
        response: Result<AdviceResponse, AdviceError>,
        /// Step of the request.
        step: StepId,
    },
    /// A call arrived.
    Called {
        /// Call to handle.
        call: CellCall,
        /// Number to respond to.
        id: CallId,
    },
    /// A hold order was answered or failed.
    Held {
        /// Purpose of the order.
        kind: HoldKind,
        /// Report of the worker, or why there is none.
        result: Result<HoldReport, WorkerCallError>,
        /// Time at which the order was sent, by the planner's clock in milliseconds.
        sent_ms: u64,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// An order that sets the pace of a run was answered or failed.
    Paced {
        /// Pace in the order, in percent.
        percent: u32,
        /// Result of the order.
        result: OrderResult,
        /// Run that the order names.
        run: RunId,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A start order was answered or failed.
    Started {
        /// Result of the order.
        result: OrderResult,
        /// Run that the order names.
        run: RunId,
        /// Time at which the order was sent, by the planner's clock in milliseconds.
        sent_ms: u64,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A stop order was answered or failed.
    Stopped {
        /// Result of the order.
        result: OrderResult,
        /// Run that the order names.
        run: RunId,
        /// Time at which the order was sent, by the planner's clock in milliseconds.
        sent_ms: u64,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Periodic event at which the planner does the work that is due.
    Tick,
}
