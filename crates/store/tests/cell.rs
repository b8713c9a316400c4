//! Elections, stops and disk failures in cells of store members on loopback.

mod common;

use {
    common::{Cell, caller, wait_for},
    fuchsiatack_consensus::{MemberRole, Role, disk::DiskFaults},
    fuchsiatack_ledger::Command,
    fuchsiatack_wire::{Request, Response},
    std::time::Duration,
};

/// Guards against a single member that waits for other members.
#[tokio::test(flavor = "multi_thread")]
async fn single_member_applies_commands() {
    let cell = Cell::start(1).await;

    let index = cell.propose().await;

    assert!(cell.store(0).status().applied >= index);
}

/// Guards against the loss of commands when their leader crashes, and against a member that does
/// not catch up after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn three_members_survive_the_loss_of_the_leader() {
    let mut cell = Cell::start(3).await;
    let before = cell.propose().await;
    let leader = cell.leader().await;

    cell.crash(leader).await;
    let after = cell.propose().await;
    cell.restart(leader, DiskFaults::default()).await;

    assert!(after > before);
    cell.applied_everywhere(after).await;
}

/// Guards against a planned stop that leaves the effect of calls unknown or the cell without a
/// leader. Every proposal made during the stop must be applied or rejected, and another member must
/// lead in the next term.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_transfers_the_leadership() {
    let cell = Cell::start(3).await;
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let leader = cell.leader().await;
    let store = cell.store(leader).clone();
    let term = store.status().term;

    let proposals = (0..50).map(|_| {
        let store = store.clone();
        let request = Request::Propose(Box::new(Command::Noop));
        tokio::spawn(async move { store.call(caller(1).0, request).await })
    });
    let proposals: Vec<_> = proposals.collect();
    store.clone().stop().await;
    let successor = cell.leader().await;

    assert_ne!(successor, leader);
    assert_eq!(cell.store(successor).status().term, term.next());
    for proposal in proposals {
        let response = proposal.await.unwrap();
        let is_certain = matches!(response, Response::Proposed { .. } | Response::NotLeader(_));
        assert!(is_certain, "{response:?}");
    }
}

/// Guards against followers that do not return the leader's address to callers.
#[tokio::test(flavor = "multi_thread")]
async fn followers_name_the_leader() {
    let cell = Cell::start(3).await;
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let leader = cell.leader().await;
    let follower = (leader + 1) % 3;
    let address = cell.store(leader).status().leader;

    let request = Request::Propose(Box::new(Command::Noop));
    let response = cell.store(follower).call(caller(1).0, request).await;

    match response {
        Response::NotLeader(not_leader) => assert_eq!(not_leader.leader, address),
        other => panic!("unexpected response of a follower: {other:?}"),
    }
}

/// Guards against a member that votes under its old name after the loss of its disk, and against a
/// replacement that is not counted in the quorum. The cell passes its snapshot threshold first, so
/// the replacement starts from a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn lost_disk_does_not_vote_until_it_is_replaced() {
    let mut cell = Cell::start(3).await;
    for _ in 0..120 {
        cell.propose().await;
    }
    let leader = cell.leader().await;
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let identity = cell.store(lost).status().identity;

    cell.crash(lost).await;
    std::fs::remove_dir_all(cell.data_folder(lost)).unwrap();
    cell.restart(lost, DiskFaults::default()).await;
    cell.crash(other).await;
    // Nothing must happen, so the test waits for a fixed time of several election timeouts.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let waiting = cell.store(lost).status();
    let remaining = cell.store(leader).status();
    cell.restart(other, DiskFaults::default()).await;
    cell.replace(lost).await;
    let new = cell.store(lost).status().identity;
    wait_for("the new disk to count", || {
        let members = cell.store(lost).status().members;
        let is_new = members
            .iter()
            .any(|member| member.id == new && member.role == MemberRole::Voter);
        (is_new && members.iter().all(|member| member.id != identity)).then_some(())
    })
    .await;
    cell.crash(other).await;
    let index = cell.propose().await;

    assert!(!waiting.formed);
    assert_ne!(remaining.role, Role::Leader);
    cell.applied_everywhere(index).await;
}

/// Guards against a member that acknowledges entries after its disk failed, and against a disk
/// failure that stops other members or is missing in the status.
#[tokio::test(flavor = "multi_thread")]
async fn full_disk_stops_only_its_member() {
    let mut cell = Cell::start(3).await;
    let before = cell.propose().await;
    let leader = cell.leader().await;
    let full = (leader + 1) % 3;
    cell.crash(full).await;
    let faults = DiskFaults {
        no_space_after_bytes: Some(2_000),
        ..DiskFaults::default()
    };
    cell.restart(full, faults).await;
    cell.applied_everywhere(before).await;

    for _ in 0..100 {
        cell.propose().await;
    }
    let failure = wait_for("the failure", || cell.store(full).status().disk_failure).await;
    let stopped = cell.store(full).status().applied;
    let after = cell.propose().await;

    assert!(failure.contains("cannot write"), "{failure}");
    assert!(after > stopped);
    assert_eq!(cell.store(full).status().applied, stopped);
}
