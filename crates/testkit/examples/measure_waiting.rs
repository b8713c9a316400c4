//! Measures the waiting times in a cell under an open-loop load, for each placement rule.

use {
    fuchsiatack_model::TeamName,
    fuchsiatack_testkit::{
        AttemptOutcome, Cell, CellBuilder, CpuMeter, LoadSettings, LoadTeam, Pace, WorkerEventKind, run_load,
    },
    gumdrop::Options,
    hdrhistogram::Histogram,
    smol_str::SmolStr,
    std::{collections::HashMap, error::Error, path::PathBuf, time::Duration},
};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Records of the cell: three worker classes, one team and one open queue.
const RECORDS: &str = r#"
{schema: 2, kind: worker_class, name: fast, version: 0, spec: {speed_millis: 1800}}
---
{schema: 2, kind: worker_class, name: ordinary, version: 0, spec: {speed_millis: 1000}}
---
{schema: 2, kind: worker_class, name: slow, version: 0, spec: {speed_millis: 500}}
---
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 2, kind: queue, name: counter, version: 0, spec: {access: open, policy: interactive, team: anfa, max_waiting: 1000, demand: {slots: 1, connections: 1}}}
"#;
/// Placement rules that are measured without `--rule`.
const RULES: [&str; 4] = ["policy", "least-loaded", "two-choices", "random"];
/// Loads in percent of the workers' capacity.
const LOADS_PERCENT: [u64; 3] = [50, 80, 95];
/// Weights of the daemons, in the order of their names.
const WEIGHTS: [u32; 9] = [4, 4, 3, 3, 2, 2, 2, 1, 1];
/// Name, speed in thousandths and number of workers of each class.
const CLASSES: [(&str, u32, usize); 3] = [("fast", 1_800, 10), ("ordinary", 1_000, 25), ("slow", 500, 15)];
/// Slots of each worker.
const SLOTS: u64 = 8;
const DEADLINE: Duration = Duration::from_secs(30);
/// Maximum number of concurrent requests; far above the slots and queues of the cell.
const CALLERS: usize = 4_000;
/// Duration of the load before each measurement, so that a measurement does not begin with an empty cell.
const WARM_UP: Duration = Duration::from_secs(2);

/// Measures waiting times under an open-loop load for each placement rule.
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
        help = "measured time of each load, e.g. --duration-s 20",
        default = "8"
    )]
    duration_s: u64,
    #[options(
        meta = "MS",
        help = "mean run time on an ordinary worker, e.g. --run-ms 500",
        default = "500"
    )]
    run_ms: u64,
    #[options(
        meta = "NAME",
        help = "placement rule, repeatable, e.g. --rule policy; all if absent"
    )]
    rule: Vec<String>,
    #[options(meta = "N", help = "seed of the load, e.g. --seed 1", default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let mut arguments = Arguments::parse_args_default_or_exit();
    if arguments.rule.is_empty() {
        arguments.rule = RULES.map(str::to_owned).to_vec();
    }
    let workers: usize = CLASSES.iter().map(|(_, _, count)| count).sum();
    println!(
        "seed {}, {} daemons of weights {WEIGHTS:?}, {workers} workers of {SLOTS} slots, {} s for each load",
        arguments.seed,
        WEIGHTS.len(),
        arguments.duration_s
    );
    println!(
        "classes (name, speed in thousandths, number) {CLASSES:?}, tasks of {} to {} ms, capacity {:.0}/s",
        run_ms(&arguments).start,
        run_ms(&arguments).end,
        capacity(&arguments)
    );
    println!(
        "{:<14}{:>6}{:>7}{:>9}{:>10}{:>10}{:>10}{:>11}{:>11}{:>11}{:>6}",
        "rule",
        "load",
        "done",
        "not done",
        "start p50",
        "start p90",
        "start p99",
        "resp. p50",
        "resp. p90",
        "resp. p99",
        "busy"
    );
    for rule in arguments.rule.clone() {
        measure_rule(&arguments, &rule).await?;
    }
    Ok(())
}

fn run_ms(arguments: &Arguments) -> std::ops::Range<u64> {
    arguments.run_ms * 2 / 5..arguments.run_ms * 8 / 5
}

