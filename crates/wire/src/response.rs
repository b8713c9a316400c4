//! Responses between daemons.

use {
    crate::{Formation, ForwardedResponse},
    fuchsiatack_derives::message,
    fuchsiatack_jobs::CellResponse,
    fuchsiatack_ledger::{QueryReply, RenewalResponse, Reply},
    fuchsiatack_model::{Epoch, LogIndex, WorkerName},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Redirection to the leader of the store.
#[message]
pub struct NotLeader {
    /// Peer address of the leader; `None` if the receiver does not know it.
    pub leader: Option<SocketAddr>,
}

/// Payload of the reply to a call.
#[message]
pub enum Response {
    /// Response to `Cell`.
    Cell(Box<CellResponse>),
    /// The call failed; it may have taken effect.
    Failed {
        /// Description of the error.
        message: SmolStr,
    },
    /// Response to `Follow`. Updates are pushed on this connection from now on.
    Following,
    /// Response to `Formation` with the state of the receiver.
    Formation(Formation),
    /// Response to `Forward`.
    Forwarded(Box<ForwardedResponse>),
    /// Response to `Join`: the leader will add the sender.
    Joining,
    /// The receiver is not the leader, which alone handles such calls. The call had no effect.
    NotLeader(NotLeader),
    /// Response to `Ping`.
    Pong,
    /// Response to `Propose`.
    Proposed {
        /// Log index of the command.
        index: LogIndex,
        /// Result of applying it.
        reply: Reply,
    },
    /// Response to `Query`.
    Queried {
        /// Log index of the state that was read.
        index: LogIndex,
        /// Result of the read.
        reply: Box<QueryReply>,
    },
    /// Response to `Renew`.
    Renewed(RenewalResponse),
    /// Response to `WorkersFreeOf`: workers with the epoch under which the receiver has fenced them.
    WorkersFreeOf(Vec<(WorkerName, Epoch)>),
}
