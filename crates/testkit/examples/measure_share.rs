//! Measures how far each team is from its share while all slots are in use, before and after a daemon is
//! killed, and the highest number of running tasks of each team at any instant.

use {
    fuchsiatack_model::{KeyName, TaskId, TeamName, WorkerName},
    fuchsiatack_testkit::{
        Cell, CellBuilder, CpuMeter, LoadSettings, LoadTeam, WorkerEvent, WorkerEventKind, run_load, wall_us,
    },
    gumdrop::Options,
    std::{
        collections::{BTreeMap, HashMap},
        error::Error,
        path::PathBuf,
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

type Fallible<T> = Result<T, Box<dyn Error>>;

/// A team with its weight in thousandths, its limit of running tasks and its number of callers.
struct Team {
    callers: usize,
    limit: u32,
    name: &'static str,
    weight_millis: u32,
}

const fn team(name: &'static str, weight_millis: u32, limit: u32, callers: usize) -> Team {
    Team {
        callers,
        limit,
        name,
        weight_millis,
    }
}

/// Two large teams, one of which its limit keeps below its share, and four small ones.
const TEAMS: [Team; 6] = [
    team("anfa", 3_000, 100, 500),
    team("bourgogne", 3_000, 180, 500),
    team("gauthier", 1_000, 80, 250),
    team("habous", 1_000, 80, 250),
    team("maarif", 1_000, 80, 250),
    team("oasis", 1_000, 80, 250),
];
/// Weights of the daemons, in the order of their names.
const WEIGHTS: [u32; 9] = [4, 4, 3, 3, 2, 2, 2, 1, 1];
/// Number of the daemon that is killed. It has no copy of the store.
const KILLED: usize = 5;
/// Slots of an ordinary worker.
const SLOTS: u64 = 8;
/// Largest permitted deviation from the share, as a fraction of the share.
const TOLERANCE: f64 = 0.05;
/// Length of a window over which running tasks are averaged.
const WINDOW_US: u64 = 10_000_000;
const WINDOW_STEP_US: u64 = 500_000;
const DEADLINE: Duration = Duration::from_secs(60);

/// Measures how far each team is from its share, before and after a daemon is killed.
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
        help = "time before and after the kill, e.g. --phase-s 30",
        default = "30"
    )]
    phase_s: u64,
    #[options(
        meta = "MS",
        help = "mean run time of a task, e.g. --run-ms 600",
        default = "600"
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
        "seed {}, {} daemons of weights {WEIGHTS:?}, {} workers of {SLOTS} slots, {} s before and after the kill \
         of entry-{KILLED}, tasks of {} to {} ms",
        arguments.seed,
        WEIGHTS.len(),
        arguments.workers,
        arguments.phase_s,
        arguments.run_ms / 2,
        arguments.run_ms * 3 / 2
    );
    let mut cell = CellBuilder::new(&arguments.daemon)
        .daemons(WEIGHTS.len())
        .workers(arguments.workers)
        .adjust_daemon(|daemon| {
            let number: usize = daemon.name.trim_start_matches("entry-").parse().unwrap_or(1);
            daemon.log.level = "warn".to_owned();
            daemon.weight = WEIGHTS[number - 1];
        })
        .records(records())
        .start()
        .await?;
    cell.wait_free_slots(arguments.workers as u64 * SLOTS).await?;

    let cpu = CpuMeter::start()?;
    let start_us = wall_us();
    let phase = Duration::from_secs(arguments.phase_s);
    let mut loads = start_loads(&arguments, &cell, 2 * phase);
    sleep(phase).await;
    cell.daemon(KILLED).kill();
    let kill_us = wall_us();
    sleep(phase).await;
    let end_us = wall_us();
    let busy_percent = cpu.busy_fraction()? * 100.0;
    while let Some(report) = loads.join_next().await {
        let _ = report??;
    }

    let events = cell.worker_events()?;
    println!("machine {busy_percent:.0}% busy during the load");
    let usage = Usage::of(&events, start_us, end_us);
    let slots = arguments.workers as f64 * SLOTS as f64;
    println!("before the kill, windows of 10 s that begin 10 s after the start or later");
    usage.print(start_us + WINDOW_US, kill_us, slots);
    println!("after the kill, windows that begin 0 s to 10 s after it");
    usage.print(kill_us, kill_us + 2 * WINDOW_US, slots);
    println!("after the kill, windows that begin 10 s after it or later");
    usage.print(kill_us + WINDOW_US, end_us, slots);
    println!("{:<12}{:>7}{:>22}", "team", "limit", "highest at an instant");
    for team in &TEAMS {
        let highest = usage.highest(team.name);
        let verdict = if highest > team.limit { "  EXCEEDED" } else { "" };
        println!("{:<12}{:>7}{:>22}{verdict}", team.name, team.limit, highest);
    }
    Ok(())
}

