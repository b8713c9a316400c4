//! Time per event and memory of the kernel, at today's size of the cell (`small`) and at the size
//! expected in two years (`large`).
//!
//! Run with `cargo bench -p fuchsiatack-kernel --bench decisions`. The load is generated from a seed.
//! The times are those of `Kernel::handle` alone, in one thread. The argument `small` or `large` after
//! `--` measures only that size.

use {
    fuchsiatack_kernel::{Decision, Event, Kernel, KernelSettings, Submission, TaskEnd},
    fuchsiatack_model::{Epoch, Policy, Resources, SessionId, TaskClass, TaskId, TeamName, WorkerName},
    hdrhistogram::Histogram,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const EVENTS: u32 = 400_000;
/// Number of teams and of workers in the memory measurement; large, so that the page size does not
/// affect the result.
const MEMORY_ENTRIES: u32 = 50_000;
/// Simulated time between two events.
const MICROSECONDS_PER_EVENT: u64 = 238;
/// Number of rounds in which the events of a phase are measured, alternating between the sizes.
const ROUNDS: u32 = 20;
const SEED: u64 = 42;
/// Number of events in the phase that sweeps the processor's caches before each event.
const SWEPT_EVENTS: u32 = 20_000;
/// Size of the buffer for the sweep, larger than the second-level cache of common server processors.
const SWEEP_BYTES: usize = 4 << 20;
/// Number of events before each phase that are not measured.
const WARM_UP_EVENTS: u32 = 50_000;
/// Number of waiting tasks of each team on average while all slots are in use.
const WAITING_PER_TEAM: u32 = 100;

struct Size {
    name: &'static str,
    running: u32,
    slots: u32,
    teams: u32,
    workers: u32,
}

const SIZES: [Size; 2] = [
    Size {
        name: "small",
        running: 337,
        slots: 8,
        teams: 6,
        workers: 50,
    },
    Size {
        name: "large",
        running: 54_000,
        slots: 20,
        teams: 410,
        workers: 3_200,
    },
];

struct Measurement {
    decisions: u64,
    seconds: f64,
    times: Histogram<u64>,
}

impl Measurement {
    fn new() -> Self {
        Self {
            decisions: 0,
            seconds: 0.0,
            times: Histogram::new(3).expect("three digits are within the histogram's range"),
        }
    }

    fn seconds_per_event(&self) -> f64 {
        self.seconds / self.times.len() as f64
    }

    fn record(&mut self, elapsed: Duration, decisions: usize) {
        self.decisions += decisions as u64;
        self.seconds += elapsed.as_secs_f64();
        self.times
            .record(elapsed.as_nanos() as u64)
            .expect("the histogram resizes itself");
    }
}

struct Load {
    decisions: Vec<Decision>,
    kernel: Kernel,
    next_task: u64,
    now_us: u64,
    random: StdRng,
    running: Vec<TaskId>,
    teams: u32,
    workers: u32,
}

impl Load {
    fn new(size: &Size) -> Self {
        let mut load = Self {
            decisions: Vec::new(),
            kernel: Kernel::new(KernelSettings {
                seed: SEED,
                ..KernelSettings::default()
            }),
            next_task: 0,
            now_us: 0,
            random: StdRng::seed_from_u64(SEED),
            running: Vec::new(),
            teams: size.teams,
            workers: size.workers,
        };
        load.handle(Event::LeaseChanged { valid: true });
        for team in 0..size.teams {
            load.add_team(team);
        }
        for worker in 0..size.workers {
            load.add_worker(worker, size.slots);
        }
        load
    }

    fn handle(&mut self, event: Event) {
        self.now_us += MICROSECONDS_PER_EVENT;
        self.decisions.clear();
        self.kernel.handle(self.now_us, event, &mut self.decisions);
        self.record_starts();
    }

    fn add_team(&mut self, team: u32) {
        let limited = team % 2 == 1;
        self.handle(Event::TeamSet {
            limited,
            max_waiting: 1_000,
            team: team_name(team),
            weight_millis: 1_000 + 500 * (team % 5),
        });
        if limited {
            self.handle(Event::TokensSet {
                team: team_name(team),
                tokens: 100_000,
            });
        }
    }

    fn add_worker(&mut self, worker: u32, slots: u32) {
        let rack = worker / 8;
        self.handle(Event::WorkerAttached {
            capacity: Resources {
                connections: 64,
                memory_bytes: 128 << 30,
                processors_millis: 32_000,
                slots,
                ..Resources::NONE
            },
            data_center: format!("zone-{}", rack % 6).as_str().into(),
            epoch: Epoch(u64::from(worker)),
            rack: format!("rack-{rack}").as_str().into(),
            running: Vec::new(),
            speed_millis: 500 + 250 * (worker % 8),
            worker: worker_name(worker),
        });
    }

    fn submission(&mut self) -> Event {
        self.next_task += 1;
        let kind = self.random.random_range(0..10);
        let policy = match kind {
            0..7 => Policy::Interactive,
            7..9 => Policy::Service,
            _ => Policy::Batch,
        };
        let shape = self.random.random_range(0..4);
        Event::Submit(Submission {
            class: TaskClass {
                demand: Resources {
                    connections: 1,
                    memory_bytes: (1 + shape) << 30,
                    processors_millis: 250,
                    slots: 1,
                    ..Resources::NONE
                },
                idempotent: shape > 0,
                policy,
            },
            deadline_us: (kind == 0).then_some(self.now_us + 60_000_000),
            may_forward: true,
            tasks: vec![TaskId {
                session: SessionId(1),
                sequence: self.next_task,
            }],
            team: team_name(self.random.random_range(0..self.teams)),
        })
    }

    fn end(&mut self) -> Event {
        let position = self.random.random_range(0..self.running.len());
        let task = self.running.swap_remove(position);
        let end = match self.random.random_range(0..50) {
            0 => TaskEnd::Failed,
            _ => TaskEnd::Done,
        };
        Event::TaskEnded {
            end,
            run_us: self.random.random_range(20_000..200_000),
            task,
        }
    }

    fn maintenance(&mut self) -> Event {
        match self.random.random_range(0..3) {
            0 => Event::Tick,
            1 => Event::FleetUsage {
                running: self.random.random_range(0..500),
                team: team_name(self.random.random_range(0..self.teams)),
            },
            _ => Event::WorkerReported {
                running: Vec::new(),
                worker: worker_name(self.random.random_range(0..self.workers)),
            },
        }
    }

    /// Generates the next event. With a target, the number of running tasks is kept at it; without
    /// one, as many tasks arrive as end, so that the backlog is kept.
    fn event(&mut self, number: u32, target: Option<usize>) -> Event {
        let arrives = match target {
            Some(target) => self.running.len() < target,
            None => number.is_multiple_of(2),
        };
        match number % 20 {
            0 | 1 => self.maintenance(),
            _ if arrives => self.submission(),
            _ => self.end(),
        }
    }

    fn fill(&mut self, running: usize) {
        while self.running.len() < running {
            let event = self.submission();
            self.handle(event);
        }
    }

    fn add_backlog(&mut self) {
        for _ in 0..self.teams * WAITING_PER_TEAM {
            let event = self.submission();
            self.handle(event);
        }
    }

    fn warm_up(&mut self, target: Option<usize>) {
        for number in 0..WARM_UP_EVENTS {
            let event = self.event(number, target);
            self.handle(event);
        }
    }

    fn measure(&mut self, target: Option<usize>, events: u32, sweep: bool, measurement: &mut Measurement) {
        let mut buffer = vec![0; SWEEP_BYTES];
        for number in 0..events {
            let event = self.event(number, target);
            if sweep {
                sweep_caches(&mut buffer);
            }
            let begin = Instant::now();
            self.now_us += MICROSECONDS_PER_EVENT;
            self.decisions.clear();
            self.kernel.handle(self.now_us, event, &mut self.decisions);
            measurement.record(begin.elapsed(), self.decisions.len());
            self.record_starts();
        }
    }

    fn record_starts(&mut self) {
        let started = self.decisions.iter().filter_map(|decision| match decision {
            Decision::Start { task, .. } => Some(*task),
            _ => None,
        });
        self.running.extend(started);
    }
}

/// Evicts the kernel's state from the caches of the core, as the other work of a daemon does
/// between two events.
fn sweep_caches(buffer: &mut [u8]) {
    for byte in buffer.iter_mut().step_by(64) {
        *byte = byte.wrapping_add(1);
    }
    black_box(buffer);
}

fn team_name(team: u32) -> TeamName {
    TeamName::new(format!("team-{team}"))
}

fn worker_name(worker: u32) -> WorkerName {
    WorkerName::new(format!("worker-{worker}"))
}

fn report(phase: &str, size: &Size, load: &Load, measurement: &Measurement) {
    println!(
        "{phase}, {}: workers {}, slots {}, teams {}, running {}, waiting {}, events {}, decisions {}",
        size.name,
        size.workers,
        size.workers * size.slots,
        size.teams,
        load.running.len(),
        load.kernel.waiting_count(),
        measurement.times.len(),
        measurement.decisions,
    );
    let microseconds = |quantile| measurement.times.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "  per event: mean {:.2} us, median {:.2} us, p99 {:.2} us, maximum {:.0} us; {:.0} decisions/s",
        measurement.seconds_per_event() * 1e6,
        microseconds(0.5),
        microseconds(0.99),
        microseconds(1.0),
        measurement.decisions as f64 / measurement.seconds,
    );
}

