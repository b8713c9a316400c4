//! Workers that failed or delayed their runs for a time and are sound again.

mod common;

use {
    common::{Leader, Sent, TICK_MS, queue, step},
    fuchsiatack_jobs::{
        EndedRun, HoldKind, HoldReport, JobId, ListedEnd, ListedRun, RunId, StepSpec, WithheldReason,
        WorkerCallError,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Time after which a run on a failing worker ends, in milliseconds.
const FAILURE_MS: u64 = 50;
/// Time within which a sound worker has to have a run of each lasting task again, in milliseconds.
const RETURN_LIMIT_MS: u64 = 10_000;
/// Interval between two heartbeats in milliseconds.
const HEARTBEAT_MS: u64 = 1_000;
/// Interval between two reports on the cell, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// The lasting tasks that only the worker may run.
const LASTING: [JobId; 3] = [JobId(1), JobId(2), JobId(3)];

/// How the worker treats the runs that start now.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// It fails them after `FAILURE_MS`.
    Fails,
    /// It never answers their start orders, and does not start them.
    LosesOrders,
    /// It runs them to their ends.
    Sound,
}

/// A leader with one worker.
struct Cell {
    ended: u64,
    fault: Fault,
    leader: Leader,
    /// Runs with the times of their ends, and how they end.
    runs: BTreeMap<RunId, (u64, ListedEnd)>,
    /// Number of starts on the worker.
    starts: usize,
}

impl Cell {
    fn new() -> Self {
        Self {
            ended: 0,
            fault: Fault::Sound,
            leader: Leader::new(queue(), &["a"]),
            runs: BTreeMap::new(),
            starts: 0,
        }
    }

    /// Returns a cell in which the first lasting task is at work, and the others wait.
    fn with_lasting_tasks(fault: Fault) -> Self {
        let mut cell = Self::new();
        cell.submit_lasting(LASTING[0]);
        cell.run(2_000);
        cell.fault = fault;
        cell.submit_lasting(LASTING[1]);
        cell.submit_lasting(LASTING[2]);
        cell
    }

    fn submit_lasting(&mut self, job: JobId) {
        let lasting = StepSpec {
            long_running: true,
            ..step(1, 0)
        };
        self.leader.submit(job, vec![lasting]);
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.leader.advance(TICK_MS);
        let now_ms = self.leader.now_ms;
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            self.leader.heartbeat("a");
        }
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, (end_ms, _))| *end_ms <= now_ms)
            .collect();
        let due: Vec<_> = due.into_iter().map(|(run, (_, end))| (*run, *end)).collect();
        for (run, end) in due {
            self.end(run, end);
        }
        for call in self.leader.take_calls() {
            self.handle(call);
        }
    }

    fn handle(&mut self, call: Sent) {
        let now_ms = self.leader.now_ms;
        match call {
            Sent::Start { run, worker } if self.fault == Fault::LosesOrders => {
                self.starts += 1;
                self.leader
                    .started(&worker, run, Err(WorkerCallError::Unanswered));
            }
            Sent::Start { run, worker } => {
                self.starts += 1;
                let is_lasting = LASTING.contains(&run.task.step.job);
                let end = match self.fault {
                    Fault::Fails => (now_ms + FAILURE_MS, ListedEnd::Failed),
                    _ if is_lasting => (u64::MAX, ListedEnd::Interrupted),
                    _ => (now_ms + 600, ListedEnd::Done),
                };
                self.runs.insert(run, end);
                self.leader.started(&worker, run, Ok(now_ms));
            }
            Sent::Stop { run, worker } => {
                self.leader.stopped(&worker, run);
                if self.runs.contains_key(&run) {
                    self.end(run, ListedEnd::Interrupted);
                }
            }
            Sent::Renew { .. } => self.report(HoldKind::Renewal, Vec::new()),
            Sent::Check(_) => self.report(HoldKind::Check, Vec::new()),
            Sent::Advise { .. } | Sent::Pace { .. } => {}
        }
    }

    fn end(&mut self, run: RunId, end: ListedEnd) {
        self.runs.remove(&run);
        self.ended += 1;
        let ended = EndedRun {
            checkpoint: "".into(),
            end,
            reason: "ended".into(),
            run,
            sequence: self.ended,
        };
        self.report(HoldKind::Check, vec![ended]);
    }

    fn report(&mut self, kind: HoldKind, ended: Vec<EndedRun>) {
        let running = self.runs.keys().map(|run| ListedRun {
            checkpoint: "".into(),
            percent: 100,
            run: *run,
            usage: 0,
        });
        let report = HoldReport {
            started_unix_ms: Some(1),
            clock_ms: self.leader.now_ms,
            ended,
            running: running.collect(),
            unreadable_rows: Vec::new(),
        };
        self.leader.complete_hold("a", kind, Ok(report));
    }

    /// Returns why runs are kept from the worker, as the next report on the cell says.
    fn next_report(&mut self) -> Option<BTreeMap<WithheldReason, usize>> {
        self.leader.advance(REPORT_MS);
        self.leader.take_report().map(|report| report.withheld_workers)
    }

    fn jobs_at_work(&self) -> BTreeSet<JobId> {
        self.runs.keys().map(|run| run.task.step.job).collect()
    }
}

