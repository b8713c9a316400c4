//! One run of the soak.

use {
    crate::{
        advice::AdviceStand,
        callers,
        daemons::{CALLERS_PORT, CONTROL_PORT, Daemon, ip},
        faults, operator,
        truth::Truth,
        web::serve,
        workers::WorkerStand,
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

const CORE: u8 = 3;
const ENTRIES: u8 = 3;
const WORKERS: u8 = 6;
const CALLERS: u64 = 6;
const FIRST_ENTRY: u8 = 11;
const FIRST_WORKER: u8 = 101;
const ADVICE: u8 = 200;
const WORKER_PORT: u16 = 8_746;
/// Time for the cell to form, in milliseconds.
const FORM_MS: u64 = 3_000;
/// Time after the last fault in which every accepted job must end, in milliseconds.
const QUIET_MS: u64 = 25_000;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Part of the loopback range; runs at the same time need different ones.
    pub cell: u8,
    /// Time in which faults happen, in milliseconds.
    pub faulty_ms: u64,
    /// Folder for settings, data and output of the daemons.
    pub folder: PathBuf,
    /// The `fuchsiatackd` program.
    pub program: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Faults, in order.
    pub faults: Vec<String>,
    /// Starts on workers.
    pub starts: u64,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// Runs the soak once.
pub async fn run(settings: &SoakSettings) -> io::Result<SoakReport> {
    let truth = Arc::new(Truth::new());
    let cell = settings.cell;
    let advice = SocketAddr::new(ip(cell, ADVICE), WORKER_PORT);
    if serve(advice, Arc::new(AdviceStand::default())).await.is_none() {
        return Err(io::Error::other(format!("cannot bind {advice}")));
    }
    let core: Vec<_> = (1..=CORE).map(|host| ip(cell, host)).collect();
    let entries: Vec<_> = (FIRST_ENTRY..FIRST_ENTRY + ENTRIES)
        .map(|host| ip(cell, host))
        .collect();
    let start = |ip, is_core| start(&settings.program, &settings.folder, ip, is_core, &core, advice);
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
    for number in 0..WORKERS {
        let address = SocketAddr::new(ip(cell, FIRST_WORKER + number), WORKER_PORT);
        let worker = WorkerStand::start(number.into(), address, truth.clone()).await;
        background.spawn(worker.clone().pass());
        background.spawn(worker.clone().report(control.clone()));
        workers.push(worker);
    }
    background.spawn(operator::operate(truth.clone(), control));
    sleep(Duration::from_millis(FORM_MS)).await;
    for daemon in &daemons {
        daemon.formed()?;
    }
    let until_ms = truth.now_ms() + settings.faulty_ms;
    let end_ms = until_ms + QUIET_MS;
    let mut open = JoinSet::new();
    for number in 0..CALLERS {
        let seed = settings.seed.wrapping_mul(31).wrapping_add(number);
        open.spawn(callers::call(
            truth.clone(),
            entries.clone(),
            seed,
            until_ms,
            end_ms,
        ));
    }
    let faults = faults::inject(
        &truth,
        &mut daemons,
        CORE.into(),
        &workers,
        settings.seed,
        until_ms,
    )
    .await;
    while open.join_next().await.is_some() {}
    let seen = truth.seen();
    let mut violations = seen.violations.clone();
    let lost = seen.jobs.iter().filter(|(_, job)| job.accepted && !job.ended);
    violations.extend(lost.map(|(id, _)| format!("{id} was accepted and did not end")));
    Ok(SoakReport {
        accepted: seen.jobs.values().filter(|job| job.accepted).count(),
        faults,
        starts: seen.starts,
        violations,
    })
}

fn start(
    program: &Path,
    folder: &Path,
    ip: std::net::IpAddr,
    is_core: bool,
    seeds: &[std::net::IpAddr],
    advice: SocketAddr,
) -> io::Result<Daemon> {
    Daemon::start(program, folder, ip, is_core, seeds, advice)
}
