//! Requests between daemons.

use {
    crate::ForwardedRequest,
    fuchsiatack_consensus::{Member, MemberId},
    fuchsiatack_derives::message,
    fuchsiatack_jobs::CellCall,
    fuchsiatack_ledger::{Command, Query, Renewal},
    fuchsiatack_model::{LogIndex, SessionId},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// State of a store member, exchanged while the cell is formed.
#[message]
pub struct Formation {
    /// Whether the member's disk already holds a member list.
    pub formed: bool,
    /// Identity of the member's disk.
    pub identity: MemberId,
    /// Member list on the disk; empty unless `formed`.
    pub members: Vec<Member>,
    /// Name from the member's settings.
    pub name: SmolStr,
}

/// Payload of a call.
#[message]
pub enum Request {
    /// Job, worker or configuration call to the cell. Most are handled by the leader only.
    Cell(Box<CellCall>),
    /// Subscribes the connection to the directory of a session and its later changes.
    Follow {
        /// Log index up to which the sender has applied changes; 0 for none. The leader sends the
        /// full directory whatever this index is.
        from: LogIndex,
        /// Session of the sender.
        session: SessionId,
    },
    /// Exchanges the state of two store members while the cell is formed.
    Formation(Formation),
    /// Runs a request on a worker of the receiver.
    Forward(Box<ForwardedRequest>),
    /// Asks the leader to add the sender as a store member.
    Join {
        /// Peer address of the sender.
        address: SocketAddr,
        /// Identity of the sender's disk.
        identity: MemberId,
        /// Name from the sender's settings.
        name: SmolStr,
    },
    /// Checks that the connection is alive.
    Ping,
    /// Proposes a command. The response follows once the command is applied.
    Propose(Box<Command>),
    /// Reads the ledger. The response follows once the leader has confirmed its leadership.
    Query(Query),
    /// Renews a session. The response follows once the leader has confirmed its leadership.
    Renew(Renewal),
    /// Asks which workers of the receiver run no task of these sessions. Sent only after the connection to a
    /// peer that runs a forwarded request was lost.
    WorkersFreeOf {
        /// Sessions that have ended.
        sessions: Vec<SessionId>,
    },
}
