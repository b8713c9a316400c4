//! What operators see of the store role.

use {
    fuchsiatack_consensus::{Member, MemberId, Role, Term},
    fuchsiatack_derives::value,
    fuchsiatack_model::LogIndex,
    std::net::SocketAddr,
};

/// State of one store member.
#[value]
pub struct StoreStatus {
    /// Last index that is applied to the ledger.
    pub applied: LogIndex,
    /// Last index that is known to be committed.
    pub commit: LogIndex,
    /// What failed on the disk. The member neither votes nor acknowledges any more then.
    pub disk_failure: Option<String>,
    /// Whether the member has a member list.
    pub formed: bool,
    /// Identity of its disk.
    pub identity: MemberId,
    /// Peer address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// Member list in force, by identity.
    pub members: Vec<Member>,
    /// Role in consensus.
    pub role: Role,
    /// Present term.
    pub term: Term,
}
