//! Fixtures that the invariant tests share.

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

static CELL_LOCK: Mutex<()> = Mutex::const_new(());

/// Serialises the tests: several cells on one machine would delay each other beyond the bounds that
/// the tests check.
pub async fn lock_cell() -> MutexGuard<'static, ()> {
    CELL_LOCK.lock().await
}

/// Builds a cell of three daemons with the lease times of the design, two teams and one queue.
pub fn builder(workers: usize) -> CellBuilder {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .daemons(3)
        .workers(workers)
        .worker_mode(WorkerMode::Process)
        .records(RECORDS)
}

/// Shortens the leases so that a pause within a test outlasts all of them.
pub fn with_short_leases(builder: CellBuilder) -> CellBuilder {
    builder.adjust_daemon(|daemon| {
        daemon.leases.session_ms = 1_500;
        daemon.leases.session_renewal_ms = 250;
        daemon.leases.task_ms = 2_000;
        daemon.leases.task_renewal_ms = 500;
        daemon.leases.margin_ms = 300;
    })
}

/// Starts a cell and waits until every worker is fenced by its owner.
pub async fn start_cell(builder: CellBuilder, workers: usize) -> Cell {
    let mut cell = builder.start().await.expect("the cell should start");
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
        panic!("{error}; last status {status}; worker events {events:?}");
    }
    cell
}

/// Number of the daemon that leads the store, as entry-1 reports it.
pub async fn leader_number(cell: &mut Cell) -> usize {
    let status = cell.status(1).await.expect("the status should be returned");
    let leader = status["store"]["leader"].as_str().unwrap_or_default().to_owned();
    let found = cell.daemons().iter().position(|daemon| {
        let peers = &daemon.settings().peers;
        peers.advertised_address.unwrap_or(peers.address).to_string() == leader
    });
    found.unwrap_or_else(|| panic!("no daemon has the leader's peer address {leader}")) + 1
}

pub fn load_team(name: &str) -> LoadTeam {
    LoadTeam {
        key: Some(format!("secret-of-{name}")),
        key_name: Some(KeyName::new(format!("{name}-1"))),
        name: TeamName::new(name),
        weight: 1,
    }
}

/// Load of one team on all daemons. A request without a response is resent up to 30 times.
pub fn load_settings(cell: &Cell, seed: u64, seconds: u64) -> LoadSettings {
    LoadSettings {
        callers: 16,
        duration: Duration::from_secs(seconds),
        resends: 30,
        seed,
        teams: vec![load_team("anfa")],
        ..cell.load_settings()
    }
}

pub fn spawn_load(settings: LoadSettings) -> JoinHandle<()> {
    tokio::spawn(async move {
        run_load(settings).await.expect("the load should run");
    })
}

pub fn caller_events(cell: &Cell) -> Vec<CallerEvent> {
    read_json_log(&cell.path().join("callers.jsonl")).expect("the caller log should be readable")
}

pub fn started_events(cell: &Cell) -> Vec<WorkerEvent> {
    let events = cell
        .worker_events()
        .expect("the worker log should be readable")
        .into_iter();
    events
        .filter(|event| event.event == WorkerEventKind::Started)
        .collect()
}

/// Waits until the workers have started `wanted` tasks.
pub async fn wait_for_starts(cell: &mut Cell, wanted: usize) {
    cell.wait_until("the workers have started enough tasks", async |cell| {
        Ok(started_events(cell).len() >= wanted)
    })
    .await
    .expect("the workers should start the tasks");
}

/// Attempts sent after `after_us`; to one entry address if `entry` is given.
pub fn sent_after(events: &[CallerEvent], entry: Option<SocketAddr>, after_us: u64) -> Vec<&CallerEvent> {
    let entry = entry.map(|entry| entry.to_string());
    events
        .iter()
        .filter(|event| event.sent_us > after_us)
        .filter(|event| entry.as_ref().is_none_or(|entry| *entry == event.entry.as_str()))
        .collect()
}

pub fn count_outcomes(events: &[&CallerEvent], outcome: AttemptOutcome) -> usize {
    events.iter().filter(|event| event.seen == outcome).count()
}

/// Prints the attempts that were not done, so that a failure can be traced.
pub fn print_not_done(events: &[&CallerEvent], test: &str) {
    let not_done = events.iter().filter(|event| event.seen != AttemptOutcome::Done);
    for event in not_done.take(20) {
        println!(
            "{test}: {} attempt {} at {}: {} after {} ms, {}",
            event.request,
            event.attempt,
            event.entry,
            event.seen.as_str(),
            event.wait_us / 1_000,
            event.detail
        );
    }
}

/// Checks all logs for violations and prints the number of requests and events that were checked.
pub fn assert_no_violation(cell: &Cell, test: &str) {
    let history = cell.history().expect("the logs should be readable");
    let found = HistoryChecker::default().check(&history);
    let last: Vec<_> = history.callers.iter().filter(|event| event.last).collect();
    let outcomes =
        AttemptOutcome::ALL.map(|outcome| format!("{} {}", count_outcomes(&last, outcome), outcome.as_str()));
    println!(
        "{test}: {} requests ({}), {} attempts, {} worker events, {} violations",
        last.len(),
        outcomes.join(", "),
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

/// Sleeps until a wall-clock time in microseconds, so that a test observes the system beyond a bound
/// of the design.
pub async fn sleep_until_us(at_us: u64) {
    let left_us = at_us.saturating_sub(wall_us());
    tokio::time::sleep(Duration::from_micros(left_us)).await;
}
