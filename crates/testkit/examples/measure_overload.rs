//! Measures the goodput of a cell during and after an overload, and the time until interactive requests
//! start while batch work occupies all slots.

use {
    fuchsiatack_model::{KeyName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, Caller, CallerEvent, Cell, CellBuilder, CpuMeter, LoadSettings, LoadTeam, Pace,
        WorkerEventKind, run_load,
    },
    gumdrop::Options,
    hdrhistogram::Histogram,
    serde_json::json,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        error::Error,
        path::PathBuf,
        time::Duration,
    },
    tokio::time::sleep,
};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Records of the cell: two teams with their keys, and one queue.
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 2, kind: team, name: oasis, version: 0, spec: {title: Oasis}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-anfa}}
---
{schema: 1, kind: key, name: oasis-1, version: 0, spec: {team: oasis, secret: key-of-oasis}}
---
{schema: 2, kind: queue, name: counter, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 1000, demand: {slots: 1, connections: 1}}}
"#;
const DAEMONS: usize = 9;
/// Slots of each worker.
const SLOTS: u64 = 8;
/// Load before and after the overload, in percent of the workers' capacity.
const NORMAL_PERCENT: u64 = 70;
/// Load during the overload, in percent of the workers' capacity.
const OVERLOAD_PERCENT: u64 = 300;
const DEADLINE: Duration = Duration::from_secs(2);
/// Maximum number of concurrent requests.
const CALLERS: usize = 8_000;
/// Duration of the normal load before and after the overload.
const NORMAL_S: u64 = 10;
/// Target of the goodput during the overload, as a fraction of the capacity.
const GOODPUT_TARGET: f64 = 0.9;
/// Time after the overload within which goodput and waits must return to their values before it.
const RECOVERY_S: u64 = 5;
/// Bound of the time within which urgent requests start.
const URGENT_BOUND_MS: f64 = 6_700.0;
/// Run time of the batch tasks that occupy the cell; longer than the measurement.
const BATCH_RUN_MS: u64 = 120_000;
const URGENT_REQUESTS_PER_SECOND: f64 = 5.0;
const URGENT_TIME: Duration = Duration::from_secs(10);

/// Measures goodput during an overload and the start of urgent requests.
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
    #[options(
        meta = "S",
        help = "duration of the overload, e.g. --overload-s 60",
        default = "20"
    )]
    overload_s: u64,
    #[options(
        meta = "MS",
        help = "mean run time of a task, e.g. --run-ms 500",
        default = "500"
    )]
    run_ms: u64,
    #[options(meta = "N", help = "seed of the load, e.g. --seed 1", default = "1")]
    seed: u64,
    #[options(meta = "N", help = "workers, e.g. --workers 50", default = "50")]
    workers: usize,
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    println!(
        "seed {}, {DAEMONS} daemons, {} workers of {SLOTS} slots, tasks of {} to {} ms, capacity {:.0}/s, \
         deadline {DEADLINE:?}",
        arguments.seed,
        arguments.workers,
        run_ms(&arguments).start,
        run_ms(&arguments).end,
        capacity(&arguments)
    );
    let mut cell = CellBuilder::new(&arguments.daemon)
        .daemons(DAEMONS)
        .workers(arguments.workers)
        .adjust_daemon(|daemon| daemon.log.level = "warn".to_owned())
        .records(RECORDS)
        .start()
        .await?;
    cell.wait_free_slots(arguments.workers as u64 * SLOTS).await?;
    measure_overload(&arguments, &cell).await?;
    cell.wait_free_slots(arguments.workers as u64 * SLOTS).await?;
    measure_urgent_requests(&arguments, &mut cell).await
}

fn run_ms(arguments: &Arguments) -> std::ops::Range<u64> {
    arguments.run_ms / 2..arguments.run_ms * 3 / 2
}

/// Tasks per second that all workers together can run.
fn capacity(arguments: &Arguments) -> f64 {
    arguments.workers as f64 * SLOTS as f64 * 1_000.0 / arguments.run_ms as f64
}

