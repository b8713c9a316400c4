//! Measures the cost of the control traffic per daemon: processor time, resident memory and bytes.
//!
//! For each size, starts a cell of real daemons with fake workers on loopback and measures it at rest,
//! under a small load and under configuration changes. Control bytes do not include worker traffic.

use {
    fuchsiatack_model::{QueueName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, Cell, CellBuilder, ElectionSettings, LeaseSettings, LoadSettings, LoadTeam, Pace,
        run_load,
    },
    gumdrop::Options,
    serde_json::json,
    std::{
        collections::BTreeMap,
        error::Error,
        fmt::Write,
        path::{Path, PathBuf},
        str::FromStr,
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval, sleep},
};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// Configuration changes per second in the phase of changes.
const CHANGES_PER_SECOND: f64 = 5.0;
/// Sizes (daemons/workers/teams) that are measured without `--size`. The first one is the base of the
/// slopes.
const DEFAULT_SIZES: [&str; 7] = [
    "3/8/6", "6/8/6", "9/8/6", "3/32/6", "3/128/6", "3/8/410", "6/32/6",
];
/// Teams that send requests in the load phase.
const LOAD_TEAMS: usize = 6;
/// Wait after the start of a cell before its first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Requests per second in the load phase.
const STARTS_PER_SECOND: f64 = 20.0;
/// Time after which no further size is measured.
const TIME_LIMIT: Duration = Duration::from_secs(270);
/// Queue of the load phase.
const QUEUE: &str = "measure";

/// Measures the cost of the control traffic per daemon.
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
        meta = "FILE",
        help = "an earlier fuchsiatackd to measure in the same run, before --daemon at each size"
    )]
    before: Option<PathBuf>,
    #[options(
        meta = "MS,MS,MS,MS",
        help = "times of --daemon: heartbeat, shortest and longest election timeout, session renewal"
    )]
    times: Option<Intervals>,
    #[options(meta = "MS,MS,MS,MS", help = "times of --before, in the same order")]
    before_times: Option<Intervals>,
    #[options(
        meta = "N/N/N",
        help = "daemons, workers and teams, repeatable, e.g. --size 9/32/410"
    )]
    size: Vec<Size>,
    #[options(meta = "S", help = "length of each phase, e.g. --phase-s 8", default = "8")]
    phase_s: u64,
    #[options(meta = "N", help = "seed of the load, e.g. --seed 7", default = "1")]
    seed: u64,
}

/// Intervals and time-outs in the settings of a variant, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Intervals {
    heartbeat_ms: u64,
    minimum_ms: u64,
    maximum_ms: u64,
    renewal_ms: u64,
}

impl FromStr for Intervals {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let [heartbeat_ms, minimum_ms, maximum_ms, renewal_ms] = parse_numbers(text, ',')?;
        Ok(Self {
            heartbeat_ms,
            minimum_ms,
            maximum_ms,
            renewal_ms,
        })
    }
}

/// Size of a measured cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Size {
    daemons: usize,
    workers: usize,
    teams: usize,
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let [daemons, workers, teams] = parse_numbers(text, '/')?;
        Ok(Self {
            daemons: daemons as usize,
            workers: workers as usize,
            teams: teams as usize,
        })
    }
}

fn parse_numbers<const N: usize>(text: &str, separator: char) -> Result<[u64; N], String> {
    let parsed: Result<Vec<u64>, _> = text.split(separator).map(str::parse).collect();
    let numbers = parsed.map_err(|error| format!("{text}: {error}"))?;
    numbers
        .try_into()
        .map_err(|_| format!("{text}: expected {N} numbers separated by {separator}"))
}

/// Role of a daemon in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StoreRole {
    Leader,
    Member,
    Entry,
}

impl StoreRole {
    const ALL: [Self; 3] = [Self::Leader, Self::Member, Self::Entry];

    fn as_str(self) -> &'static str {
        match self {
            Self::Leader => "leader",
            Self::Member => "member",
            Self::Entry => "entry",
        }
    }
}

/// Metrics of one daemon at a point in time.
struct Sample {
    at: Instant,
    metrics: BTreeMap<String, f64>,
}

impl Sample {
    async fn take(cell: &Cell, number: usize) -> Fallible<Self> {
        let text = cell.metrics(number).await?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let parsed = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        Ok(Self {
            at: Instant::now(),
            metrics: parsed.collect(),
        })
    }

