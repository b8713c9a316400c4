//! Member lists of cells whose members join by request.

mod network;

use {
    fuchsiatack_consensus::{
        JoinRequest, JoinRequests, Member, MemberChange, MemberContact, MemberId, MemberRole,
        next_joining_change,
    },
    network::machines::{Fault, Machines},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
};

const SILENT: MemberContact = MemberContact {
    is_caught_up: false,
    silent_ms: 60_000,
};
const PRESENT: MemberContact = MemberContact {
    is_caught_up: true,
    silent_ms: 0,
};

/// Returns the number of random runs: `standard`, or the value of `FUCHSIATACK_RUNS`.
fn runs(standard: u64) -> u64 {
    let requested = std::env::var("FUCHSIATACK_RUNS").ok();
    requested.and_then(|runs| runs.parse().ok()).unwrap_or(standard)
}

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

/// Returns the decision for a list in which the members with the `silent` identities have been silent for a
/// time, and all others are present.
fn decide_after(members: &[Member], silent: &[u64], silent_ms: u64) -> Option<MemberChange> {
    let contact = MemberContact {
        is_caught_up: false,
        silent_ms,
    };
    next_joining_change(&[], members, |id| match silent.contains(&id.0) {
        true => contact,
        false => PRESENT,
    })
}

/// Guards against members that are removed during a restart, or stay longer than a successor may wait.
#[test]
fn members_are_removed_after_their_time_of_silence() {
    let with_learner = [voters(5), vec![member(6, 6, MemberRole::Learner)]].concat();
    let is_removed = |members: &[Member], silent: &[u64], silent_ms| {
        matches!(
            decide_after(members, silent, silent_ms),
            Some(MemberChange::Remove(_))
        )
    };

    let voter = [2_999, 3_000].map(|silent_ms| is_removed(&voters(6), &[1], silent_ms));
    let learner = [9_999, 10_000].map(|silent_ms| is_removed(&with_learner, &[6], silent_ms));
    let pair = [59_999, 60_000].map(|silent_ms| is_removed(&voters(7), &[1, 2], silent_ms));

    assert_eq!(
        (voter, learner, pair),
        ([false, true], [false, true], [false, true])
    );
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

/// Guards against a quorum that counts a replaced machine, and against the removal of a voter that
/// does not lower the quorum or leaves too few voters.
#[test]
fn silent_voter_is_removed_from_an_even_number() {
    let decisions = [2, 3, 4, 5, 6].map(|count| decide(&[], &voters(count), &[1]));

    let removal = Some(MemberChange::Remove(MemberId(1)));
    assert_eq!(decisions, [None, None, removal.clone(), None, removal]);
}

/// Guards against a full list of which some voters are gone: the successor of a lost machine must
/// become a voter, and two voters that are gone must not stay in the quorum.
#[test]
fn full_list_makes_room_for_a_successor() {
    let full = voters(9);
    let with_learner = [full.clone(), vec![member(10, 10, MemberRole::Learner)]].concat();

    let unneeded = decide(&[], &with_learner, &[]);
    let successor = decide(&[], &with_learner, &[1]);
    let pair = decide(&[], &full, &[1, 2]);

    assert_eq!(unneeded, None);
    assert_eq!(successor, Some(MemberChange::Promote(MemberId(10))));
    assert!(matches!(pair, Some(MemberChange::Remove(MemberId(1 | 2)))));
}

/// Guards against messages to a lost learner for good.
#[test]
fn silent_learner_is_removed() {
    let members = [voters(5), vec![member(6, 6, MemberRole::Learner)]].concat();

    let change = decide(&[], &members, &[6]);

    assert_eq!(change, Some(MemberChange::Remove(MemberId(6))));
}

/// Guards against a list that fills up with replaced machines, so that the loss of one more leaves
/// no quorum. More machines are replaced than the list has room for.
#[test]
fn replaced_machines_do_not_count_in_the_quorum() {
    let mut machines = Machines::new(1, 5);
    machines.run(2_000);

    for _ in 0..8 {
        machines.replace(0);
        machines.run(6_000);
    }
    let voters = machines.voters();
    for position in [0, 1] {
        machines.stop(position, 60_000);
    }
    machines.run(20_000);

    assert_eq!(voters, (5, 5));
    assert!(machines.network.leader().is_some());
}

/// Guards against a list that keeps two machines which were replaced at about the same time: the
/// successors of both voted before the first one was silent for long enough to be removed.
#[test]
fn machines_replaced_together_do_not_count_in_the_quorum() {
    for gap_ms in [0, 1_500] {
        let mut machines = Machines::new(1, 5);
        machines.run(2_000);

        machines.replace(0);
        machines.run(gap_ms);
        machines.replace(0);
        machines.run(20_000);
        let voters = machines.voters();
        for position in [0, 1] {
            machines.stop(position, 60_000);
        }
        machines.run(20_000);

        assert_eq!(voters, (5, 5));
        assert!(machines.network.leader().is_some());
    }
}

/// Guards against a majority of a large core without a leader, because some of its machines have no vote.
#[test]
fn majority_of_nine_machines_has_a_leader() {
    let mut machines = Machines::new(1, 5);
    machines.run(7_000);
    for _ in 0..4 {
        machines.fault(Fault::Add);
        machines.run(7_000);
    }

    for position in 0..4 {
        machines.stop(position, 30_000);
    }
    machines.run(20_000);

    assert_eq!(machines.len(), 9);
    assert!(machines.network.leader().is_some());
}

/// Guards against a running majority that stays without a leader because the quorum counts members
/// that are gone, or does not count members that are back. `Machines` checks after each step that a
/// stable majority has a leader within ten election timeouts.
#[test]
fn stable_majority_has_a_leader_after_any_faults() {
    for seed in 0..runs(4) {
        println!("seed {seed}");
        let mut random = StdRng::seed_from_u64(seed);
        let mut machines = Machines::new(seed, 3 + seed % 5);
        machines.run(2_000);
        for _ in 0..40 {
            let kinds = [
                Fault::Cut,
                Fault::Dark,
                Fault::Freeze,
                Fault::Replace,
                Fault::Wipe,
                Fault::Add,
            ];
            // A machine that is added stays, so large cells get no more.
            let count = if machines.len() < 8 { 6 } else { 5 };
            let fault = *kinds[..count].choose(&mut random).unwrap();
            machines.fault(fault);
            machines.run(random.random_range(100..6_000));
        }
    }
}
