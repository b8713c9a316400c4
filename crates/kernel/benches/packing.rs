//! Simulation of placement in two loads: tasks of mixed sizes with a backlog, compared with first fit
//! and best fit; and gangs among small tasks, compared with first fit and a queue without backfill.
//!
//! Run with `cargo bench -p fuchsiatack-kernel --bench packing`. Time is simulated. The tasks are
//! generated from a seed and are the same for every placer.

use {
    fuchsiatack_kernel::{Decision, Event, Kernel, KernelSettings, Submission, TaskEnd},
    fuchsiatack_model::{Epoch, Policy, Resources, SessionId, TaskClass, TaskId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
};

const SEED: u64 = 42;
const WORKERS: u32 = 50;
/// Number of waiting single tasks, kept constant during the simulation.
const BACKLOG: usize = 400;
/// Simulated time at the end.
const END_US: u64 = 1_200_000_000;
/// Simulated time before which the use of resources is not counted.
const WARM_UP_US: u64 = 120_000_000;
/// Time between two gangs.
const GANG_PERIOD_US: u64 = 20_000_000;
/// Part of all slots that the small tasks need in a run with gangs.
const SMALL_PERCENT: u64 = 80;

/// Capacity of each worker: that of an ordinary worker in the design.
fn capacity() -> Resources {
    Resources {
        accelerators: 0,
        connections: 64,
        memory_bytes: 128 << 30,
        processors_millis: 32_000,
        slots: 8,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Placer {
    BestFit,
    /// Strict order of arrival: no task starts before one that does not fit.
    FirstComeFirstServed,
    FirstFit,
    Kernel,
}

/// One request: a single task, or all tasks of a gang.
#[derive(Clone)]
struct Request {
    arrival_us: u64,
    demand: Resources,
    run_us: u64,
    size: u32,
}

/// A submitted request, with the number of its first task and of its started tasks.
struct RequestState {
    first_task: u64,
    request: Request,
    started: u32,
}

/// Workers, queue and clock of one run.
struct Run {
    request_of_task: HashMap<u64, usize>,
    ends: BTreeSet<(u64, u64)>,
    free: Vec<Resources>,
    /// Number of times that the kernel started only a part of a gang.
    half_placed: u32,
    kernel: Kernel,
    requests: Vec<RequestState>,
    next_task: u64,
    now_us: u64,
    placer: Placer,
    worker_of_task: HashMap<u64, usize>,
    queue: VecDeque<usize>,
    /// Used parts of all slots, processors and memory, summed over microseconds.
    used: [f64; 3],
    waiting: usize,
    /// Waiting times of started gangs in microseconds.
    waits: Vec<u64>,
}

impl Run {
    fn new(placer: Placer) -> Self {
        let mut run = Self {
            request_of_task: HashMap::new(),
            ends: BTreeSet::new(),
            free: vec![capacity(); WORKERS as usize],
            half_placed: 0,
            kernel: Kernel::new(KernelSettings {
                max_waiting_per_team: 100_000,
                seed: SEED,
                ..KernelSettings::default()
            }),
            requests: Vec::new(),
            next_task: 1,
            now_us: 1,
            placer,
            worker_of_task: HashMap::new(),
            queue: VecDeque::new(),
            used: [0.0; 3],
            waiting: 0,
            waits: Vec::new(),
        };
        run.handle(Event::LeaseChanged { valid: true });
        run.handle(Event::TeamSet {
            limited: false,
            max_waiting: 100_000,
            team: "anfa".into(),
            weight_millis: 1_000,
        });
        for worker in 0..WORKERS {
            run.handle(Event::WorkerAttached {
                capacity: capacity(),
                data_center: "casablanca-1".into(),
                epoch: Epoch(u64::from(worker) + 1),
                rack: format!("rack-{}", worker / 8).as_str().into(),
                running: Vec::new(),
                speed_millis: 1_000,
                worker: format!("{worker}").as_str().into(),
            });
        }
        run
    }

    /// Sends an event to the kernel and starts the tasks that it decides to start.
    fn handle(&mut self, event: Event) {
        let mut decisions = Vec::new();
        self.kernel.handle(self.now_us, event, &mut decisions);
        let mut started = BTreeMap::new();
        for decision in decisions {
            if let Decision::Start { task, worker, .. } = decision {
                let worker = worker.as_str().parse().expect("workers are numbered");
                let index = self.request_of_task[&task.sequence];
                *started.entry(index).or_insert(0) += 1;
                self.start(index, task.sequence, worker);
            }
        }
        let is_partial = |(index, count): (&usize, &u32)| *count < self.requests[*index].request.size;
        self.half_placed += started.iter().filter(|entry| is_partial(*entry)).count() as u32;
    }

    fn submit(&mut self, request: Request) {
        let index = self.requests.len();
        let first_task = self.next_task;
        self.next_task += u64::from(request.size);
        let tasks: Vec<TaskId> = (first_task..self.next_task).map(task_id).collect();
        self.request_of_task
            .extend((first_task..self.next_task).map(|task| (task, index)));
        let policy = if request.size > 1 {
            Policy::Gang
        } else {
            Policy::Batch
        };
        let demand = request.demand;
        self.waiting += 1;
        self.requests.push(RequestState {
            first_task,
            request,
            started: 0,
        });
        match self.placer {
            Placer::Kernel => self.handle(Event::Submit(Submission {
                class: TaskClass {
                    demand,
                    // Tasks that are not idempotent are never preempted.
                    idempotent: false,
                    policy,
                },
                deadline_us: None,
                may_forward: false,
                tasks,
                team: "anfa".into(),
            })),
            Placer::BestFit | Placer::FirstComeFirstServed | Placer::FirstFit => {
                self.queue.push_back(index);
                self.place_queue();
            }
        }
    }

    /// Places waiting requests in order of arrival by the rule of the placer.
    fn place_queue(&mut self) {
        let mut position = 0;
        while position < self.queue.len() {
            let index = self.queue[position];
            match self.plan(index) {
                Some(workers) => {
                    self.queue.remove(position);
                    let first = self.requests[index].first_task;
                    for (task, worker) in (first..).zip(workers) {
                        self.start(index, task, worker);
                    }
                }
                None if self.placer == Placer::FirstComeFirstServed => return,
                None => position += 1,
            }
        }
    }

    /// Returns a worker for each task of a request, or `None` if not all of them fit.
    fn plan(&self, index: usize) -> Option<Vec<usize>> {
        let request = &self.requests[index].request;
        let mut free = self.free.clone();
        let mut workers = Vec::new();
        for _ in 0..request.size {
            let fitting = (0..free.len()).filter(|worker| free[*worker].covers(&request.demand));
            let worker = match self.placer {
                Placer::BestFit => {
                    fitting.min_by_key(|worker| free_parts(&free[*worker].saturating_sub(&request.demand)))
                }
                _ => fitting.min(),
            };
            let worker = worker?;
            free[worker] = free[worker].saturating_sub(&request.demand);
            workers.push(worker);
        }
        Some(workers)
    }

    fn start(&mut self, index: usize, task: u64, worker: usize) {
        let state = &mut self.requests[index];
        state.started += 1;
        let demand = state.request.demand;
        assert!(self.free[worker].covers(&demand), "a worker is overfilled");
        self.free[worker] = self.free[worker].saturating_sub(&demand);
        self.worker_of_task.insert(task, worker);
        self.ends.insert((self.now_us + state.request.run_us, task));
        if state.started == state.request.size {
            self.waiting -= 1;
            if state.request.size > 1 {
                self.waits.push(self.now_us - state.request.arrival_us);
            }
        }
    }

    /// Moves the clock to `until_us` and ends the tasks that are due until then.
    fn advance(&mut self, until_us: u64) {
        while let Some((end_us, task)) = self
            .ends
            .first()
            .copied()
            .filter(|(end_us, _)| *end_us <= until_us)
        {
            self.ends.pop_first();
            self.advance_clock(end_us);
            let index = self.request_of_task[&task];
            let worker = self.worker_of_task.remove(&task).expect("the task runs");
            let request = &self.requests[index].request;
            let run_us = request.run_us;
            self.free[worker] = self.free[worker].saturating_add(&request.demand);
            match self.placer {
                Placer::Kernel => self.handle(Event::TaskEnded {
                    end: TaskEnd::Done,
                    run_us,
                    task: task_id(task),
                }),
                _ => self.place_queue(),
            }
        }
        self.advance_clock(until_us);
        if self.placer == Placer::Kernel {
            self.handle(Event::Tick);
        }
    }

    /// Moves the clock and adds the resources in use to the sums.
    fn advance_clock(&mut self, until_us: u64) {
        let from_us = self.now_us.max(WARM_UP_US);
        if until_us > from_us {
            let passed = (until_us - from_us) as f64;
            for (sum, used) in self.used.iter_mut().zip(used_parts(&self.free)) {
                *sum += used * passed;
            }
        }
        self.now_us = until_us;
    }
}

fn task_id(sequence: u64) -> TaskId {
    TaskId {
        session: SessionId(1),
        sequence,
    }
}

/// Returns the free parts of a worker's slots, processors and memory, added up, in thousandths.
fn free_parts(free: &Resources) -> u64 {
    let capacity = capacity();
    u64::from(free.slots) * 1_000 / u64::from(capacity.slots)
        + u64::from(free.processors_millis) * 1_000 / u64::from(capacity.processors_millis)
        + free.memory_bytes / (capacity.memory_bytes / 1_000)
}

/// Returns the used parts of the slots, processors and memory of all workers.
fn used_parts(free: &[Resources]) -> [f64; 3] {
    let sum = free
        .iter()
        .fold(Resources::NONE, |sum, free| sum.saturating_add(free));
    let capacity = capacity();
    let workers = f64::from(WORKERS);
    [
        1.0 - f64::from(sum.slots) / workers / f64::from(capacity.slots),
        1.0 - f64::from(sum.processors_millis) / workers / f64::from(capacity.processors_millis),
        1.0 - sum.memory_bytes as f64 / workers / capacity.memory_bytes as f64,
    ]
}

/// Generates a task of mixed size: 1.75 slots, 6.7 cores and 22 GB on average, so that slots and
/// processors are both scarce.
fn mixed(random: &mut StdRng, arrival_us: u64) -> Request {
    let (slots, processors_millis, gigabytes) = match random.random_range(0..100) {
        0..50 => (1, 3_000, 12),
        50..80 => (2, 9_000, 24),
        80..95 => (3, 10_000, 40),
        _ => (4, 20_000, 60),
    };
    Request {
        arrival_us,
        demand: Resources {
            connections: 1,
            memory_bytes: gigabytes << 30,
            processors_millis,
            slots,
            ..Resources::NONE
        },
        run_us: random.random_range(5_000_000..60_000_000),
        size: 1,
    }
}

fn small(random: &mut StdRng, arrival_us: u64, size: u32) -> Request {
    Request {
        arrival_us,
        demand: Resources {
            connections: 1,
            memory_bytes: 4 << 30,
            processors_millis: 1_000,
            slots: 1,
            ..Resources::NONE
        },
        run_us: random.random_range(5_000_000..60_000_000),
        size,
    }
}

fn packing() {
    println!(
        "packing: seed {SEED}, {WORKERS} workers of 8 slots, 32 cores, 128 GB, backlog of {BACKLOG} single tasks, \
         simulated {} s after {} s",
        (END_US - WARM_UP_US) / 1_000_000,
        WARM_UP_US / 1_000_000
    );
    println!(
        "{:<24}{:>9}{:>13}{:>9}{:>9}",
        "placer", "slots", "processors", "memory", "starts"
    );
    for placer in [Placer::Kernel, Placer::FirstFit, Placer::BestFit] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut run = Run::new(placer);
        while run.now_us < END_US {
            while run.waiting < BACKLOG {
                let request = mixed(&mut random, run.now_us);
                run.submit(request);
            }
            let next_us = run.ends.first().map_or(END_US, |(end_us, _)| *end_us);
            run.advance(next_us.min(END_US));
        }
        let [slots, processors, memory] = run.used.map(|used| used * 100.0 / (END_US - WARM_UP_US) as f64);
        println!(
            "{:<24}{slots:>8.1}%{processors:>12.1}%{memory:>8.1}%{:>9}",
            format!("{placer:?}"),
            run.requests.len() - run.waiting
        );
    }
    println!("target: at least 95% of slots and of the scarcest resource");
}

fn gangs() {
    println!(
        "gangs of 2 to 64 tasks, one every {} s, among small tasks that need {SMALL_PERCENT}% of the slots; simulated \
         {} s",
        GANG_PERIOD_US / 1_000_000,
        END_US / 1_000_000
    );
    println!(
        "{:<24}{:>7}{:>9}{:>13}{:>11}{:>11}{:>11}{:>9}",
        "placer", "gangs", "started", "half placed", "mean s", "p90 s", "longest s", "slots"
    );
    for placer in [Placer::Kernel, Placer::FirstComeFirstServed, Placer::FirstFit] {
        let mut random = StdRng::seed_from_u64(SEED);
        let mut run = Run::new(placer);
        // Mean run time of a small task is 32.5 s.
        let small_gap_us = 32_500_000 * 100 / (SMALL_PERCENT * u64::from(WORKERS) * 8);
        let mut gang_due_us = GANG_PERIOD_US;
        let mut gang_count = 0;
        let mut now_us = 1;
        while now_us < END_US {
            now_us += random.random_range(0..2 * small_gap_us);
            run.advance(now_us);
            let request = small(&mut random, now_us, 1);
            run.submit(request);
            // No gang arrives in the last quarter of the run, so that each has time to start.
            if now_us >= gang_due_us && now_us < END_US * 3 / 4 {
                gang_due_us += GANG_PERIOD_US;
                gang_count += 1;
                let size = random.random_range(2..=64);
                let request = small(&mut random, now_us, size);
                run.submit(request);
            }
        }
        run.waits.sort_unstable();
        let count = run.waits.len().max(1);
        let seconds = |wait_us: u64| wait_us as f64 / 1_000_000.0;
        println!(
            "{:<24}{gang_count:>7}{:>9}{:>13}{:>11.1}{:>11.1}{:>11.1}{:>8.1}%",
            format!("{placer:?}"),
            run.waits.len(),
            run.half_placed,
            seconds(run.waits.iter().sum::<u64>()) / count as f64,
            seconds(run.waits.get(count * 9 / 10).copied().unwrap_or_default()),
            seconds(run.waits.last().copied().unwrap_or_default()),
            run.used[0] * 100.0 / (END_US - WARM_UP_US) as f64
        );
    }
}

fn main() {
    packing();
    gangs();
}
