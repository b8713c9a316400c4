//! Changes of the member list that operators ask for.

use {
    fuchsiatack_consensus::{Member, MemberChange, MemberId, MemberRole},
    fuchsiatack_records::{Record, Spec, StoreMemberSpec},
};

/// Returns the next change that brings the member list closer to the `store_member` records.
///
/// A new identity is added as a learner. Once it is caught up, the member that it replaces is
/// removed, and then it becomes a voter. The removal comes first, since the replaced member is
/// usually lost: counting it in a larger quorum would need all the others.
pub(crate) fn next_change(
    records: &[Record],
    members: &[Member],
    is_caught_up: impl Fn(MemberId) -> bool,
) -> Option<MemberChange> {
    records.iter().find_map(|record| match &record.spec {
        Spec::StoreMember(spec) => change_for(record, spec, members, &is_caught_up),
        _ => None,
    })
}

fn change_for(
    record: &Record,
    spec: &StoreMemberSpec,
    members: &[Member],
    is_caught_up: impl Fn(MemberId) -> bool,
) -> Option<MemberChange> {
    let id = MemberId(spec.identity);
    let present = members.iter().find(|member| member.id == id);
    let replaced = members
        .iter()
        .find(|member| member.id != id && member.name == record.name);
    match (present, replaced) {
        (Some(member), _) if member.address != spec.address || member.name != record.name => {
            Some(add(record, spec))
        }
        (None, _) => Some(add(record, spec)),
        (Some(member), _) if member.role == MemberRole::Learner && !is_caught_up(id) => None,
        (Some(_), Some(replaced)) => Some(MemberChange::Remove(replaced.id)),
        (Some(member), None) if member.role == MemberRole::Learner => Some(MemberChange::Promote(id)),
        (Some(_), None) => None,
    }
}

fn add(record: &Record, spec: &StoreMemberSpec) -> MemberChange {
    MemberChange::Add {
        address: spec.address,
        id: MemberId(spec.identity),
        name: record.name.clone(),
    }
}
