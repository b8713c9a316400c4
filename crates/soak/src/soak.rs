//! One run of the soak test: starts the cell and the stubs, injects faults, and reports violations.

use {
    crate::{
        advice::AdviceStub,
        callers,
        checker::Checker,
        daemons::{CALLERS_PORT, CONTROL_PORT, Daemon, ip},
        departures, faults, operator,
        stub_server::serve,
        unasked::{self, Execution},
        workers::WorkerStub,
    },
    std::{
        io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

const CORE_COUNT: u8 = 3;
/// The last one gets signals while another daemon or a worker is faulty.
const ENTRY_COUNT: u8 = 4;
const WORKER_COUNT: u8 = 6;
const CALLER_COUNT: u64 = 6;
/// Host part of the first entry's address. Core daemons start at 1.
const FIRST_ENTRY_HOST: u8 = 11;
const FIRST_WORKER_HOST: u8 = 101;
const ADVICE_HOST: u8 = 200;
/// Port of the worker stubs and of the advice stub.
const STUB_PORT: u16 = 8_746;
/// Time for the cell to form before callers and faults start, in milliseconds.
const FORMATION_MS: u64 = 3_000;
/// Time after the fault period in which callers still submit and cancel jobs, in milliseconds.
const FINAL_CALM_MS: u64 = 8_000;
/// Time after the last submission within which every accepted job must end, in milliseconds.
const COMPLETION_MS: u64 = 25_000;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Number of the cell, which selects its addresses 127.77.`cell`.0/24. Parallel soak runs need
    /// different numbers.
    pub cell: u8,
    /// Time in which faults are injected, in milliseconds.
    pub fault_period_ms: u64,
    /// Folder for the settings, data and output of the daemons; created if absent.
    pub folder: PathBuf,
    /// Path of the `fuchsiatackd` program.
    pub program: PathBuf,
    /// Seed of the random faults and of the callers' jobs.
    pub seed: u64,
}

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of jobs that the cell accepted.
    pub accepted: usize,
    /// Number of jobs whose cancellation was acknowledged.
    pub cancelled: usize,
    /// Number of checkpoints that workers produced.
    pub checkpoints: usize,
    /// Injected faults in order of time, each with its start in milliseconds.
    pub faults: Vec<String>,
    /// Number of times that a worker left gracefully.
    pub leaves: usize,
    /// Number of runs that workers started on orders that they carried out late.
    pub late_starts: usize,
    /// Number of runs that workers started.
    pub starts: u64,
    /// Violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
}

/// Runs the soak test once.
///
/// Returns an error if the advice stub cannot bind its address, or if a daemon or its files cannot be set up.
/// Violations are part of the report, not an error.
pub async fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let checker = Arc::new(Checker::new());
    let cell = settings.cell;
    let advice = SocketAddr::new(ip(cell, ADVICE_HOST), STUB_PORT);
    if serve(advice, Arc::new(AdviceStub::new(checker.clone())))
        .await
        .is_none()
    {
        return Err(io::Error::other(format!("cannot bind {advice}")));
    }
    let core: Vec<_> = (1..=CORE_COUNT).map(|host| ip(cell, host)).collect();
    let entries: Vec<_> = (FIRST_ENTRY_HOST..FIRST_ENTRY_HOST + ENTRY_COUNT)
        .map(|host| ip(cell, host))
        .collect();
    let start = |ip, is_core| start_daemon(&settings.program, &settings.folder, ip, is_core, &core, advice);
    let mut daemons = core
        .iter()
        .map(|ip| start(*ip, true))
        .collect::<io::Result<Vec<_>>>()?;
    for ip in &entries {
        daemons.push(start(*ip, false)?);
    }
    let control: Vec<_> = core.iter().map(|ip| SocketAddr::new(*ip, CONTROL_PORT)).collect();
    let entries: Vec<_> = entries
        .iter()
        .map(|ip| SocketAddr::new(*ip, CALLERS_PORT))
        .collect();
    let mut background = JoinSet::new();
    let mut workers = Vec::new();
    for number in 0..WORKER_COUNT {
        let address = SocketAddr::new(ip(cell, FIRST_WORKER_HOST + number), STUB_PORT);
        let worker = WorkerStub::start(number.into(), address, settings.seed, checker.clone()).await;
        background.spawn(worker.clone().advance_runs());
        background.spawn(worker.clone().send_heartbeats(control.clone()));
        workers.push(worker);
    }
    background.spawn(operator::change_configurations(checker.clone(), control.clone()));
    sleep(Duration::from_millis(FORMATION_MS)).await;
    for daemon in &daemons {
        daemon.mark_formed()?;
    }
    let until_ms = checker.now_ms() + settings.fault_period_ms;
    let submit_until_ms = until_ms + FINAL_CALM_MS;
    let end_ms = submit_until_ms + COMPLETION_MS;
    background.spawn(unasked::watch_cancelled_runs(checker.clone()));
    let mut caller_tasks = JoinSet::new();
    for number in 0..CALLER_COUNT {
        let seed = settings.seed.wrapping_mul(31).wrapping_add(number);
        caller_tasks.spawn(callers::submit_jobs(
            checker.clone(),
            entries.clone(),
            seed,
            submit_until_ms,
            end_ms,
        ));
    }
    let departures = tokio::spawn(departures::let_workers_leave(
        checker.clone(),
        workers.clone(),
        control,
        settings.seed,
        until_ms,
    ));
    let faults = faults::inject(
        &checker,
        &mut daemons,
        CORE_COUNT.into(),
        &workers,
        settings.seed,
        until_ms,
    )
    .await;
    while caller_tasks.join_next().await.is_some() {}
    let leaves = departures.await.map_err(io::Error::other)?;
    let observed = checker.observations();
    let mut violations = observed.violations.clone();
    let unfinished = observed.jobs.iter().filter(|(_, job)| job.accepted && !job.ended);
    violations.extend(unfinished.map(|(id, _)| format!("job {id} was accepted but did not end")));
    Ok(SoakReport {
        accepted: observed.jobs.values().filter(|job| job.accepted).count(),
        cancelled: observed
            .jobs
            .values()
            .filter(|job| job.cancelled_ms.is_some())
            .count(),
        checkpoints: observed.checkpoints.len(),
        faults,
        leaves,
        late_starts: observed
            .runs
            .values()
            .filter(|run| run.execution != Execution::Prompt)
            .count(),
        starts: observed.starts,
        violations,
    })
}

fn start_daemon(
    program: &Path,
    folder: &Path,
    ip: std::net::IpAddr,
    is_core: bool,
    seeds: &[std::net::IpAddr],
    advice: SocketAddr,
) -> io::Result<Daemon> {
    Daemon::start(program, folder, ip, is_core, seeds, advice)
}
