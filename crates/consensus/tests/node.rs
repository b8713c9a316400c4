//! Properties of `Node` under faults.

mod network;

use {
    fuchsiatack_consensus::{MemberChange, MemberId, Role},
    network::Network,
};

/// Random runs of each property. More can be asked for with `FUCHSIATACK_RUNS`.
fn runs() -> u64 {
    let asked = std::env::var("FUCHSIATACK_RUNS").ok();
    asked.and_then(|runs| runs.parse().ok()).unwrap_or(60)
}

/// Guards against two leaders in a term, committed entries that change or get lost, applied states
/// that differ, and confirmed reads that miss a commit. `Network::run` checks these in each step.
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
        network.settle("agreement after the faults", Network::agrees);
        committed += network.committed();
        reads += network.answered_reads;
    }
    println!("{committed} entries committed, {reads} reads answered");
    assert!(committed > 0 && reads > 0);
}

/// Guards against a cut-off leader that goes on leading, and against a returning member that
/// deposes a working leader.
#[test]
fn cut_off_leader_steps_down_and_returns_quietly() {
    let mut network = Network::new(1, 3, 0);
    network.settle("first leader", |network| network.leader().is_some());
    let old = network.leader().unwrap();

    network.cut(old);
    for _ in 0..200 {
        network.pass_time();
        for _ in 0..20 {
            network.deliver_some();
        }
    }
    let is_deposed = network.node(old).role() != Role::Leader;
    network.settle("second leader", Network::agrees);
    let (leader, term) = (network.leader().unwrap(), network.node(old).term());
    network.settle("nothing", |_| true);

    assert!(is_deposed);
    assert_ne!(leader, old);
    assert_eq!(network.node(leader).term(), term);
}

/// Guards against a member with an empty disk that votes: with one of three voters lost and one
/// replaced by an empty disk, nobody may be elected.
#[test]
fn empty_disk_does_not_vote() {
    let mut network = Network::new(1, 3, 1);
    network.cut(MemberId(2));
    network.cut(MemberId(3));

    for _ in 0..500 {
        network.pass_time();
        network.deliver_some();
    }

    assert_eq!(network.leader(), None);
    assert!(!network.node(MemberId(4)).is_formed());
}

/// Guards against a replacement that loses entries or never counts in the quorum.
#[test]
fn empty_disk_replaces_a_voter() {
    let mut network = Network::new(1, 3, 1);
    network.settle("a leader", Network::agrees);
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
        network.run(leader);
        network.settle("the change", Network::agrees);
    }

    let members: Vec<_> = network.node(fresh).members().iter().map(|m| m.id).collect();
    assert!(members.contains(&fresh) && !members.contains(&lost));
    assert_eq!(members.len(), 3);
}
