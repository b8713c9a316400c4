//! What the planner wants done.

use {
    crate::{AdviceRequest, CallId, CellAnswer, RunId},
    fuchsiatack_derives::value,
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Address and name of a worker that is called.
#[value]
pub struct Callee {
    /// Its address.
    pub address: SocketAddr,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Its name. A worker with another name at the address rejects the call.
    pub worker: WorkerName,
}

/// Why a worker is asked for its lists. Variants are sorted by name.
#[derive(Copy)]
#[value]
pub enum HoldKind {
    /// Settles an order whose outcome is not known, beside the renewal that is on its way.
    Check,
    /// Renews the leases and waits for the next end.
    Renewal,
}

/// An effect. Variants are sorted by name.
#[value]
pub enum Effect {
    /// Asks for advice.
    Advise {
        /// Daemon that asks; `None` is this one.
        by: Option<SocketAddr>,
        /// What is asked.
        request: AdviceRequest,
    },
    /// Answers a call.
    Answer {
        /// The answer.
        answer: CellAnswer,
        /// Number of the call.
        id: CallId,
    },
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