/// Returns the resident memory of this process in bytes; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = status
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0);
    pages * 4_096
}

fn resident_growth(action: impl FnOnce()) -> u64 {
    let before = resident_bytes();
    action();
    resident_bytes().saturating_sub(before)
}

/// Measures the memory of the large size as a whole, then that of teams and workers alone. The
/// remainder of the whole is attributed to tasks.
fn report_memory() {
    let size = &SIZES[1];
    let mut whole = None;
    let whole_bytes = resident_growth(|| {
        let mut load = Load::new(size);
        load.fill(size.running as usize);
        whole = Some(load);
    });
    let mut load = Load::new(&Size {
        name: "memory",
        running: 0,
        slots: 1,
        teams: 0,
        workers: 0,
    });
    let team_bytes = resident_growth(|| (0..MEMORY_ENTRIES).for_each(|team| load.add_team(team)));
    let worker_bytes =
        resident_growth(|| (0..MEMORY_ENTRIES).for_each(|worker| load.add_worker(worker, size.slots)));
    black_box((&whole, &load.kernel));
    let team_bytes = team_bytes / u64::from(MEMORY_ENTRIES);
    let worker_bytes = worker_bytes / u64::from(MEMORY_ENTRIES);
    let fleet_bytes = u64::from(size.workers) * worker_bytes + u64::from(size.teams) * team_bytes;
    let task_bytes = whole_bytes.saturating_sub(fleet_bytes) / u64::from(size.running);
    println!(
        "resident memory, large: {:.1} MB in all",
        whole_bytes as f64 / 1e6
    );
    println!("  each: team {team_bytes} bytes, worker {worker_bytes} bytes, running task {task_bytes} bytes");
}