fn load(arguments: &Arguments, cell: &Cell, percent: u64, seconds: u64, seed_offset: u64) -> LoadSettings {
    LoadSettings {
        callers: CALLERS,
        deadline: DEADLINE,
        duration: Duration::from_secs(seconds),
        idempotent_millis: 1_000,
        pace: Pace::Poisson {
            per_second: capacity(arguments) * percent as f64 / 100.0,
        },
        resends: 0,
        run_ms: run_ms(arguments),
        seed: arguments.seed * 1_000 + seed_offset,
        teams: vec![team("anfa")],
        ..cell.load_settings()
    }
}

fn team(name: &str) -> LoadTeam {
    LoadTeam {
        key: Some(format!("key-of-{name}")),
        key_name: Some(KeyName::new(format!("{name}-1"))),
        name: TeamName::new(name),
        weight: 1,
    }
}

/// Outcomes and waits of the requests of one second.
struct Second {
    done: u64,
    lost: u64,
    not_run: u64,
    waits: Histogram<u64>,
}

impl Default for Second {
    fn default() -> Self {
        Self {
            done: 0,
            lost: 0,
            not_run: 0,
            waits: Histogram::new_with_max(600_000_000, 3).expect("the limits are valid"),
        }
    }
}

async fn measure_overload(arguments: &Arguments, cell: &Cell) -> Fallible<()> {
    println!(
        "load {NORMAL_PERCENT}% for {NORMAL_S} s, {OVERLOAD_PERCENT}% for {} s, {NORMAL_PERCENT}% for {NORMAL_S} s",
        arguments.overload_s
    );
    let end_s = NORMAL_S + arguments.overload_s;
    let cpu = CpuMeter::start()?;
    let normal = load(arguments, cell, NORMAL_PERCENT, NORMAL_S, 1);
    let heavy = load(arguments, cell, OVERLOAD_PERCENT, arguments.overload_s, 2);
    let after = load(arguments, cell, NORMAL_PERCENT, NORMAL_S, 3);
    // Each load also waits for its last responses, so the next one must start before that ends.
    let delayed = async |settings: LoadSettings, delay_s| {
        sleep(Duration::from_secs(delay_s)).await;
        run_load(settings).await
    };
    let (first, second, third) = tokio::join!(
        delayed(normal, 0),
        delayed(heavy, NORMAL_S),
        delayed(after, end_s)
    );
    let skipped = first?.skipped + second?.skipped + third?.skipped;
    let busy_percent = cpu.busy_fraction()? * 100.0;

    let history = cell.history()?;
    let due_us = |event: &CallerEvent| event.at_us - event.wait_us;
    let callers = history.callers.iter().filter(|event| event.last);
    let start_us = callers.clone().map(due_us).min().unwrap_or_default();
    let mut by_end: BTreeMap<u64, Second> = BTreeMap::new();
    let mut by_due: BTreeMap<u64, Second> = BTreeMap::new();
    for event in callers {
        let end_second = by_end.entry((event.at_us - start_us) / 1_000_000).or_default();
        let due_second = by_due.entry((due_us(event) - start_us) / 1_000_000).or_default();
        for second in [end_second, due_second] {
            match event.seen {
                AttemptOutcome::Done => {
                    second.done += 1;
                    second.waits.saturating_record(event.wait_us);
                }
                AttemptOutcome::NotRun => second.not_run += 1,
                _ => second.lost += 1,
            }
        }
    }
    println!("machine {busy_percent:.0}% busy; requests not sent because all callers were busy: {skipped}");
    println!(
        "{:<28}{:>9}{:>12}{:>10}{:>9}{:>8}{:>10}{:>10}",
        "phase", "seconds", "goodput/s", "of cap.", "not run", "lost", "p50 ms", "p99 ms"
    );
    let print = |name: &str, seconds: &BTreeMap<u64, Second>, from: u64, to: u64| {
        let mut sum = Second::default();
        for second in seconds.range(from..to).map(|(_, second)| second) {
            sum.done += second.done;
            sum.lost += second.lost;
            sum.not_run += second.not_run;
            let _ = sum.waits.add(&second.waits);
        }
        let goodput = sum.done as f64 / (to - from) as f64;
        println!(
            "{:<28}{:>9}{:>12.0}{:>9.1}%{:>9}{:>8}{:>10.0}{:>10.0}",
            name,
            format!("{from}-{to}"),
            goodput,
            goodput * 100.0 / capacity(arguments),
            sum.not_run,
            sum.lost,
            sum.waits.value_at_quantile(0.5) as f64 / 1_000.0,
            sum.waits.value_at_quantile(0.99) as f64 / 1_000.0
        );
        goodput / capacity(arguments)
    };
    print("normal, by due time", &by_due, 2, NORMAL_S);
    let during = print("overload, by end time", &by_end, NORMAL_S, end_s);
    for second in end_s..end_s + RECOVERY_S {
        print("after, by due time", &by_due, second, second + 1);
    }
    print(
        "after 5 s, by due time",
        &by_due,
        end_s + RECOVERY_S,
        end_s + NORMAL_S,
    );
    println!(
        "goodput during the overload: target at least {:.0}% of capacity, {}",
        GOODPUT_TARGET * 100.0,
        if during >= GOODPUT_TARGET { "met" } else { "MISSED" }
    );
    Ok(())
}

