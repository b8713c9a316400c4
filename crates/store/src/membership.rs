//! Reconciles the member list with the desired members.

use {
    crate::InitialMember,
    fuchsiatack_consensus::{Member, MemberChange, MemberId, MemberRole},
    fuchsiatack_records::{Record, Spec},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A member that the list should contain. It replaces any other identity with the same name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DesiredMember {
    pub(crate) address: SocketAddr,
    pub(crate) id: MemberId,
    pub(crate) name: SmolStr,
}

/// Returns the members that operators configure by `store_member` records.
pub(crate) fn from_records(records: &[Record]) -> Vec<DesiredMember> {
    let desired = records.iter().filter_map(|record| match &record.spec {
        Spec::StoreMember(spec) => Some(DesiredMember {
            address: spec.address,
            id: MemberId(spec.identity),
            name: record.name.clone(),
        }),
        _ => None,
    });
    desired.collect()
}

/// Returns the next change that brings the member list closer to the desired members.
///
/// A new identity is added as a learner. Once it has caught up, the member that it replaces is
/// removed, and then it becomes a voter. The removal comes first because the replaced member is
/// usually lost: if it stayed in a cell of three voters, the quorum of four voters would need all
/// other members. A learner that replaces no member becomes a voter while there are fewer than
/// `max_voters`.
pub(crate) fn next_change(
    desired: &[DesiredMember],
    members: &[Member],
    max_voters: usize,
    is_caught_up: impl Fn(MemberId) -> bool,
) -> Option<MemberChange> {
    desired
        .iter()
        .find_map(|desired| change_for(desired, members, max_voters, &is_caught_up))
}

fn change_for(
    desired: &DesiredMember,
    members: &[Member],
    max_voters: usize,
    is_caught_up: impl Fn(MemberId) -> bool,
) -> Option<MemberChange> {
    let id = desired.id;
    let present = members.iter().find(|member| member.id == id);
    let replaced = members
        .iter()
        .find(|member| member.id != id && member.name == desired.name);
    let is_voter = |member: &&Member| member.role == MemberRole::Voter;
    let has_room = members.iter().filter(is_voter).count() < max_voters;
    match (present, replaced) {
        (Some(member), _) if member.address != desired.address || member.name != desired.name => {
            Some(add(desired))
        }
        (None, _) => Some(add(desired)),
        (Some(member), _) if member.role == MemberRole::Learner && !is_caught_up(id) => None,
        (Some(_), Some(replaced)) => Some(MemberChange::Remove(replaced.id)),
        (Some(member), None) if member.role == MemberRole::Learner && has_room => {
            Some(MemberChange::Promote(id))
        }
        (Some(_), None) => None,
    }
}

fn add(desired: &DesiredMember) -> MemberChange {
    MemberChange::Add {
        address: desired.address,
        id: desired.id,
        name: desired.name.clone(),
    }
}

/// Returns the addresses of the listed members except the one named `own`.
pub(crate) fn other_addresses(members: &[InitialMember], own: &str) -> Vec<SocketAddr> {
    let others = members.iter().filter(|member| member.name != own);
    others.map(|member| member.address).collect()
}