    fn get(&self, name: &str) -> f64 {
        self.metrics.get(name).copied().unwrap_or_default()
    }

    fn role(&self) -> StoreRole {
        match self.get("fuchsiatack_store_role") as u64 {
            0 => StoreRole::Entry,
            1 => StoreRole::Member,
            _ => StoreRole::Leader,
        }
    }
}

/// Cost of one daemon, or the mean of several. Bytes are per second.
#[derive(Clone, Debug, Default)]
struct Cost {
    core_percent: f64,
    resident_mb: f64,
    sent_bytes: f64,
    received_bytes: f64,
    sent_by_kind: BTreeMap<String, f64>,
    worker_bytes: f64,
}

impl Cost {
    fn between(first: &Sample, last: &Sample) -> Self {
        let seconds = last.at.duration_since(first.at).as_secs_f64();
        let rate = |name: &str| (last.get(name) - first.get(name)) / seconds;
        let sum = |prefix: &str| {
            let names = last.metrics.keys().filter(|name| name.starts_with(prefix));
            names.map(|name| rate(name)).sum()
        };
        let sent = "fuchsiatack_peer_bytes_total{direction=\"sent\",kind=\"";
        let kinds = last.metrics.keys().filter_map(|name| {
            let kind = name.strip_prefix(sent)?.strip_suffix("\"}")?;
            Some((kind.to_owned(), rate(name)))
        });
        Self {
            core_percent: rate("fuchsiatack_process_cpu_seconds_total") * 100.0,
            resident_mb: last.get("fuchsiatack_process_resident_memory_bytes") / 1e6,
            sent_bytes: sum(sent),
            received_bytes: sum("fuchsiatack_peer_bytes_total{direction=\"received\""),
            sent_by_kind: kinds.collect(),
            worker_bytes: sum("fuchsiatack_worker_bytes_total"),
        }
    }

    fn mean(costs: &[Self]) -> Self {
        let mean = |value: fn(&Self) -> f64| costs.iter().map(value).sum::<f64>() / costs.len() as f64;
        let mut sent_by_kind = BTreeMap::new();
        for cost in costs {
            for (kind, bytes) in &cost.sent_by_kind {
                *sent_by_kind.entry(kind.clone()).or_default() += bytes / costs.len() as f64;
            }
        }
        Self {
            core_percent: mean(|cost| cost.core_percent),
            resident_mb: mean(|cost| cost.resident_mb),
            sent_bytes: mean(|cost| cost.sent_bytes),
            received_bytes: mean(|cost| cost.received_bytes),
            sent_by_kind,
            worker_bytes: mean(|cost| cost.worker_bytes),
        }
    }
}

/// Phase of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Rest,
    Load,
    Changes,
}

impl Phase {
    const ALL: [Self; 3] = [Self::Rest, Self::Load, Self::Changes];

    fn as_str(self) -> &'static str {
        match self {
            Self::Rest => "rest",
            Self::Load => "load",
            Self::Changes => "changes",
        }
    }
}

/// Result of the measurement of one cell.
struct Measurement {
    label: &'static str,
    size: Size,
    costs: BTreeMap<(Phase, StoreRole), Cost>,
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let started = Instant::now();
    let sizes = match arguments.size.is_empty() {
        true => DEFAULT_SIZES
            .iter()
            .map(|text| text.parse())
            .collect::<Result<_, _>>()?,
        false => arguments.size.clone(),
    };
    let mut variants = Vec::new();
    if let Some(before) = &arguments.before {
        variants.push(("before", before.clone(), arguments.before_times));
    }
    variants.push(("now", arguments.daemon.clone(), arguments.times));
    println!(
        "seed {}, phases of {} s; load {STARTS_PER_SECOND} starts/s, changes {CHANGES_PER_SECOND}/s",
        arguments.seed, arguments.phase_s
    );
    println!("{}", header());
    let mut all = Vec::new();
    for size in sizes {
        for (label, program, times) in &variants {
            if started.elapsed() > TIME_LIMIT {
                println!("time limit reached; {label} {size:?} is not measured");
                continue;
            }
            match measure(label, program, *times, size, &arguments).await {
                Ok(measurement) => {
                    print!("{}", rows(&measurement));
                    all.push(measurement);
                }
                Err(error) => println!("{label} {size:?} failed: {error}"),
            }
        }
    }
    for (label, _, _) in &variants {
        let of_variant: Vec<_> = all
            .iter()
            .filter(|measurement| measurement.label == *label)
            .collect();
        print_slopes(label, &of_variant);
    }
    println!("\nduration {:.0} s", started.elapsed().as_secs_f64());
    Ok(())
}

