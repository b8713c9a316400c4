//! Cells of store members on loopback.

mod common;

use {
    common::{Cell, caller},
    fuchsiatack_consensus::disk::DiskFaults,
    fuchsiatack_ledger::Command,
    fuchsiatack_wire::{Request, Response},
};

/// Guards against a single member that waits for others.
#[tokio::test(flavor = "multi_thread")]
async fn single_member_applies_commands() {
    let cell = Cell::start(1).await;

    let index = cell.propose().await;

    assert!(cell.store(0).status().applied >= index);
}

/// Guards against commands that are lost with their leader, and against a member that does not
/// catch up after its restart.
#[tokio::test(flavor = "multi_thread")]
async fn three_members_survive_the_loss_of_the_leader() {
    let mut cell = Cell::start(3).await;
    let before = cell.propose().await;
    let leader = cell.leader().await;

    cell.stop(leader).await;
    let after = cell.propose().await;
    cell.restart(leader, DiskFaults::default()).await;

    assert!(after > before);
    cell.applied_everywhere(after).await;
}

/// Guards against callers that cannot find the leader through another member.
#[tokio::test(flavor = "multi_thread")]
async fn followers_name_the_leader() {
    let cell = Cell::start(3).await;
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let leader = cell.leader().await;
    let follower = (leader + 1) % 3;
    let address = cell.store(leader).status().leader;

    let request = Request::Propose(Box::new(Command::Noop));
    let response = cell.store(follower).call(caller().0, request).await;

    match response {
        Response::NotLeader(answer) => assert_eq!(answer.leader, address),
        other => panic!("a follower answered {other:?}"),
    }
}
