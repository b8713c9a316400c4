//! Answers to calls between daemons.

use {
    crate::{Formation, ForwardedResponse},
    fuchsiatack_derives::message,
    fuchsiatack_jobs::CellResponse,
    fuchsiatack_ledger::{QueryReply, RenewalResponse, Reply},
    fuchsiatack_model::LogIndex,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The receiver is not the leader of the store.
#[message]
pub struct NotLeader {
    /// Peer address of the leader, if the receiver knows one.
    pub leader: Option<SocketAddr>,
}

/// Answer to a `Request`.
#[message]
pub enum Response {
    /// Answer to `Cell`.
    Cell(Box<CellResponse>),
    /// The call could not be carried out; whether it took effect is not known.
    Failed {
        /// What went wrong.
        message: SmolStr,
    },
    /// Answer to `Follow`; updates are pushed from now on.
    Following,
    /// Answer to `Form`.
    Formation(Formation),
    /// Answer to `Forward`.
    Forwarded(Box<ForwardedResponse>),
    /// The leader will take the sender in.
    Joining,
    /// Only the leader answers such calls; nothing was done.
    NotLeader(NotLeader),
    /// Answer to `Ping`.
    Pong,
    /// Answer to `Propose`.
    Proposed {
        /// Index of the command.
        index: LogIndex,
        /// Result of applying it.
        reply: Reply,
    },
    /// Answer to `Query`.
    Queried {
        /// Index that the answer reflects.
        index: LogIndex,
        /// The answer.
        reply: Box<QueryReply>,
    },
    /// Answer to `Renew`.
    Renewed(RenewalResponse),
}
