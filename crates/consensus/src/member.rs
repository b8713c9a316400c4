//! Members of a cell.

use {
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Identity of a member, generated at random when its data folder is created. A member that loses
/// its disk returns with another identity.
#[key]
#[serde(transparent)]
pub struct MemberId(pub u64);

/// Whether a member counts in quorums.
#[key]
pub enum MemberRole {
    /// Receives the log but does not vote and is not counted in quorums.
    Learner,
    /// Votes, is counted in quorums and can lead.
    Voter,
}

/// One member of a cell. Member lists are sorted by `id`.
#[message]
pub struct Member {
    /// Address at which other members connect to it.
    pub address: SocketAddr,
    /// Identity from its data folder.
    pub id: MemberId,
    /// Name from its settings; stays the same when its disk is replaced.
    pub name: SmolStr,
    /// Learner or voter.
    pub role: MemberRole,
}

/// One change of the member list. Only one change may be uncommitted at a time, so that every
/// quorum of the old list overlaps every quorum of the new list.
#[message]
pub enum MemberChange {
    /// Adds a learner. If the identity is in the list already, updates its name and address and
    /// keeps its role.
    Add {
        /// Address at which other members connect to it.
        address: SocketAddr,
        /// Identity from its data folder.
        id: MemberId,
        /// Name from its settings.
        name: SmolStr,
    },
    /// Turns a learner that has caught up into a voter.
    Promote(MemberId),
    /// Removes a member of either role.
    Remove(MemberId),
}
