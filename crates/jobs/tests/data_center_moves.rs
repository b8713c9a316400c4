//! Moves of runs out of evacuated data centres. Guards against data centres that never become empty, and
//! against runs that are stopped although nothing is gained.

mod common;

use {
    common::{Leader, Sent, advised_queue, queue, step},
    fuchsiatack_jobs::{CellCall, HoldKind, JobId, Queue, RunId, StepSpec},
    fuchsiatack_model::{DataCenter, Resources, WorkerName},
    std::collections::BTreeMap,
};

const JOB: JobId = JobId(1);
/// Step of the planner's clock, in milliseconds.
const TICK_MS: u64 = 100;
/// Estimated duration of a task that is worth moving, in milliseconds.
const LONG_MS: u64 = 60_000;

/// A cell in which the workers do what they are told at once. Workers whose names begin with `a` are in the
/// data centre `a`.
struct Cell {
    ends: BTreeMap<WorkerName, u64>,
    leader: Leader,
    running: Vec<(RunId, WorkerName)>,
    sequence: u64,
    stops: Vec<RunId>,
    workers: Vec<WorkerName>,
}

impl Cell {
    fn new(queue: Queue, workers: &[&str]) -> Self {
        let mut cell = Self {
            ends: BTreeMap::new(),
            leader: Leader::new(queue, &[]),
            running: Vec::new(),
            sequence: 0,
            stops: Vec::new(),
            workers: Vec::new(),
        };
        for worker in workers {
            cell.add_worker(worker);
        }
        cell
    }

    fn add_worker(&mut self, worker: &str) {
        self.workers.push(WorkerName::new(worker));
        self.heartbeats();
        self.leader.take_calls();
        self.leader.report_runs(worker, HoldKind::Renewal, &[], &[]);
    }

    fn heartbeats(&mut self) {
        self.sequence += 1;
        for worker in &self.workers {
            let capacity = common::WORKER_CAPACITY;
            let mut report = self
                .leader
                .report_with(worker.as_str(), 1, self.sequence, capacity);
            report.data_center = DataCenter::new(&worker.as_str()[..1]);
            self.leader.heartbeat_report(report);
        }
    }

    fn evacuate(&mut self) {
        self.leader.call(CellCall::EvacuateDataCenter {
            data_center: DataCenter::new("a"),
            ordered_by: None,
        });
    }

    /// Runs the cell for a time, and returns the largest number of tasks that did not run in it.
    fn run(&mut self, ms: u64) -> usize {
        let tasks = self.running.len();
        let mut fewest = tasks;
        for _ in 0..ms / TICK_MS {
            self.leader.advance(TICK_MS);
            self.heartbeats();
            self.execute();
            fewest = fewest.min(self.running.len());
        }
        tasks - fewest
    }

    fn execute(&mut self) {
        for call in self.leader.take_calls() {
            match call {
                Sent::Advise { by, request } => self.leader.advised(by, &request),
                Sent::Start { run, worker } => {
                    self.leader.started(&worker, run, Ok(self.leader.now_ms));
                    self.running.push((run, worker));
                }
                Sent::Stop { run, worker } => {
                    self.leader.stopped(&worker, run);
                    self.stops.push(run);
                    self.running.retain(|(present, _)| *present != run);
                    self.report(&worker, Some(run));
                }
                Sent::Check(_) | Sent::Pace { .. } | Sent::Renew { .. } => {}
            }
        }
    }

    /// Reports the runs of a worker, with one that was stopped.
    fn report(&mut self, worker: &WorkerName, stopped: Option<RunId>) {
        let running: Vec<_> = self.runs_on(worker).map(|run| (run, 1)).collect();
        let number = self.ends.entry(worker.clone()).or_default();
        *number += 1;
        let ended = stopped.map(|run| (*number, run));
        self.leader
            .report_interrupted(worker.as_str(), &running, ended.as_slice());
    }

    fn runs_on<'a>(&'a self, worker: &'a WorkerName) -> impl Iterator<Item = RunId> + 'a {
        let here = self.running.iter().filter(move |(_, on)| on == worker);
        here.map(|(run, _)| *run)
    }

    /// Submits a job and starts its tasks.
    fn start(&mut self, job: JobId, spec: StepSpec) {
        self.leader.submit(job, vec![spec]);
        self.execute();
        self.run(2 * TICK_MS);
    }

    /// Returns the number of runs in the data centre `a`.
    fn runs_in_a(&self) -> usize {
        let here = self
            .running
            .iter()
            .filter(|(_, worker)| worker.as_str().starts_with('a'));
        here.count()
    }
}