/// Guards against lasting tasks that find no run: a worker that had failed its runs stayed on probation for as
/// long as an earlier task lasted there, since only a run that was done ended the probation.
#[test]
fn lasting_tasks_start_on_a_sound_worker_that_failed_all_before() {
    for failing_ms in (500..=25_000).step_by(500) {
        let mut cell = Cell::with_lasting_tasks(Fault::Fails);
        cell.run(failing_ms);

        cell.fault = Fault::Sound;
        cell.run(RETURN_LIMIT_MS);

        assert_eq!(
            cell.jobs_at_work(),
            BTreeSet::from(LASTING),
            "failing for {failing_ms} ms"
        );
    }
}

/// Guards against a failing worker that uses up the attempts of many tasks.
#[test]
fn failing_worker_gets_few_starts() {
    let mut cell = Cell::with_lasting_tasks(Fault::Fails);
    let before = cell.starts;

    cell.run(6_500);

    assert!(cell.starts - before <= 6, "{} starts", cell.starts - before);
}

/// Guards against a worker on probation that gets all tasks of a step at once and fails them.
#[test]
fn worker_on_probation_gets_a_single_run() {
    let mut cell = Cell::new();
    cell.fault = Fault::Fails;
    let failing = [JobId(4), JobId(5)];
    failing
        .iter()
        .for_each(|job| cell.leader.submit(*job, vec![step(1, 600)]));
    cell.run(500);
    failing.iter().for_each(|job| cell.leader.cancel(*job));
    cell.leader.submit(JobId(6), vec![step(6, 600)]);
    let before = cell.starts;

    cell.run(1_500);

    assert_eq!(cell.starts - before, 1);
}

/// Guards against a worker that gets few runs without a sign of it in the metrics.
#[test]
fn report_tells_why_runs_are_kept_from_a_worker() {
    let mut cell = Cell::with_lasting_tasks(Fault::Fails);
    cell.run(500);
    let ejected = cell.next_report();

    cell.fault = Fault::Sound;
    cell.run(RETURN_LIMIT_MS);
    let sound = cell.next_report();

    assert_eq!(ejected, Some(BTreeMap::from([(WithheldReason::Ejected, 1)])));
    assert_eq!(sound, Some(BTreeMap::new()));
}

/// Guards against a probation that lasts until the start order of its only run has expired.
#[test]
fn run_that_was_not_started_does_not_prolong_a_probation() {
    let mut cell = Cell::with_lasting_tasks(Fault::Fails);
    cell.run(1_000);
    cell.fault = Fault::LosesOrders;
    let before = cell.starts;
    cell.run(2_000);
    assert!(cell.starts > before, "the probation began with a start order");

    cell.fault = Fault::Sound;
    cell.run(RETURN_LIMIT_MS);

    let lost = LASTING[1..]
        .iter()
        .filter(|job| !cell.jobs_at_work().contains(*job));
    assert_eq!(
        lost.count(),
        1,
        "only the run whose start order may still be carried out is missing"
    );
}
