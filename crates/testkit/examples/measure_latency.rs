//! Measures the latency that an idle cell adds to a call of a worker.
//!
//! Calls of each kind alternate in one run, so that the same conditions of the machine apply to all.

use {
    fuchsiatack_testkit::{CellBuilder, CpuMeter, FakeWorker, FakeWorkerSettings, TaskBody},
    gumdrop::Options,
    hdrhistogram::Histogram,
    serde_json::json,
    std::{
        error::Error,
        fs::OpenOptions,
        io::Write,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Records of the cell: one team and one open queue.
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 2, kind: queue, name: counter, version: 0, spec: {access: open, policy: interactive, team: anfa, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;
/// Rounds that open the connections and are not measured.
const WARM_UP_ROUNDS: u64 = 50;
/// Size of a journal entry, for the comparison with a sync without a call.
const SYNC_BYTES: usize = 200;
/// Lease of the worker that is called directly; longer than any run of the program.
const DIRECT_LEASE_MS: u64 = 3_600_000;
/// Slots of an ordinary worker.
const SLOTS: u64 = 8;

/// Measures the latency that an idle cell adds to a call of a worker.
#[derive(Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    #[options(
        required,
        meta = "FILE",
        help = "fuchsiatackd, e.g. target/release/fuchsiatackd"
    )]
    daemon: PathBuf,
    #[options(meta = "N", help = "daemons, e.g. --daemons 9", default = "9")]
    daemons: usize,
    #[options(
        meta = "N",
        help = "rounds of one call of each kind, e.g. --rounds 1000",
        default = "1000"
    )]
    rounds: u64,
    #[options(meta = "MS", help = "run time of a task, e.g. --run-ms 0", default = "0")]
    run_ms: u64,
    #[options(
        meta = "N",
        help = "seed of the request identifiers, e.g. --seed 1",
        default = "1"
    )]
    seed: u64,
    #[options(meta = "N", help = "workers, e.g. --workers 18", default = "18")]
    workers: usize,
}

/// One kind of call, with its times in microseconds.
struct Series {
    name: &'static str,
    times: Histogram<u64>,
}

impl Series {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            times: Histogram::new_with_max(60_000_000, 3).expect("the limits are valid"),
        }
    }

    fn add(&mut self, round: u64, elapsed: Duration) {
        if round >= WARM_UP_ROUNDS {
            self.times.saturating_record(elapsed.as_micros() as u64);
        }
    }

    fn print(&self, direct: &Self) {
        let at = |series: &Self, quantile| series.times.value_at_quantile(quantile) as f64 / 1_000.0;
        let (median, high) = (at(self, 0.5), at(self, 0.99));
        println!(
            "{:<34}{:>7}{:>11.3}{:>11.3}{:>14.3}{:>14.3}{:>9.2}",
            self.name,
            self.times.len(),
            median,
            high,
            median - at(direct, 0.5),
            high - at(direct, 0.99),
            median / at(direct, 0.5),
        );
    }
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    println!(
        "seed {}, {} daemons, {} workers, {} rounds, tasks of {} ms",
        arguments.seed, arguments.daemons, arguments.workers, arguments.rounds, arguments.run_ms
    );
    let mut cell = CellBuilder::new(&arguments.daemon)
        .daemons(arguments.daemons)
        .store_members(3)
        .workers(arguments.workers)
        .adjust_daemon(|daemon| daemon.log.level = "warn".to_owned())
        .records(RECORDS)
        .start()
        .await?;
    cell.wait_free_slots(arguments.workers as u64 * SLOTS).await?;
    let direct = FakeWorker::start(FakeWorkerSettings::default()).await?;
    let client = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build()?;
    client
        .post(format!("http://{}/v1/epoch", direct.address()))
        .json(&json!({"epoch": 1, "lease_ms": DIRECT_LEASE_MS}))
        .send()
        .await?
        .error_for_status()?;
    let leader = leader(&cell, arguments.daemons).await?;
    let other = (1..=arguments.daemons.min(3)).find(|number| *number != leader);
    let other = other.ok_or("at least two daemons are needed")?;
    let entries = cell.caller_addresses();
    let body = TaskBody::run(arguments.run_ms).to_json();

    let mut series = [
        Series::new("worker called directly"),
        Series::new("idempotent, by the store's leader"),
        Series::new("idempotent, by another daemon"),
        Series::new("journalled, by the store's leader"),
        Series::new("journalled, by another daemon"),
        Series::new("sync of 200 bytes, no call"),
    ];
    let cpu = CpuMeter::start()?;
    for round in 0..arguments.rounds + WARM_UP_ROUNDS {
        let start = Instant::now();
        run_directly(&client, direct.address(), round, &body).await?;
        series[0].add(round, start.elapsed());
        let calls = [(leader, true), (other, true), (leader, false), (other, false)];
        for (index, (number, idempotent)) in calls.into_iter().enumerate() {
            let id = format!("latency-{}-{round}-{index}", arguments.seed);
            let start = Instant::now();
            run_through_cell(&client, entries[number - 1], &id, idempotent, &body).await?;
            series[index + 1].add(round, start.elapsed());
        }
        series[5].add(round, sync_once(cell.path())?);
    }
    println!(
        "machine {:.0}% busy during the calls",
        cpu.busy_fraction()? * 100.0
    );
    println!(
        "{:<34}{:>7}{:>11}{:>11}{:>14}{:>14}{:>9}",
        "call", "n", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms", "ratio"
    );
    for kind in &series {
        kind.print(&series[0]);
    }
    drop(direct);
    cell.stop().await?;
    Ok(())
}

/// Returns the number of the daemon whose store is the leader.
async fn leader(cell: &fuchsiatack_testkit::Cell, daemons: usize) -> Fallible<usize> {
    for number in 1..=daemons {
        let metrics = cell.metrics(number).await?;
        if metrics.lines().any(|line| line.ends_with("store_role 2")) {
            return Ok(number);
        }
    }
    Err("no daemon reports that its store is the leader".into())
}

async fn run_directly(client: &reqwest::Client, worker: SocketAddr, round: u64, body: &str) -> Fallible<()> {
    let response = client
        .post(format!("http://{worker}/v1/tasks/1-{round}/run"))
        .header("fuchsiatack-epoch", 1)
        .header("fuchsiatack-team", "anfa")
        .body(body.to_owned())
        .send()
        .await?
        .error_for_status()?;
    response.bytes().await?;
    Ok(())
}

async fn run_through_cell(
    client: &reqwest::Client,
    entry: SocketAddr,
    id: &str,
    idempotent: bool,
    body: &str,
) -> Fallible<()> {
    let response = client
        .post(format!("http://{entry}/v1/queues/counter/requests"))
        .header("fuchsiatack-request-id", id)
        .header("fuchsiatack-deadline-ms", 10_000)
        .header("fuchsiatack-idempotent", idempotent.to_string())
        .body(body.to_owned())
        .send()
        .await?
        .error_for_status()?;
    response.bytes().await?;
    Ok(())
}

/// Appends to a file and syncs it, as the store's log does. Returns the time that this took.
fn sync_once(folder: &Path) -> Fallible<Duration> {
    let file = folder.join("sync-probe");
    let mut file = OpenOptions::new().append(true).create(true).open(file)?;
    let start = Instant::now();
    file.write_all(&[7; SYNC_BYTES])?;
    file.sync_data()?;
    Ok(start.elapsed())
}
