//! Calls between daemons.

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

/// What a store member tells another while the cell is formed.
#[message]
pub struct Formation {
    /// Whether its disk already holds a member list.
    pub formed: bool,
    /// Identity of its disk.
    pub identity: MemberId,
    /// Its member list; empty unless `formed`.
    pub members: Vec<Member>,
    /// Its name from the settings.
    pub name: SmolStr,
}

/// A call that is answered with a `Response`.
#[message]
pub enum Request {
    /// Calls the cell; most calls are answered by the leader only.
    Cell(Box<CellCall>),
    /// Sends the directory of a session and later changes on this connection.
    Follow {
        /// Index up to which the sender has already applied changes; 0 for none.
        from: LogIndex,
        /// The session.
        session: SessionId,
    },
    /// Exchanges identities of store members.
    Formation(Formation),
    /// Runs a request on a worker of the receiver.
    Forward(Box<ForwardedRequest>),
    /// Asks the leader to take the sender in as a store member.
    Join {
        /// Peer address.
        address: SocketAddr,
        /// Identity of its disk.
        identity: MemberId,
        /// Its name from the settings.
        name: SmolStr,
    },
    /// Checks that the connection is alive.
    Ping,
    /// Proposes a command; answered once it is applied.
    Propose(Box<Command>),
    /// Reads the ledger.
    Query(Query),
    /// Renews a session; answered after a leadership confirmation.
    Renew(Renewal),
}