/// Occupies all slots with batch work, then sends interactive requests and reads the times of their
/// starts from the workers' event logs.
async fn measure_urgent_requests(arguments: &Arguments, cell: &mut Cell) -> Fallible<()> {
    let slots = arguments.workers as u64 * SLOTS;
    let entry = cell.caller_addresses()[0];
    let caller = Caller::new(Some("key-of-oasis"));
    let body = json!({ "run_ms": BATCH_RUN_MS }).to_string();
    caller
        .submit(
            entry,
            "overload-batch",
            &json!({
                "schema": 2, "kind": "work", "name": "filling", "version": 0,
                "spec": {
                    "team": "oasis", "policy": "batch", "tasks": slots * 2, "idempotent": true,
                    "demand": {"slots": 1, "connections": 1}, "body": body
                }
            }),
        )
        .await?;
    cell.wait_free_slots(0).await?;
    println!(
        "all {slots} slots run batch tasks of {BATCH_RUN_MS} ms; then requests, {URGENT_REQUESTS_PER_SECOND}/s for {URGENT_TIME:?}"
    );
    let seed = arguments.seed * 1_000 + 4;
    let report = run_load(LoadSettings {
        callers: CALLERS,
        deadline: Duration::from_secs(30),
        duration: URGENT_TIME,
        idempotent_millis: 1_000,
        pace: Pace::Poisson {
            per_second: URGENT_REQUESTS_PER_SECOND,
        },
        resends: 0,
        run_ms: run_ms(arguments),
        seed,
        teams: vec![team("anfa")],
        ..cell.load_settings()
    })
    .await?;
    let history = cell.history()?;
    let starts: HashMap<SmolStr, u64> = history
        .workers
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started)
        .filter_map(|event| Some((event.request.clone()?, event.at_us)))
        .collect();
    let prefix = format!("load-{seed}-");
    let mut waits = Histogram::<u64>::new_with_max(600_000_000, 3)?;
    let mut not_started = 0;
    let requests = history.callers.iter().filter(|event| event.last);
    for event in requests.filter(|event| event.request.starts_with(&prefix)) {
        match starts.get(&event.request) {
            Some(start_us) => {
                waits.saturating_record(start_us.saturating_sub(event.at_us - event.wait_us));
            }
            None => not_started += 1,
        }
    }
    let at = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
    let is_met = not_started == 0 && at(1.0) <= URGENT_BOUND_MS;
    println!(
        "urgent requests started {}, not started {not_started}, done {}; start wait p50 {:.0} ms, p99 {:.0} ms, longest \
         {:.0} ms; target {URGENT_BOUND_MS:.0} ms {}",
        waits.len(),
        report.count(AttemptOutcome::Done),
        at(0.5),
        at(0.99),
        at(1.0),
        if is_met { "met" } else { "MISSED" }
    );
    Ok(())
}
