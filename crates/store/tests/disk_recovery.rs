//! Recovery of store members whose disks fail for a time.

mod common;

use {
    common::{Cell, wait_for, write},
    fuchsiatack_consensus::{
        Role,
        disk::{DiskFaults, FullDisk},
    },
    fuchsiatack_ledger::{Command, Query, QueryReply},
    fuchsiatack_records::{Kind, Record, Spec, TeamSpec},
    fuchsiatack_store::{InitialMember, Store, StoreError, StoreSettings},
    fuchsiatack_wire::{CellSecret, Request, Response},
    std::{path::Path, time::Duration},
    tokio::time::timeout,
};

/// Longest time that a start may take once the disk has space.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

fn disks(size: usize) -> Vec<FullDisk> {
    (0..size).map(|_| FullDisk::default()).collect()
}

async fn start(disks: &[FullDisk]) -> Cell {
    let faults = disks.iter().map(|disk| DiskFaults {
        full: disk.clone(),
        ..DiskFaults::default()
    });
    Cell::start_with_faults(faults.collect()).await
}

fn team(number: u128) -> Command {
    let record = Record {
        name: format!("team-{number}").into(),
        spec: Spec::Team(TeamSpec { title: "Team".into() }),
        version: 0,
    };
    write(record, number)
}

/// Returns the settings of a cell of one member.
fn single_member(folder: &Path) -> StoreSettings {
    let listed = InitialMember {
        address: ([127, 0, 0, 1], 1).into(),
        name: "store-0".into(),
    };
    StoreSettings::new("store-0", folder, vec![listed], CellSecret::new("store tests"))
}

/// Writes `count` records, numbered on from `written`.
async fn write_teams(cell: &Cell, written: &mut u128, count: u128) {
    for _ in 0..count {
        *written += 1;
        cell.propose_command(team(*written)).await;
    }
}

async fn count_teams(cell: &Cell) -> u128 {
    match cell.call(Request::Query(Query::Records(Kind::Team))).await {
        Response::Queried { reply, .. } => match *reply {
            QueryReply::Records(records) => records.len() as u128,
            other => panic!("no records: {other:?}"),
        },
        other => panic!("no reply to a query: {other:?}"),
    }
}

async fn wait_for_failure(cell: &Cell, member: usize) {
    wait_for("the failure", || cell.store(member).status().disk_failure).await;
}

async fn wait_for_recovery(cell: &Cell, member: usize) {
    wait_for("the recovery", || {
        cell.store(member).status().disk_failure.is_none().then_some(())
    })
    .await;
}

/// Fills the disk of a member until a write has failed, and frees it after more entries.
async fn fill_for_a_time(cell: &Cell, disks: &[FullDisk], member: usize, written: &mut u128) {
    disks[member].set(true);
    write_teams(cell, written, 5).await;
    wait_for_failure(cell, member).await;
    write_teams(cell, written, 20).await;
    disks[member].set(false);
}

/// Guards against members that stay out for good after a failed write. Two of three members fail and
/// recover, the leader first; then the third one ends. The entries of the time pass the snapshot
/// threshold.
#[tokio::test(flavor = "multi_thread")]
async fn members_take_part_again_after_their_disks_were_full() {
    let disks = disks(3);
    let mut cell = start(&disks).await;
    let mut written = 0;
    write_teams(&cell, &mut written, 30).await;
    let first = cell.leader().await;

    fill_for_a_time(&cell, &disks, first, &mut written).await;
    wait_for_recovery(&cell, first).await;
    let second = cell.leader().await;
    fill_for_a_time(&cell, &disks, second, &mut written).await;
    wait_for_recovery(&cell, second).await;
    let third = 3 - first - second;
    cell.crash(third).await;
    write_teams(&cell, &mut written, 5).await;
    cell.restart(third, DiskFaults::default()).await;
    let index = cell.propose().await;

    assert_ne!(first, second);
    cell.applied_everywhere(index).await;
    assert_eq!(count_teams(&cell).await, written);
}

