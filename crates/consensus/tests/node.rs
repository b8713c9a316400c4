//! Safety and liveness of `Node` under network faults, crashes and membership changes.

mod network;

use {
    fuchsiatack_consensus::{MemberChange, MemberId, Role},
    network::Network,
};

/// Returns the number of random runs: 60, or the value of `FUCHSIATACK_RUNS`.
fn runs() -> u64 {
    let requested = std::env::var("FUCHSIATACK_RUNS").ok();
    requested.and_then(|runs| runs.parse().ok()).unwrap_or(60)
}

/// Guards against two leaders in a term, committed entries that change or are lost, applied states
/// that differ, and confirmed reads that miss a committed entry. `Network::process_ready` checks
/// for these after each step.
#[test]
fn faults_never_break_agreement() {
    let (mut committed, mut reads) = (0, 0);
    for seed in 0..runs() {
        println!("seed {seed}");
        let mut network = Network::new(seed, 1 + seed % 5, 2);
        network.loss_millis = (seed % 3 * 50) as u32;
        for _ in 0..6_000 {
            network.step(seed % 2 == 1);
        }
        network.run_until("agreement after the faults", Network::has_converged);
        committed += network.committed();
        reads += network.confirmed_reads;
    }
    println!("{committed} entries committed, {reads} reads confirmed");
    assert!(committed > 0 && reads > 0);
}

/// Guards against an isolated leader that does not step down, and against a rejoining member that
/// deposes a working leader.
#[test]
fn isolated_leader_steps_down_and_rejoins_without_election() {
    let mut network = Network::new(1, 3, 0);
    network.run_until("first leader", |network| network.leader().is_some());
    let old = network.leader().unwrap();

    network.isolate(old);
    for _ in 0..200 {
        network.advance_time();
        for _ in 0..20 {
            network.deliver_one();
        }
    }
    let is_deposed = network.node(old).role() != Role::Leader;
    network.run_until("second leader", Network::has_converged);
    let (leader, term) = (network.leader().unwrap(), network.node(old).term());
    network.run_until("nothing", |_| true);

    assert!(is_deposed);
    assert_ne!(leader, old);
    assert_eq!(network.node(leader).term(), term);
}

/// Guards against a member with an empty disk that votes. Two of three voters are unreachable, so
/// the remaining voter and a member with an empty disk must not elect a leader.
#[test]
fn empty_disk_does_not_vote() {
    let mut network = Network::new(1, 3, 1);
    network.isolate(MemberId(2));
    network.isolate(MemberId(3));

    for _ in 0..500 {
        network.advance_time();
        network.deliver_one();
    }

    assert_eq!(network.leader(), None);
    assert!(!network.node(MemberId(4)).is_formed());
}

/// Guards against the replacement of a voter that loses entries or leaves the new member without a
/// vote.
#[test]
fn empty_disk_replaces_a_voter() {
    let mut network = Network::new(1, 3, 1);
    network.run_until("a leader", Network::has_converged);
    let leader = network.leader().unwrap();
    let lost = MemberId(leader.0 % 3 + 1);
    let fresh = MemberId(4);
    let add = MemberChange::Add {
        address: ([127, 0, 0, 1], 4).into(),
        id: fresh,
        name: "member-4".into(),
    };

    for change in [add, MemberChange::Remove(lost), MemberChange::Promote(fresh)] {
        network.node_mut(leader).propose_members(change).unwrap();
        network.process_ready(leader);
        network.run_until("the change", Network::has_converged);
    }

    let members: Vec<_> = network
        .node(fresh)
        .members()
        .iter()
        .map(|member| member.id)
        .collect();
    assert!(members.contains(&fresh) && !members.contains(&lost));
    assert_eq!(members.len(), 3);
}

/// Guards against a new leader that takes the members which were cut off together with the earlier leader for
/// reachable.
#[test]
fn new_leader_knows_which_members_have_responded() {
    let mut network = Network::new(3, 5, 0);
    network.run_until("first leader", |network| network.leader().is_some());
    let old = network.leader().unwrap();
    let members: Vec<_> = network
        .node(old)
        .members()
        .iter()
        .map(|member| member.id)
        .collect();
    let lost = members.iter().copied().find(|member| *member != old).unwrap();

    network.isolate(old);
    network.isolate(lost);
    for _ in 0..2_000 {
        if network.leader() != Some(old) {
            break;
        }
        network.run_round();
    }
    let leader = network.leader().unwrap();
    let node = network.node(leader);
    let responsive: Vec<_> = members
        .into_iter()
        .filter(|member| node.is_responsive(*member, network.now_ms()))
        .collect();

    assert_ne!(leader, old);

    assert!(responsive.len() >= 2, "a quorum has voted");
    assert!(!responsive.contains(&old) && !responsive.contains(&lost));
}
