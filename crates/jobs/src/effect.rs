//! Effects that the planner requests from its driver.

use {
    crate::{AdviceRequest, CallId, CellResponse, WorkerOrder},
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
    Respond {
        /// Response to send.
        response: CellResponse,
        /// Number under which the call arrived.
        id: CallId,
    },
    /// Sends an order to a worker.
    Order(WorkerOrder),
}