/// Guards against a cell without a leader after the disks of most members were full at the same time,
/// and against the loss of what it had acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn cell_recovers_after_most_disks_were_full_at_once() {
    let disks = disks(5);
    let cell = start(&disks).await;
    let mut written = 0;
    write_teams(&cell, &mut written, 60).await;
    let leader = cell.leader().await;
    let full: Vec<_> = (0..5).filter(|member| *member != leader).collect();

    full.iter().for_each(|member| disks[*member].set(true));
    for member in &full {
        // The entry cannot be committed yet, so its outcome is not waited for.
        let request = Request::Propose(Box::new(Command::Noop));
        let _ = timeout(Duration::from_millis(50), cell.call(request)).await;
        wait_for_failure(&cell, *member).await;
    }
    full.iter().for_each(|member| disks[*member].set(false));
    for member in &full {
        wait_for_recovery(&cell, *member).await;
    }
    write_teams(&cell, &mut written, 5).await;
    let index = cell.propose().await;

    cell.applied_everywhere(index).await;
    assert_eq!(count_teams(&cell).await, written);
}

/// Guards against a member that never forms because the first write, of its member list, failed.
#[tokio::test(flavor = "multi_thread")]
async fn member_forms_after_its_first_write_failed() {
    let mut faults = vec![DiskFaults::default(); 3];
    faults[0].fail_write = Some(1);
    let mut cell = Cell::start_with_faults(faults).await;

    let before = cell.propose().await;
    cell.applied_everywhere(before).await;
    cell.crash(1).await;
    let after = cell.propose().await;

    assert!(cell.store(0).status().formed);
    cell.applied_everywhere(after).await;
}

/// Guards against a single member that does not lead again.
#[tokio::test(flavor = "multi_thread")]
async fn single_member_leads_again_after_its_disk_was_full() {
    let disks = disks(1);
    let cell = start(&disks).await;
    let mut written = 0;
    write_teams(&cell, &mut written, 10).await;

    disks[0].set(true);
    let request = Request::Propose(Box::new(Command::Noop));
    let failed = cell.call(request).await;
    wait_for_failure(&cell, 0).await;
    let during = cell.store(0).status();
    disks[0].set(false);
    write_teams(&cell, &mut written, 1).await;

    assert!(matches!(failed, Response::Failed { .. }), "{failed:?}");
    assert_eq!(during.role, Role::Follower);
    assert_eq!(count_teams(&cell).await, written);
}

/// Guards against a planned stop that waits for the disk to have space again.
#[tokio::test(flavor = "multi_thread")]
async fn member_with_a_full_disk_stops() {
    let disks = disks(1);
    let cell = start(&disks).await;
    cell.propose().await;
    disks[0].set(true);
    let request = Request::Propose(Box::new(Command::Noop));
    cell.call(request).await;
    wait_for_failure(&cell, 0).await;

    let stopped = timeout(STOP_TIMEOUT, cell.store(0).clone().stop()).await;

    assert!(stopped.is_ok());
}

/// Guards against a process that ends again and again because its disk is full, instead of waiting.
#[tokio::test(flavor = "multi_thread")]
async fn start_waits_while_the_disk_is_full() {
    let folder = tempfile::tempdir().unwrap();
    let mut settings = single_member(folder.path());
    let disk = FullDisk::default();
    settings.log_store.faults.full = disk.clone();
    disk.set(true);

    let rejected = Store::start(settings.clone()).map(|_| ());
    let starting = tokio::spawn(Store::start_on_full_disk(settings));
    // Nothing must happen, so the test waits for a fixed time of several attempts.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let started_early = starting.is_finished();
    disk.set(false);
    let store = timeout(START_TIMEOUT, starting).await.unwrap().unwrap().unwrap();

    assert!(matches!(rejected, Err(StoreError::Disk(error)) if error.is_disk_full()));
    assert!(!started_early);
    wait_for("the formation", || store.status().formed.then_some(())).await;
}

/// Guards against a wait for a folder that no space would repair.
#[tokio::test(flavor = "multi_thread")]
async fn start_fails_if_the_folder_cannot_be_created() {
    let file = tempfile::NamedTempFile::new().unwrap();
    let settings = single_member(file.path());

    let rejected = timeout(START_TIMEOUT, Store::start_on_full_disk(settings)).await;

    assert!(matches!(rejected, Ok(Err(StoreError::Disk(_)))));
}
