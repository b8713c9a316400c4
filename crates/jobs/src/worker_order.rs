//! Orders to workers and their responses.

use {
    crate::{HoldReport, JobEvent, OrderResult, RunId, WorkerCallError},
    fuchsiatack_derives::message,
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Address and name of the worker that an order is for.
#[message]
pub struct Callee {
    /// Address at which the worker receives orders.
    pub address: SocketAddr,
    /// Fencing token of the leader that sends the order.
    pub fencing_token: u64,
    /// Name of the worker. A worker with another name at the address rejects the order.
    pub worker: WorkerName,
}

/// Purpose of a hold order. The encoding depends on the order of variants.
#[derive(Copy)]
#[message]
pub enum HoldKind {
    /// Finds out the outcome of an unanswered order while a renewal is in flight.
    Check,
    /// Renews the leases and waits for the end of a run.
    Renewal,
}

/// An order to a worker. The encoding depends on the order of variants.
#[message]
pub enum WorkerOrder {
    /// Renews the lease of a worker's runs and requests a report of them.
    Hold {
        /// End of the lease by the worker's monotonic clock in milliseconds; `None` does not
        /// extend it.
        deadline_ms: Option<u64>,
        /// Purpose of the order.
        kind: HoldKind,
        /// Ends up to this number are recorded; the worker may forget them.
        last_seen: u64,
        /// Worker that receives the order.
        to: Callee,
        /// Maximum time that the worker waits for the end of a run before it responds, in
        /// milliseconds.
        wait_ms: u64,
    },
    /// Starts a run under a lease.
    Start {
        /// Checkpoint to resume from; empty to start from the beginning.
        checkpoint: SmolStr,
        /// End of the lease by the worker's monotonic clock in milliseconds.
        deadline_ms: u64,
        /// Payload of the job.
        payload: SmolStr,
        /// Run that the order concerns.
        run: RunId,
        /// Ticket of the advice service; `None` if the queue needs no advice.
        ticket: Option<SmolStr>,
        /// Worker that receives the order.
        to: Callee,
    },
    /// Stops a run, and prevents it from starting if its start order arrives later.
    Stop {
        /// Run that the order concerns.
        run: RunId,
        /// Worker that receives the order.
        to: Callee,
    },
    /// Sets the share of its full speed at which a run works.
    Pace {
        /// Share in percent, from 0 to 100.
        percent: u32,
        /// Run that the order concerns.
        run: RunId,
        /// Worker that receives the order.
        to: Callee,
    },
}

/// Response of a worker to an order. The encoding depends on the order of variants.
#[message]
pub enum WorkerResponse {
    /// Report that a hold order requested.
    Report(Result<HoldReport, WorkerCallError>),
    /// Result of a start, stop or pace order.
    Outcome(OrderResult),
}

impl WorkerOrder {
    /// Returns the worker that receives the order.
    pub fn to(&self) -> &Callee {
        match self {
            Self::Hold { to, .. }
            | Self::Pace { to, .. }
            | Self::Start { to, .. }
            | Self::Stop { to, .. } => to,
        }
    }

    /// Returns the name of the order in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Hold { .. } => "hold",
            Self::Pace { .. } => "pace",
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
        }
    }

    /// Returns the response that stands for a failed call.
    pub fn failed(&self, error: WorkerCallError) -> WorkerResponse {
        match self {
            Self::Hold { .. } => WorkerResponse::Report(Err(error)),
            Self::Pace { .. } | Self::Start { .. } | Self::Stop { .. } => WorkerResponse::Outcome(Err(error)),
        }
    }

    /// Returns the planner's event for the response to an order that was sent at `sent_ms`, by the
    /// planner's clock in milliseconds.
    pub fn event(self, sent_ms: u64, response: WorkerResponse) -> JobEvent {
        match (self, response) {
            (Self::Hold { kind, to, .. }, WorkerResponse::Report(result)) => JobEvent::Held {
                kind,
                result,
                sent_ms,
                worker: to.worker,
            },
            (Self::Hold { kind, to, .. }, WorkerResponse::Outcome(_)) => JobEvent::Held {
                kind,
                result: Err(WorkerCallError::Unanswered),
                sent_ms,
                worker: to.worker,
            },
            (Self::Pace { percent, run, to }, response) => JobEvent::Paced {
                percent,
                result: outcome(response),
                run,
                worker: to.worker,
            },
            (Self::Start { run, to, .. }, response) => JobEvent::Started {
                result: outcome(response),
                run,
                sent_ms,
                worker: to.worker,
            },
            (Self::Stop { run, to }, response) => JobEvent::Stopped {
                result: outcome(response),
                run,
                sent_ms,
                worker: to.worker,
            },
        }
    }
}

/// Treats a report as no response, since only hold orders request one.
fn outcome(response: WorkerResponse) -> OrderResult {
    match response {
        WorkerResponse::Outcome(result) => result,
        WorkerResponse::Report(_) => Err(WorkerCallError::Unanswered),
    }
}