/// Load of one size, with the measurements of the phases so far.
struct Run<'a> {
    load: Load,
    measurements: Vec<Measurement>,
    size: &'a Size,
}

/// Measures one phase at all sizes in alternation, so that other work on the machine affects all
/// sizes alike.
fn measure_phase(runs: &mut [Run<'_>], events: u32, sweep: bool, target: fn(&Size) -> Option<usize>) {
    for run in runs.iter_mut() {
        run.load.warm_up(target(run.size));
        run.measurements.push(Measurement::new());
    }
    for _ in 0..ROUNDS {
        for run in runs.iter_mut() {
            let measurement = run.measurements.last_mut().expect("one was pushed above");
            run.load
                .measure(target(run.size), events / ROUNDS, sweep, measurement);
        }
    }
}

fn report_phase(name: &str, runs: &[Run<'_>]) {
    for run in runs {
        let measurement = run.measurements.last().expect("a phase was measured");
        report(name, run.size, &run.load, measurement);
    }
    if let [small, large] = runs {
        let cost = |run: &Run<'_>| {
            run.measurements
                .last()
                .map_or(0.0, Measurement::seconds_per_event)
        };
        println!(
            "  ratio of mean cost, large to small: {:.2}",
            cost(large) / cost(small)
        );
    }
}

fn main() {
    println!("seed {SEED}");
    let wanted = std::env::args()
        .skip(1)
        .find(|argument| !argument.starts_with('-'));
    if wanted.is_none() {
        report_memory();
    }
    let mut runs: Vec<Run<'_>> = SIZES
        .iter()
        .filter(|size| wanted.as_ref().is_none_or(|name| name == size.name))
        .map(|size| Run {
            load: Load::new(size),
            measurements: Vec::new(),
            size,
        })
        .collect();
    for run in &mut runs {
        run.load.fill(run.size.running as usize);
    }
    measure_phase(&mut runs, EVENTS, false, |size| Some(size.running as usize));
    report_phase("free slots", &runs);
    for run in &mut runs {
        run.load.fill((run.size.workers * run.size.slots) as usize);
        run.load.add_backlog();
    }
    measure_phase(&mut runs, EVENTS, false, |_| None);
    report_phase("all slots in use", &runs);
    measure_phase(&mut runs, SWEPT_EVENTS, true, |_| None);
    report_phase("all slots in use, caches swept", &runs);
}
