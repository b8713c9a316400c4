//! Fixtures of the tests of invariants.

use {
    fuchsiatack_model::{KeyName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, CallerEvent, Cell, CellBuilder, HistoryChecker, LoadSettings, LoadTeam, WorkerEvent,
        WorkerEventKind, WorkerMode, read_json_log, run_load, wall_us,
    },
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::{Mutex, MutexGuard},
        task::JoinHandle,
    },
};

pub const SECOND_US: u64 = 1_000_000;
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 2, kind: team, name: maarif, version: 0, spec: {title: Maarif}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: secret-of-anfa}}
---
{schema: 1, kind: key, name: maarif-1, version: 0, spec: {team: maarif, secret: secret-of-maarif}}
---
{schema: 2, kind: queue, name: counter, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 1000, demand: {slots: 1, connections: 1}}}
"#;

static TURN: Mutex<()> = Mutex::const_new(());

/// Lets one cell run at a time: several on one machine would delay each other past the bounds.
pub async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Three daemons with the leases of the design, two teams and one queue.
pub fn builder(workers: usize) -> CellBuilder {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .daemons(3)
        .workers(workers)
        .worker_mode(WorkerMode::Process)
        .records(RECORDS)
}

/// Leases short enough that a pause outlasts all of them in a test.
pub fn short_leases(builder: CellBuilder) -> CellBuilder {
    builder.adjust_daemon(|daemon| {
        daemon.leases.session_ms = 1_500;
        daemon.leases.session_renewal_ms = 250;
        daemon.leases.task_ms = 2_000;
        daemon.leases.task_renewal_ms = 500;
        daemon.leases.margin_ms = 300;
    })
}

/// Starts a cell and waits until all its workers are fenced.
pub async fn start(builder: CellBuilder, workers: usize) -> Cell {
    let mut cell = builder.start().await.expect("the cell starts");
    let mut status = Value::Null;
    let waited = cell
        .wait_until("all workers are fenced", async |cell| {
            status = cell.status(1).await?;
            let entries = status["ledger"]["workers"].as_array();
            let fenced = entries
                .into_iter()
                .flatten()
                .filter(|entry| entry["fenced"] == true);
            Ok(fenced.count() == workers)
        })
        .await;
    if let Err(error) = waited {
        let events = cell.worker_events();
        panic!("{error}; status {status}; events of workers {events:?}");
    }
    cell
}

/// Number of the daemon whose store leads, as entry-1 reports it.
pub async fn leader(cell: &mut Cell) -> usize {
    let status = cell.status(1).await.expect("a status");
    let leader = status["store"]["leader"].as_str().unwrap_or_default().to_owned();
    let found = cell.daemons().iter().position(|daemon| {
        let peers = &daemon.settings().peers;
        peers.advertised_address.unwrap_or(peers.address).to_string() == leader
    });
    found.unwrap_or_else(|| panic!("no daemon has the leader's address {leader}")) + 1
}

pub fn team(name: &str) -> LoadTeam {
    LoadTeam {
        key: Some(format!("secret-of-{name}")),
        key_name: Some(KeyName::new(format!("{name}-1"))),
        name: TeamName::new(name),
        weight: 1,
    }
}

/// A load of one team on all daemons that resends until it has an answer.
pub fn load(cell: &Cell, seed: u64, seconds: u64) -> LoadSettings {
    LoadSettings {
        callers: 16,
        duration: Duration::from_secs(seconds),
        resends: 30,
        seed,
        teams: vec![team("anfa")],
        ..cell.load_settings()
    }
}

pub fn spawn_load(settings: LoadSettings) -> JoinHandle<()> {
    tokio::spawn(async move {
        run_load(settings).await.expect("the load runs");
    })
}

pub fn callers(cell: &Cell) -> Vec<CallerEvent> {
    read_json_log(&cell.path().join("callers.jsonl")).expect("a readable log")
}

pub fn starts(cell: &Cell) -> Vec<WorkerEvent> {
    let events = cell.worker_events().expect("a readable log").into_iter();
    events
        .filter(|event| event.event == WorkerEventKind::Started)
        .collect()
}

/// Waits until workers have started this many tasks.
pub async fn wait_starts(cell: &mut Cell, wanted: usize) {
    cell.wait_until("started tasks", async |cell| Ok(starts(cell).len() >= wanted))
        .await
        .expect("started tasks");
}

/// Attempts that were sent to an entry address after a time.
pub fn sent_after(events: &[CallerEvent], entry: Option<SocketAddr>, after_us: u64) -> Vec<&CallerEvent> {
    let entry = entry.map(|entry| entry.to_string());
    events
        .iter()
        .filter(|event| event.sent_us > after_us)
        .filter(|event| entry.as_ref().is_none_or(|entry| *entry == event.entry.as_str()))
        .collect()
}

pub fn count_seen(events: &[&CallerEvent], seen: AttemptOutcome) -> usize {
    events.iter().filter(|event| event.seen == seen).count()
}

/// Checks all logs and prints how much they cover.
pub fn assert_no_violation(cell: &Cell, test: &str) {
    let history = cell.history().expect("readable logs");
    let found = HistoryChecker::default().check(&history);
    let last: Vec<_> = history.callers.iter().filter(|event| event.last).collect();
    let seen = AttemptOutcome::ALL.map(|seen| format!("{} {}", count_seen(&last, seen), seen.as_str()));
    println!(
        "{test}: {} requests ({}), {} attempts, {} worker events, {} violations",
        last.len(),
        seen.join(", "),
        history.callers.len(),
        history.workers.len(),
        found.len()
    );
    assert!(
        found.is_empty(),
        "{} violations: {:#?}",
        found.len(),
        &found[..found.len().min(10)]
    );
}

/// Waits until a wall time, so that a test observes the system beyond a bound of the design.
pub async fn sleep_until_us(at_us: u64) {
    let left_us = at_us.saturating_sub(wall_us());
    tokio::time::sleep(Duration::from_micros(left_us)).await;
}