fn checkpointed(tasks: u32) -> StepSpec {
    StepSpec {
        checkpoints: true,
        ..step(tasks, LONG_MS)
    }
}

fn lasting(tasks: u32, max_unavailable: Option<u32>) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable,
        ..step(tasks, 0)
    }
}

#[test]
fn long_checkpointed_runs_are_moved() {
    let mut cell = Cell::new(queue(), &["a1"]);
    cell.start(JOB, checkpointed(4));
    cell.add_worker("b1");
    let before = cell.runs_in_a();

    cell.evacuate();
    cell.run(3_000);

    assert_eq!(before, 4);
    assert_eq!((cell.runs_in_a(), cell.running.len()), (0, 4));
}

#[test]
fn runs_with_advice_are_moved() {
    let mut cell = Cell::new(advised_queue(), &["a1"]);
    cell.leader.call(CellCall::Entry(fuchsiatack_jobs::EntryReport {
        address: "127.0.0.1:2".parse().expect("the address is valid"),
        name: "entry".into(),
        stopping: false,
    }));
    cell.start(JOB, checkpointed(4));
    cell.add_worker("b1");
    let before = cell.runs_in_a();

    cell.evacuate();
    cell.run(5_000);

    assert_eq!(before, 4);
    assert_eq!((cell.runs_in_a(), cell.running.len()), (0, 4));
}

/// Guards against work that is stopped and then waits.
#[test]
fn runs_stay_without_free_capacity_elsewhere() {
    let mut cell = Cell::new(queue(), &["a1"]);
    cell.start(JOB, checkpointed(4));
    cell.add_worker("b1");
    // The order and the work that fills the other data centre reach the leader at the same time.
    cell.evacuate();
    cell.leader
        .submit(JobId(2), vec![step(4, LONG_MS), half_worker()]);
    cell.execute();

    cell.run(5_000);

    assert_eq!(cell.stops.len(), 0, "{:?}", cell.running);
    assert_eq!(cell.runs_in_a(), 4);
}

/// Guards against lost work: these runs have no checkpoint, are a gang, or end soon.
#[test]
fn runs_that_lose_by_a_stop_stay() {
    let specs = [
        step(2, LONG_MS),
        StepSpec {
            gang: true,
            ..checkpointed(2)
        },
        StepSpec {
            checkpoints: true,
            ..step(2, 8_000)
        },
    ];
    for spec in specs {
        let mut cell = Cell::new(queue(), &["a1"]);
        cell.start(JOB, spec.clone());
        cell.add_worker("b1");
        cell.evacuate();

        cell.run(3_000);

        assert_eq!(cell.stops, [], "{spec:?}");
        assert_eq!(cell.runs_in_a(), 2);
    }
}

/// Guards against users of a lasting step who find too few of its tasks.
#[test]
fn lasting_tasks_are_moved_one_at_a_time() {
    for max_unavailable in [None, Some(1), Some(3)] {
        let mut cell = Cell::new(queue(), &["a1"]);
        cell.start(JOB, lasting(3, max_unavailable));
        cell.add_worker("b1");
        let before = cell.runs_in_a();
        cell.evacuate();

        let largest_gap = cell.run(6_000);

        assert_eq!(before, 3);
        assert_eq!(
            (cell.runs_in_a(), cell.running.len()),
            (0, 3),
            "{max_unavailable:?}"
        );
        assert!(largest_gap <= 1, "{largest_gap} tasks did not run");
    }
}

/// Guards against a step that may have no task away but loses one.
#[test]
fn lasting_tasks_that_may_not_be_away_stay() {
    let mut cell = Cell::new(queue(), &["a1"]);
    cell.start(JOB, lasting(2, Some(0)));
    cell.add_worker("b1");
    cell.evacuate();

    cell.run(3_000);

    assert_eq!(cell.stops, []);
}

/// Guards against moves that go on after the order was withdrawn, or without an order.
#[test]
fn nothing_is_moved_without_an_order() {
    let mut cell = Cell::new(queue(), &["a1"]);
    cell.start(JOB, checkpointed(4));
    cell.add_worker("b1");
    cell.evacuate();
    cell.leader
        .call(CellCall::RestoreDataCenter(DataCenter::new("a")));

    cell.run(3_000);

    assert_eq!(cell.stops, []);
}

/// Returns a step that takes half of a worker.
fn half_worker() -> StepSpec {
    StepSpec {
        demand: Resources {
            processors_millis: 8_000,
            ..step(1, LONG_MS).demand
        },
        ..step(1, LONG_MS)
    }
}
