//! Calls to workers.

use {
    crate::{HoldReport, JobEvent, OrderResult, RunId, WorkerCallError},
    fuchsiatack_derives::message,
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Address and name of a worker that is called.
#[message]
pub struct Callee {
    /// Its address.
    pub address: SocketAddr,
    /// Fencing token of the leader.
    pub fencing_token: u64,
    /// Its name. A worker with another name at the address rejects the call.
    pub worker: WorkerName,
}

/// Why a worker is asked for its lists. Variants are sorted by name.
#[derive(Copy)]
#[message]
pub enum HoldKind {
    /// Settles an order whose outcome is not known, beside the renewal that is on its way.
    Check,
    /// Renews the leases and waits for the next end.
    Renewal,
}

/// A call to a worker. Variants are sorted by name.
#[message]
pub enum WorkerOrder {
    /// Renews the lease of a worker's runs and lists them.
    Hold {
        /// End of the lease on the worker's steady clock in milliseconds; `None` extends nothing.
        deadline_ms: Option<u64>,
        /// Why the worker is asked.
        kind: HoldKind,
        /// Ends up to this number may be forgotten.
        last_seen: u64,
        /// The worker.
        to: Callee,
        /// Time that the worker waits for an end before it answers, in milliseconds.
        wait_ms: u64,
    },
    /// Starts a run.
    Start {
        /// Checkpoint to resume from, or empty.
        checkpoint: SmolStr,
        /// End of the lease on the worker's steady clock in milliseconds.
        deadline_ms: u64,
        /// Text of the job.
        payload: SmolStr,
        /// The run.
        run: RunId,
        /// Ticket of the advice service.
        ticket: Option<SmolStr>,
        /// The worker.
        to: Callee,
    },
    /// Stops a run, and keeps it from starting if it has not arrived.
    Stop {
        /// The run.
        run: RunId,
        /// The worker.
        to: Callee,
    },
}

/// Answer of a worker to an order. Variants are sorted by name.
#[message]
pub enum WorkerResponse {
    /// Lists that were asked for.
    Lists(Result<HoldReport, WorkerCallError>),
    /// Whether the order was carried out.
    Outcome(OrderResult),
}

impl WorkerOrder {
    /// The worker that is called.
    pub fn to(&self) -> &Callee {
        match self {
            Self::Hold { to, .. } | Self::Start { to, .. } | Self::Stop { to, .. } => to,
        }
    }

    /// Name of the call in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Hold { .. } => "hold",
            Self::Start { .. } => "start",
            Self::Stop { .. } => "stop",
        }
    }

    /// Reply for an order that did not come to an answer.
    pub fn failed(&self, error: WorkerCallError) -> WorkerResponse {
        match self {
            Self::Hold { .. } => WorkerResponse::Lists(Err(error)),
            Self::Start { .. } | Self::Stop { .. } => WorkerResponse::Outcome(Err(error)),
        }
    }

    /// What the planner is told of a reply to an order that was sent at `sent_ms`.
    pub fn event(self, sent_ms: u64, reply: WorkerResponse) -> JobEvent {
        match (self, reply) {
            (Self::Hold { kind, to, .. }, WorkerResponse::Lists(result)) => JobEvent::Held {
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
            (Self::Start { run, to, .. }, reply) => JobEvent::Started {
                result: outcome(reply),
                run,
                worker: to.worker,
            },
            (Self::Stop { run, to }, reply) => JobEvent::Stopped {
                result: outcome(reply),
                run,
                worker: to.worker,
            },
        }
    }
}

/// Lists are no answer to an order.
fn outcome(reply: WorkerResponse) -> OrderResult {
    match reply {
        WorkerResponse::Outcome(result) => result,
        WorkerResponse::Lists(_) => Err(WorkerCallError::Unanswered),
    }
}