fn records() -> String {
    let mut documents = vec![
        "{schema: 2, kind: queue, name: counter, version: 0, spec: {access: keyed, policy: interactive, \
         max_waiting: 1000, demand: {slots: 1, connections: 1}}}"
            .to_owned(),
    ];
    for team in &TEAMS {
        let name = team.name;
        documents.push(format!(
            "{{schema: 2, kind: team, name: {name}, version: 0, spec: {{title: {name}}}}}"
        ));
        documents.push(format!(
            "{{schema: 1, kind: key, name: {name}-1, version: 0, spec: {{team: {name}, secret: key-of-{name}}}}}"
        ));
        documents.push(format!(
            "{{schema: 2, kind: limit, name: {name}, version: 0, spec: {{team: {name}, max_running: {}}}}}",
            team.limit
        ));
        documents.push(format!(
            "{{schema: 2, kind: share, name: {name}, version: 0, spec: {{team: {name}, weight_millis: {}}}}}",
            team.weight_millis
        ));
    }
    documents.join("\n---\n")
}

/// Starts the load of each team, with enough callers that every team always has more requests than it
/// can run.
fn start_loads(
    arguments: &Arguments,
    cell: &Cell,
    duration: Duration,
) -> JoinSet<std::io::Result<fuchsiatack_testkit::LoadReport>> {
    let mut loads = JoinSet::new();
    for (index, team) in TEAMS.iter().enumerate() {
        loads.spawn(run_load(LoadSettings {
            callers: team.callers,
            deadline: DEADLINE,
            duration,
            idempotent_millis: 1_000,
            log: None,
            run_ms: arguments.run_ms / 2..arguments.run_ms * 3 / 2,
            seed: arguments.seed * 100 + index as u64,
            teams: vec![LoadTeam {
                key: Some(format!("key-of-{}", team.name)),
                key_name: Some(KeyName::new(format!("{}-1", team.name))),
                name: TeamName::new(team.name),
                weight: 1,
            }],
            ..cell.load_settings()
        }));
    }
    loads
}

/// Running tasks of each team over time, from the logs of the workers.
struct Usage {
    /// Change of the running tasks of a team at a time in microseconds, ordered by time.
    changes: Vec<(u64, &'static str, i32)>,
}

impl Usage {
    /// Reads the events up to `end_us`. Those before `start_us` are included, as their tasks may still
    /// run.
    fn of(events: &[WorkerEvent], start_us: u64, end_us: u64) -> Self {
        let mut running: HashMap<(WorkerName, TaskId), &'static str> = HashMap::new();
        let mut changes = Vec::new();
        for event in events.iter().filter(|event| event.at_us <= end_us) {
            let Some(task) = event.task else { continue };
            let key = (event.worker.clone(), task);
            let at_us = event.at_us.max(start_us);
            match event.event {
                WorkerEventKind::Started => {
                    let name = event.team.as_ref().map_or("", TeamName::as_str);
                    let Some(team) = TEAMS.iter().find(|team| team.name == name) else {
                        continue;
                    };
                    running.insert(key, team.name);
                    changes.push((at_us, team.name, 1));
                }
                WorkerEventKind::Ended
                | WorkerEventKind::Failed
                | WorkerEventKind::Cancelled
                | WorkerEventKind::Stopped => {
                    if let Some(team) = running.remove(&key) {
                        changes.push((at_us, team, -1));
                    }
                }
                _ => {}
            }
        }
        // Workers share one clock. In the same microsecond, ends are sorted before starts.
        changes.sort_by_key(|(at_us, _, change)| (*at_us, *change));
        Self { changes }
    }

