//! Member lists of cells whose members join by request.

use fuchsiatack_consensus::{
    JoinRequest, JoinRequests, Member, MemberChange, MemberContact, MemberId, MemberRole, next_joining_change,
};

const SILENT: MemberContact = MemberContact {
    is_caught_up: false,
    silent_ms: 60_000,
};
const PRESENT: MemberContact = MemberContact {
    is_caught_up: true,
    silent_ms: 0,
};

fn member(id: u64, name: u64, role: MemberRole) -> Member {
    Member {
        address: ([127, 0, 0, 1], name as u16).into(),
        id: MemberId(id),
        name: format!("member-{name}").into(),
        role,
    }
}

/// Returns voters with the identities and names 1 to `count`.
fn voters(count: u64) -> Vec<Member> {
    (1..=count).map(|id| member(id, id, MemberRole::Voter)).collect()
}

fn request(id: u64, name: u64) -> JoinRequest {
    let member = member(id, name, MemberRole::Learner);
    JoinRequest {
        address: member.address,
        id: member.id,
        name: member.name,
    }
}

/// Returns the decision for a list in which the members with the `silent` identities are silent.
fn decide(requests: &[&JoinRequest], members: &[Member], silent: &[u64]) -> Option<MemberChange> {
    next_joining_change(requests, members, |id| match silent.contains(&id.0) {
        true => SILENT,
        false => PRESENT,
    })
}

/// Guards against a learner that stays without a vote because it no longer asks to join.
#[test]
fn caught_up_learner_is_promoted_without_a_request() {
    let mut members = voters(5);
    members.push(member(6, 6, MemberRole::Learner));

    let change = decide(&[], &members, &[]);

    assert_eq!(change, Some(MemberChange::Promote(MemberId(6))));
}

/// Guards against a learner that is promoted beside the voter whose disk it replaces. The voter stays
/// while it is in contact, because its removal could leave no quorum.
#[test]
fn learner_replaces_a_silent_member_of_the_same_name() {
    let mut members = voters(3);
    members.push(member(4, 2, MemberRole::Learner));

    let present = decide(&[], &members, &[]);
    let silent = decide(&[], &members, &[2]);

    assert_eq!(present, None);
    assert_eq!(silent, Some(MemberChange::Remove(MemberId(2))));
}

/// Guards against a lost identity that is added again beside the one that replaced it.
#[test]
fn only_the_newest_request_of_a_name_counts() {
    let mut requests = JoinRequests::default();
    let members = voters(3);
    let contact = |_| PRESENT;

    requests.insert(0, request(4, 2));
    requests.insert(100, request(5, 2));
    let change = requests.next_change(200, &members, contact);
    let expired = requests.next_change(10_000, &members, contact);

    assert!(matches!(change, Some(MemberChange::Add { id: MemberId(5), .. })));
    assert_eq!(expired, None);
}
