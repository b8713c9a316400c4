//! What the planner is told.

use {
    crate::{AdviceResponse, CallId, CellCall, HoldKind, RunId, StepId},
    fuchsiatack_derives::{key, message, value},
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Why a call to a worker gave no result. The encoding depends on the order of variants.
#[key]
pub enum WorkerCallError {
    /// The worker at this address has another name.
    WrongWorker,
    /// The worker rejected the call, which had no effect.
    Rejected(OrderRejection),
    /// No answer came. The worker may have carried the call out, or may do so later.
    Unanswered,
    /// No connection could be opened, so the worker did not get the call.
    Unreachable,
}

/// Why a worker did not carry an order out. The encoding depends on the order of variants.
#[key]
pub enum OrderRejection {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The order is malformed.
    Invalid,
    /// The deadline of the order had passed.
    DeadlinePassed,
    /// A run of this number or a higher one has ended there.
    Outdated,
    /// The worker lacks room.
    NoCapacity,
    /// The ticket is not valid.
    InvalidTicket,
    /// The worker reports that it is unhealthy.
    Unhealthy,
}

impl WorkerCallError {
    /// Returns the error's name in logs.
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

/// A run that a worker lists as present.
#[message]
pub struct ListedRun {
    /// Latest checkpoint, or empty.
    pub checkpoint: SmolStr,
    /// Share of its work that is done, in percent; for a task that does not end, the share of full
    /// speed at which it works.
    pub percent: u32,
    /// The run.
    pub run: RunId,
    /// Tail latency in milliseconds of a task that serves users, else thousandths of a core in use.
    pub usage: u64,
}

/// How a worker says that a run ended.
#[key]
pub enum ListedEnd {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, its lease lapsed, or its gang was incomplete or broke.
    Interrupted,
}

/// A run that a worker lists as ended.
#[message]
pub struct EndedRun {
    /// Latest checkpoint, or empty.
    pub checkpoint: SmolStr,
    /// How it ended.
    pub end: ListedEnd,
    /// The worker's own word for the end, for logs.
    pub reason: SmolStr,
    /// The run.
    pub run: RunId,
    /// Number of the end in the worker's life, from 1.
    pub sequence: u64,
}

/// Answer of a worker to a renewal of its lease.
#[message]
pub struct HoldReport {
    /// Time of its start in milliseconds since the Unix epoch, if it says so.
    pub started_unix_ms: Option<u64>,
    /// Its steady clock in milliseconds.
    pub clock_ms: u64,
    /// Ends that it was not told to forget.
    pub ended: Vec<EndedRun>,
    /// Runs that are present.
    pub running: Vec<ListedRun>,
}

/// Result of an order to a worker: its steady clock in milliseconds.
pub type OrderResult = Result<u64, WorkerCallError>;

/// An event for the planner. Variants are sorted by name.
#[value]
pub enum JobEvent {
    /// Answer of the advice service.
    Advised {
        /// Daemon that asked; `None` is this one.
        by: Option<SocketAddr>,
        /// The answer; `None` if there was none.
        response: Option<AdviceResponse>,
        /// The step.
        step: StepId,
    },
    /// A call arrived.
    Called {
        /// The call.
        call: CellCall,
        /// Its number, for the answer.
        id: CallId,
    },
    /// A renewal was answered or failed.
    Held {
        /// Why the worker was asked.
        kind: HoldKind,
        /// Result.
        result: Result<HoldReport, WorkerCallError>,
        /// When it was sent, by the planner's clock.
        sent_ms: u64,
        /// The worker.
        worker: WorkerName,
    },
    /// An order to start a run was answered or failed.
    Started {
        /// Result.
        result: OrderResult,
        /// The run.
        run: RunId,
        /// The worker.
        worker: WorkerName,
    },
    /// An order to stop a run was answered or failed.
    Stopped {
        /// Result.
        result: OrderResult,
        /// The run.
        run: RunId,
        /// The worker.
        worker: WorkerName,
    },
    /// Time has passed.
    Tick,
}
