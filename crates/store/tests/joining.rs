//! Cells of store members on loopback that join by request.

mod common;

use {
    common::{Cell, wait_for},
    fuchsiatack_consensus::disk::DiskFaults,
    std::time::Duration,
};

/// Guards against the identity of a disk that was lost earlier: a leader that remembers its request
/// adds it as a learner and removes it again, without end.
#[tokio::test(flavor = "multi_thread")]
async fn lost_identities_are_not_added_again() {
    let mut cell = Cell::start_joining(3).await;
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let lost = (cell.leader().await + 1) % 3;

    for _ in 0..2 {
        cell.restart_with_empty_disk(lost).await;
        cell.becomes_voter(lost).await;
    }
    // The last change of the member list is listed before it is committed.
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let leader = cell.leader().await;
    let before = cell.store(leader).status();
    // Nothing must happen, so the test waits for several checks of the member list.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = cell.store(leader).status();

    assert_eq!(after.members, before.members);
    assert_eq!(after.commit, before.commit);
}

/// Guards against a voter that stays out for good because it was removed while it was lost. Four voters
/// are an even number, so that the leader removes the one that is silent.
#[tokio::test(flavor = "multi_thread")]
async fn removed_member_joins_again() {
    let mut cell = Cell::start_joining(3).await;
    let index = cell.propose().await;
    cell.applied_everywhere(index).await;
    let added = cell.add().await;
    cell.becomes_voter(added).await;
    let leader = cell.leader().await;
    let lost = (leader + 1) % 3;
    let identity = cell.store(lost).status().identity;

    cell.crash(lost).await;
    wait_for("the removal", || {
        let members = cell.store(leader).status().members;
        members.iter().all(|member| member.id != identity).then_some(())
    })
    .await;
    cell.restart(lost, DiskFaults::default()).await;
    cell.becomes_voter(lost).await;
    let index = cell.propose().await;

    cell.applied_everywhere(index).await;
    assert_eq!(cell.store(lost).status().identity, identity);
}