/// Tasks per second that all workers together can run.
fn capacity(arguments: &Arguments) -> f64 {
    let speed: u64 = CLASSES
        .iter()
        .map(|(_, speed, count)| u64::from(*speed) * *count as u64)
        .sum();
    (speed * SLOTS) as f64 / arguments.run_ms as f64
}

async fn measure_rule(arguments: &Arguments, rule: &str) -> Fallible<()> {
    let rule_setting = rule.to_owned();
    let mut builder = CellBuilder::new(&arguments.daemon)
        .daemons(WEIGHTS.len())
        .adjust_daemon(move |daemon| {
            let number: usize = daemon.name.trim_start_matches("entry-").parse().unwrap_or(1);
            daemon.log.level = "warn".to_owned();
            daemon.placement_rule = Some(rule_setting.clone());
            daemon.weight = WEIGHTS[number - 1];
        })
        .records(RECORDS);
    // Classes alternate, so that every data centre and rack has workers of each class.
    let mut left = CLASSES.map(|(_, _, count)| count);
    while left.iter().any(|count| *count > 0) {
        for (index, (class, speed_millis, _)) in CLASSES.into_iter().enumerate() {
            if left[index] == 0 {
                continue;
            }
            left[index] -= 1;
            builder = builder.worker(|worker| {
                worker.class = Some(class.into());
                worker.speed_millis = speed_millis;
            });
        }
    }
    let mut cell = builder.start().await?;
    let workers: usize = CLASSES.iter().map(|(_, _, count)| count).sum();
    cell.wait_free_slots(workers as u64 * SLOTS).await?;
    for percent in LOADS_PERCENT {
        measure_load(arguments, &cell, rule, percent).await?;
    }
    Ok(())
}

async fn measure_load(arguments: &Arguments, cell: &Cell, rule: &str, percent: u64) -> Fallible<()> {
    let settings = LoadSettings {
        body_bytes: 0..200,
        callers: CALLERS,
        deadline: DEADLINE,
        duration: WARM_UP + Duration::from_secs(arguments.duration_s),
        idempotent_millis: 1_000,
        pace: Pace::Poisson {
            per_second: capacity(arguments) * percent as f64 / 100.0,
        },
        run_ms: run_ms(arguments),
        seed: arguments.seed * 1_000 + percent,
        teams: vec![LoadTeam {
            key: None,
            key_name: None,
            name: TeamName::new("anfa"),
            weight: 1,
        }],
        ..cell.load_settings()
    };
    let prefix = format!("load-{}-", settings.seed);
    let cpu = CpuMeter::start()?;
    run_load(settings).await?;
    let busy_percent = cpu.busy_fraction()? * 100.0;

    let history = cell.history()?;
    let starts: HashMap<SmolStr, u64> = history
        .workers
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started)
        .filter_map(|event| Some((event.request.clone()?, event.at_us)))
        .collect();
    let requests = history
        .callers
        .iter()
        .filter(|event| event.last && event.request.starts_with(&prefix));
    // Time at which a request was due, whether or not the load generator sent it late.
    let due_us = |event: &fuchsiatack_testkit::CallerEvent| event.at_us - event.wait_us;
    let first_us = requests.clone().map(due_us).min().unwrap_or_default();
    let mut response_times = histogram();
    let mut start_waits = histogram();
    let mut not_done = 0;
    for event in requests.filter(|event| due_us(event) >= first_us + WARM_UP.as_micros() as u64) {
        match (event.seen, starts.get(&event.request)) {
            (AttemptOutcome::Done, Some(start_us)) => {
                response_times.saturating_record(event.wait_us);
                start_waits.saturating_record(start_us.saturating_sub(due_us(event)));
            }
            _ => not_done += 1,
        }
    }
    let at = |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{:<14}{:>5}%{:>7}{:>9}{:>10.1}{:>10.1}{:>10.1}{:>11.1}{:>11.1}{:>11.1}{:>5.0}%",
        rule,
        percent,
        response_times.len(),
        not_done,
        at(&start_waits, 0.5),
        at(&start_waits, 0.9),
        at(&start_waits, 0.99),
        at(&response_times, 0.5),
        at(&response_times, 0.9),
        at(&response_times, 0.99),
        busy_percent
    );
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(600_000_000, 3).expect("the limits are valid")
}
