//! Status of the store role.

use {
    fuchsiatack_consensus::{Member, MemberId, MemberRole, Role, Term},
    fuchsiatack_derives::value,
    fuchsiatack_model::LogIndex,
    std::{net::SocketAddr, sync::Arc},
};

/// Status of one store member, as shown to operators.
#[value]
pub struct StoreStatus {
    /// Last index that is applied to the ledger.
    pub applied: LogIndex,
    /// Last index that is known to be committed.
    pub commit: LogIndex,
    /// Error that made the member stop voting and acknowledging entries; `None` in normal operation
    /// and after the recovery from a failed write.
    pub disk_failure: Option<String>,
    /// Whether the member has a member list.
    pub formed: bool,
    /// Identity from its data folder.
    pub identity: MemberId,
    /// Peer address of the leader, if it is known.
    pub leader: Option<SocketAddr>,
    /// Latest member list, sorted by identity.
    pub members: Vec<Member>,
    /// Peer addresses of the other members that have responded to this leader since its election and within
    /// the longest election timeout; empty on other members.
    pub responsive_members: Arc<[SocketAddr]>,
    /// Consensus role; `Follower` after a failure.
    pub role: Role,
    /// Current consensus term.
    pub term: Term,
    /// Voters, including this member, that this leader has contact to; `None` on other members.
    pub voters_in_contact: Option<usize>,
}

impl StoreStatus {
    /// Returns the number of voters in the member list.
    pub fn voters(&self) -> usize {
        let is_voter = |member: &&Member| member.role == MemberRole::Voter;
        self.members.iter().filter(is_voter).count()
    }
}
