//! What the planner wants done.

use {
    crate::{AdviceRequest, CallId, CellResponse, WorkerOrder},
    fuchsiatack_derives::value,
    std::net::SocketAddr,
};

/// An effect.
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
    Respond {
        /// The answer.
        response: CellResponse,
        /// Number of the call.
        id: CallId,
    },
    /// Calls a worker.
    Order(WorkerOrder),
}