async fn measure(
    label: &'static str,
    program: &Path,
    times: Option<Intervals>,
    size: Size,
    arguments: &Arguments,
) -> Fallible<Measurement> {
    let mut builder = CellBuilder::new(program)
        .daemons(size.daemons)
        .workers(size.workers);
    // One YAML text per team, as the reader limits the number of documents in a text.
    for text in records(size.teams) {
        builder = builder.records(text);
    }
    if let Some(times) = times {
        builder = builder.adjust_daemon(move |daemon| {
            daemon.election = ElectionSettings {
                heartbeat_ms: times.heartbeat_ms,
                maximum_ms: times.maximum_ms,
                minimum_ms: times.minimum_ms,
            };
            daemon.leases = LeaseSettings {
                session_renewal_ms: times.renewal_ms,
                ..daemon.leases.clone()
            };
        });
    }
    let mut cell = builder.start().await?;
    sleep(SETTLE_TIME).await;
    let length = Duration::from_secs(arguments.phase_s);
    let mut costs = BTreeMap::new();
    for phase in Phase::ALL {
        let first = samples(&cell, size).await?;
        match phase {
            Phase::Rest => sleep(length).await,
            Phase::Load => send_load(&cell, length, arguments.seed).await?,
            Phase::Changes => send_changes(&mut cell, length).await?,
        }
        let last = samples(&cell, size).await?;
        let mut by_role: BTreeMap<StoreRole, Vec<Cost>> = BTreeMap::new();
        for (first, last) in first.iter().zip(&last) {
            by_role
                .entry(last.role())
                .or_default()
                .push(Cost::between(first, last));
        }
        let means = by_role
            .iter()
            .map(|(role, costs)| ((phase, *role), Cost::mean(costs)));
        costs.extend(means);
    }
    // The planned stop is not measured: dropping the cell kills its processes at once.
    drop(cell);
    Ok(Measurement { label, size, costs })
}

async fn samples(cell: &Cell, size: Size) -> Fallible<Vec<Sample>> {
    let mut samples = Vec::new();
    for number in 1..=size.daemons {
        samples.push(Sample::take(cell, number).await?);
    }
    Ok(samples)
}

fn records(teams: usize) -> Vec<String> {
    let mut texts = vec![format!(
        "{{schema: 2, kind: queue, name: {QUEUE}, version: 0, spec: {{access: keyed, policy: interactive, \
         max_waiting: 100, demand: {{slots: 1, connections: 1}}}}}}\n"
    )];
    let of_team = |team| {
        format!(
            "{{schema: 2, kind: team, name: team-{team}, version: 0, spec: {{title: Team {team}}}}}\n\
             ---\n{{schema: 1, kind: key, name: team-{team}, version: 0, spec: {{team: team-{team}, \
             secret: key-of-team-{team}}}}}\n\
             ---\n{{schema: 2, kind: limit, name: team-{team}, version: 0, spec: {{team: team-{team}, \
             max_running: 100}}}}\n"
        )
    };
    texts.extend((1..=teams).map(of_team));
    texts
}

async fn send_load(cell: &Cell, duration: Duration, seed: u64) -> Fallible<()> {
    let teams = (1..=LOAD_TEAMS).map(|team| LoadTeam {
        key: Some(format!("key-of-team-{team}")),
        key_name: None,
        name: TeamName::new(format!("team-{team}")),
        weight: 1,
    });
    let report = run_load(LoadSettings {
        callers: 64,
        duration,
        idempotent_millis: 1_000,
        log: None,
        pace: Pace::Open {
            per_second: STARTS_PER_SECOND,
        },
        queue: QueueName::new(QUEUE),
        seed,
        teams: teams.collect(),
        ..cell.load_settings()
    })
    .await?;
    let done = report.count(AttemptOutcome::Done);
    let due = duration.as_secs_f64() * STARTS_PER_SECOND;
    if (done as f64) < due * 0.9 {
        println!("only {done} of about {due} requests were completed:\n{report}");
    }
    Ok(())
}

