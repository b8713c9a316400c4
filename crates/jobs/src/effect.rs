//! Effects that the planner requests from its driver.

use {
    crate::{AdviceRequest, CallId, CellAnswer, WorkerOrder},
    fuchsiatack_derives::value,
    std::net::SocketAddr,
};

/// An action outside the planner.
#[value]
pub enum Effect {
    /// Sends a request to the advice service.
    Advise {
        /// Peer address of the daemon that sends it; `None` is the leader itself.
        by: Option<SocketAddr>,
        /// Step and workers.
        request: AdviceRequest,
    },
    /// Responds to a call.
    Answer {
        /// Response to send.
        answer: CellAnswer,
        /// Number under which the call arrived.
        id: CallId,
    },
    /// Sends an order to a worker.
    Order(WorkerOrder),
}
