//! Members of the replicated log.

use {
    fuchsiatack_derives::{key, message},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Identity of a member's disk, created at random with the disk.
#[key]
#[serde(transparent)]
pub struct MemberId(pub u64);

/// Whether a member counts in quorums.
#[key]
pub enum MemberRole {
    /// Receives the log and is not counted.
    Learner,
    /// Is counted in quorums and can lead.
    Voter,
}

/// One member. The member list is sorted by `id`.
#[message]
pub struct Member {
    /// Peer address.
    pub address: SocketAddr,
    /// Identity of its disk.
    pub id: MemberId,
    /// Name from the settings.
    pub name: SmolStr,
    /// Whether it counts in quorums.
    pub role: MemberRole,
}

/// One change of the member list. Only one may be uncommitted at a time, so that every quorum of
/// the old list shares a member with every quorum of the new list.
#[message]
pub enum MemberChange {
    /// Adds a learner, or updates name and address of a member and keeps its role.
    Add {
        /// Peer address.
        address: SocketAddr,
        /// Identity of its disk.
        id: MemberId,
        /// Name from the settings.
        name: SmolStr,
    },
    /// Makes a learner that is caught up a voter.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}
