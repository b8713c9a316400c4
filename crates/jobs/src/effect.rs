//! What the planner wants done.

use {
    crate::{AdviceRequest, CallId, CellAnswer, WorkerOrder},
    fuchsiatack_derives::value,
    std::net::SocketAddr,
};

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
    /// Calls a worker.
    Order(WorkerOrder),
}
