//! Followers, reads and renewals of a single store member.

mod common;

use {
    common::{Cell, caller, wait_for, write},
    fuchsiatack_ledger::{Change, Command, DaemonInfo, Query, QueryReply, Renewal, Reply},
    fuchsiatack_model::{LogIndex, Resources, SessionId},
    fuchsiatack_records::{Kind, Record, Spec, TeamSpec},
    fuchsiatack_wire::{Frame, Request, Response},
    std::time::Duration,
    tokio::{sync::mpsc, time::timeout},
};

const PATIENCE: Duration = Duration::from_secs(30);

async fn open_session(cell: &Cell) -> SessionId {
    let daemon = DaemonInfo {
        caller_address: ([127, 0, 0, 1], 1).into(),
        data_center: "centre-1".into(),
        name: "entry-1".into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        weight: 1,
    };
    match cell.propose_command(Command::OpenSession(daemon)).await {
        (_, Reply::SessionOpened(session)) => session,
        (_, other) => panic!("no session: {other:?}"),
    }
}

async fn follow(cell: &Cell, session: SessionId, queue: usize) -> mpsc::Receiver<Frame> {
    let (caller, frames) = caller(queue);
    let from = LogIndex(0);
    let response = cell
        .store(0)
        .call(caller, Request::Follow { from, session })
        .await;
    assert_eq!(response, Response::Following);
    frames
}

async fn push(frames: &mut mpsc::Receiver<Frame>) -> (Vec<Change>, LogIndex, bool) {
    match timeout(PATIENCE, frames.recv()).await {
        Ok(Some(Frame::Push {
            changes,
            index,
            reset,
        })) => (changes, index, reset),
        other => panic!("no push: {other:?}"),
    }
}

fn team(number: u128) -> Command {
    let record = Record {
        name: format!("team-{number}").into(),
        spec: Spec::Team(TeamSpec { title: "Team".into() }),
        version: 0,
    };
    write(record, number)
}

fn renewal(session: SessionId) -> Request {
    Request::Renew(Renewal {
        applied: LogIndex(0),
        free: Resources::NONE,
        session,
        stopping: false,
        usage: Vec::new(),
    })
}

/// Guards against followers that miss the directory, a change or the index behind quiet commands.
#[tokio::test(flavor = "multi_thread")]
async fn follower_gets_directory_changes_and_index() {
    let cell = Cell::start(1).await;
    let session = open_session(&cell).await;

    let mut frames = follow(&cell, session, 16).await;
    let (directory, _, is_reset) = push(&mut frames).await;
    let (written, _) = cell.propose_command(team(1)).await;
    let (changes, index, _) = push(&mut frames).await;
    let quiet = cell.propose().await;
    let (none, last, _) = push(&mut frames).await;

    let is_own = |change: &Change| matches!(change, Change::DaemonJoined { session: joined, .. } if *joined == session);
    assert!(is_reset && directory.iter().any(is_own));
    assert!(matches!(&changes[..], [Change::RecordWritten(_)]) && index == written);
    assert!(none.is_empty() && last == quiet);
}

/// Guards against a lease that waits for the next idle push, and against a renewal that is
/// answered with an older index than the commands before it.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_carries_and_pushes_the_index() {
    let cell = Cell::start(1).await;
    let session = open_session(&cell).await;
    let mut frames = follow(&cell, session, 16).await;
    push(&mut frames).await;
    let index = cell.propose().await;

    let response = cell.call(renewal(session)).await;

    assert!(matches!(response, Response::Renewed(advice) if advice.commit_index >= index));
    while push(&mut frames).await.1 < index {}
}

/// Guards against a follower that misses changes without being told: once its queue was full, its
/// renewal must fail, and it may follow again.
#[tokio::test(flavor = "multi_thread")]
async fn slow_follower_must_follow_again() {
    let cell = Cell::start(1).await;
    let session = open_session(&cell).await;
    let _unread = follow(&cell, session, 2).await;
    for number in 1..4 {
        cell.propose_command(team(number)).await;
    }

    let refused = cell.call(renewal(session)).await;
    let mut frames = follow(&cell, session, 16).await;
    let accepted = cell.call(renewal(session)).await;

    assert!(matches!(refused, Response::Failed { .. }));
    assert!(matches!(accepted, Response::Renewed(_)));
    assert!(push(&mut frames).await.2);
}

/// Guards against reads that miss an applied write, and against state that a restart loses when
/// part of it is in a snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_records() {
    let mut cell = Cell::start(1).await;
    for number in 1..=70 {
        cell.propose_command(team(number)).await;
    }
    let has_snapshot = || {
        let files = std::fs::read_dir(cell.data_folder(0)).unwrap();
        let mut names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
        names.any(|name| name.starts_with("snapshot-") && !name.ends_with("-00000000000000000000"))
    };
    wait_for("a snapshot", || has_snapshot().then_some(())).await;

    cell.crash(0).await;
    cell.restart(0, Default::default()).await;
    let response = cell.call(Request::Query(Query::Records(Kind::Team))).await;

    match response {
        Response::Queried { reply, .. } => {
            assert!(matches!(*reply, QueryReply::Records(records) if records.len() == 70));
        }
        other => panic!("no answer: {other:?}"),
    }
}