    /// Highest number of running tasks of a team.
    fn highest(&self, team: &str) -> u32 {
        let mut running = 0;
        let changes = self.changes.iter().filter(|(_, name, _)| *name == team);
        let counts = changes.map(|(_, _, change)| {
            running += change;
            running
        });
        counts.max().unwrap_or(0).max(0) as u32
    }

    /// Mean number of running tasks of each team between two times.
    fn means(&self, from_us: u64, to_us: u64) -> BTreeMap<&'static str, f64> {
        let mut sums: BTreeMap<&'static str, f64> = TEAMS.iter().map(|team| (team.name, 0.0)).collect();
        for (at_us, team, change) in &self.changes {
            let left_us = to_us.saturating_sub((*at_us).max(from_us));
            *sums.entry(team).or_default() += f64::from(*change) * left_us as f64;
        }
        for sum in sums.values_mut() {
            *sum /= (to_us - from_us) as f64;
        }
        sums
    }

    /// Prints the deviation from the share in all windows between two times. Shares are computed from the
    /// slots that all teams together used, so that a lost worker does not count as a deviation.
    fn print(&self, from_us: u64, to_us: u64, slots: f64) {
        let mut windows = Vec::new();
        let mut start_us = from_us;
        while start_us + WINDOW_US <= to_us {
            windows.push(self.means(start_us, start_us + WINDOW_US));
            start_us += WINDOW_STEP_US;
        }
        println!(
            "{:<12}{:>8}{:>9}{:>10}{:>10}{:>10}{:>12}{:>9}",
            "team", "weight", "windows", "share", "mean", "lowest", "highest", "within"
        );
        for team in &TEAMS {
            let deviations: Vec<f64> = windows
                .iter()
                .map(|means| means[team.name] / shares(means.values().sum())[team.name] - 1.0)
                .collect();
            let within = deviations
                .iter()
                .filter(|deviation| deviation.abs() <= TOLERANCE)
                .count();
            let lowest = deviations.iter().copied().fold(f64::INFINITY, f64::min);
            let highest = deviations.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            let count = windows.len().max(1) as f64;
            let mean = windows.iter().map(|means| means[team.name]).sum::<f64>() / count;
            let share = windows
                .iter()
                .map(|means| shares(means.values().sum())[team.name])
                .sum::<f64>()
                / count;
            println!(
                "{:<12}{:>8}{:>9}{:>10.1}{:>10.1}{:>9.1}%{:>11.1}%{:>8.0}%",
                team.name,
                team.weight_millis,
                windows.len(),
                share,
                mean,
                lowest * 100.0,
                highest * 100.0,
                within as f64 * 100.0 / count
            );
        }
        let used = windows
            .iter()
            .map(|means| means.values().sum::<f64>())
            .sum::<f64>();
        println!(
            "slots in use {:.1}%",
            used * 100.0 / windows.len().max(1) as f64 / slots
        );
    }
}

/// Divides slots among the teams by weight. Slots that a team cannot use because of its limit go to the
/// others.
fn shares(slots: f64) -> BTreeMap<&'static str, f64> {
    let mut shares = BTreeMap::new();
    let mut left = slots;
    let mut open: Vec<&Team> = TEAMS.iter().collect();
    loop {
        let weight: f64 = open.iter().map(|team| f64::from(team.weight_millis)).sum();
        let share = |team: &Team| left * f64::from(team.weight_millis) / weight;
        let Some(position) = open.iter().position(|team| share(team) > f64::from(team.limit)) else {
            shares.extend(open.iter().map(|team| (team.name, share(team))));
            return shares;
        };
        let capped = open.remove(position);
        shares.insert(capped.name, f64::from(capped.limit));
        left -= f64::from(capped.limit);
    }
}