/// Changes the titles of teams at a fixed rate.
async fn send_changes(cell: &mut Cell, duration: Duration) -> Fallible<()> {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / CHANGES_PER_SECOND));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let count = (duration.as_secs_f64() * CHANGES_PER_SECOND) as usize;
    for index in 0..count {
        ticks.tick().await;
        let team = index % LOAD_TEAMS + 1;
        let version = index / LOAD_TEAMS + 1;
        let record = json!({
            "schema": 2,
            "kind": "team",
            "name": format!("team-{team}"),
            "version": version,
            "spec": {"title": format!("Team {team}, title {version}")},
        });
        cell.put_record(&record).await?;
    }
    ticks.tick().await;
    Ok(())
}

fn header() -> &'static str {
    "| variant | daemons | workers | teams | phase | role | % of a core | resident MB | sent B/s | \
     received B/s | worker B/s | sent by kind, B/s |\n\
     | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}

fn rows(measurement: &Measurement) -> String {
    let mut text = String::new();
    for ((phase, role), cost) in &measurement.costs {
        let kinds = cost.sent_by_kind.iter().filter(|(_, bytes)| **bytes >= 0.5);
        let kinds: Vec<_> = kinds.map(|(kind, bytes)| format!("{kind} {bytes:.0}")).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {} |",
            measurement.label,
            measurement.size.daemons,
            measurement.size.workers,
            measurement.size.teams,
            phase.as_str(),
            role.as_str(),
            cost.core_percent,
            cost.resident_mb,
            cost.sent_bytes,
            cost.received_bytes,
            cost.worker_bytes,
            kinds.join(", ")
        );
    }
    text
}

/// Value on the axis of a slope, and the cost at it.
type Point = (f64, Cost);

/// Prints a least-squares slope for each dimension, through the base size and the sizes that differ from
/// it in that dimension only.
fn print_slopes(label: &str, all: &[&Measurement]) {
    let Some(base) = all.first() else { return };
    let size = base.size;
    let with_daemons = |other: Size| Size {
        daemons: size.daemons,
        ..other
    };
    let with_workers = |other: Size| Size {
        workers: size.workers,
        ..other
    };
    let with_teams = |other: Size| Size {
        teams: size.teams,
        ..other
    };
    println!("\nslopes, {label}: change per unit, at rest unless stated otherwise");
    println!("| unit | range | role | % of a core | resident KB | sent B/s | received B/s | worker B/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for role in StoreRole::ALL {
        let along = |fixed: &dyn Fn(Size) -> Size, value: fn(Size) -> usize| -> Vec<Point> {
            let on_line = all.iter().filter(|measurement| fixed(measurement.size) == size);
            let points = on_line.filter_map(|measurement| {
                let cost = measurement.costs.get(&(Phase::Rest, role))?;
                Some((value(measurement.size) as f64, cost.clone()))
            });
            points.collect()
        };
        print_slope("daemon", role, &along(&with_daemons, |size| size.daemons));
        print_slope("worker", role, &along(&with_workers, |size| size.workers));
        print_slope("team", role, &along(&with_teams, |size| size.teams));
        for (unit, phase, rate) in [
            ("start/s", Phase::Load, STARTS_PER_SECOND),
            ("change/s", Phase::Changes, CHANGES_PER_SECOND),
        ] {
            let mut points = Vec::new();
            for measurement in all {
                let rest = measurement.costs.get(&(Phase::Rest, role));
                let busy = measurement.costs.get(&(phase, role));
                if let (Some(rest), Some(busy)) = (rest, busy) {
                    points.push((0.0, rest.clone()));
                    points.push((rate, busy.clone()));
                }
            }
            print_slope(unit, role, &points);
        }
    }
}

fn print_slope(unit: &str, role: StoreRole, points: &[Point]) {
    let least = points.iter().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let most = points.iter().map(|point| point.0).fold(0.0, f64::max);
    if points.len() < 2 || least >= most {
        return;
    }
    println!(
        "| {unit} | {least} to {most} | {} | {:.4} | {:.2} | {:.2} | {:.2} | {:.2} |",
        role.as_str(),
        slope(points, |cost| cost.core_percent),
        slope(points, |cost| cost.resident_mb) * 1e3,
        slope(points, |cost| cost.sent_bytes),
        slope(points, |cost| cost.received_bytes),
        slope(points, |cost| cost.worker_bytes)
    );
}

/// Returns the least-squares slope of one quantity.
fn slope(points: &[Point], value: fn(&Cost) -> f64) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| value(&point.1)).sum::<f64>() / count;
    let products = points
        .iter()
        .map(|point| (point.0 - mean_x) * (value(&point.1) - mean_y));
    let squares = points.iter().map(|point| (point.0 - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}
