//! Jobs of very many steps, tasks or occurrences.
//!
//! Heartbeats wait for the planner, so that its work must not grow faster than the job. The tests count the
//! steps and tasks that it looks at, which needs no clock.

mod common;

use {
    common::{Leader, Sent, UNIX_START_MS, queue, step},
    fuchsiatack_jobs::{
        CellCall, HoldKind, JobAction, JobCall, JobCommand, JobId, JobSpec, JobState, RunId, Schedule,
        StepSpec,
    },
    fuchsiatack_model::{Resources, WorkerName},
    quickcheck::{QuickCheck, TestResult},
    std::collections::{BTreeMap, BTreeSet},
};

const JOB: JobId = JobId(1);
const SMALL: u32 = 500;
const LARGE: u32 = 5_000;
/// Maximum ratio of the work for a large job to that for a small one, in percent of the ratio of their sizes.
const MAX_GROWTH_PERCENT: u64 = 110;
const WORKERS: [&str; 2] = ["a", "b"];
/// Maximum number of ends in one report of a worker.
const LISTED_ENDS: usize = 500;
/// Time between two rounds of reports in milliseconds.
const ROUND_MS: u64 = 25;
/// Interval between two heartbeats of a worker, in rounds.
const HEARTBEAT_ROUNDS: usize = 60;
/// Number of rounds after which a job counts as stuck.
const MAX_ROUNDS: usize = 20_000;

/// Returns a step of one task, of which a worker runs hundreds at once.
fn small_step() -> StepSpec {
    StepSpec {
        demand: Resources {
            processors_millis: 50,
            ..Resources::NONE
        },
        ..step(1, 300)
    }
}

fn unscheduled(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        schedule: None,
        steps,
    }
}

/// Returns steps of one task, each of which depends on the steps that `depends_on` returns.
fn dependent_steps(count: u32, depends_on: impl Fn(u32) -> Vec<u32>) -> Vec<StepSpec> {
    let steps = (0..count).map(|number| StepSpec {
        depends_on: depends_on(number),
        ..small_step()
    });
    steps.collect()
}

fn independent(count: u32) -> JobSpec {
    unscheduled(dependent_steps(count, |_| Vec::new()))
}

fn chain(count: u32) -> JobSpec {
    unscheduled(dependent_steps(count, |number| {
        number.checked_sub(1).into_iter().collect()
    }))
}

fn fan_out(count: u32) -> JobSpec {
    unscheduled(dependent_steps(count, |number| {
        if number > 0 { vec![0] } else { Vec::new() }
    }))
}

fn fan_in(count: u32) -> JobSpec {
    let last = count - 1;
    unscheduled(dependent_steps(count, |number| {
        if number == last {
            (0..last).collect()
        } else {
            Vec::new()
        }
    }))
}

fn wide(count: u32) -> JobSpec {
    unscheduled(vec![StepSpec {
        tasks: count,
        ..small_step()
    }])
}

/// Returns a job of which all occurrences are due.
fn due_occurrences(count: u32) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            interval_ms: 1_000,
            occurrences: count,
            start_unix_ms: UNIX_START_MS - u64::from(count) * 1_000,
        }),
        ..unscheduled(vec![small_step()])
    }
}

/// A leader whose workers carry out each order at once, and report the ends of all runs in the next round.
struct Cell {
    ended: BTreeMap<WorkerName, u64>,
    leader: Leader,
    rounds: usize,
    running: BTreeMap<WorkerName, Vec<RunId>>,
    /// Tasks in the order in which they were started.
    starts: Vec<RunId>,
}

impl Cell {
    fn new() -> Self {
        Self {
            ended: BTreeMap::new(),
            leader: Leader::new(queue(), &WORKERS),
            rounds: 0,
            running: BTreeMap::new(),
            starts: Vec::new(),
        }
    }

    fn with_job(spec: JobSpec) -> Self {
        let mut cell = Self::new();
        cell.submit(JOB, spec);
        cell
    }

    fn submit(&mut self, job: JobId, spec: JobSpec) {
        self.leader.call(CellCall::Job(JobCall {
            action: JobAction::Submit(Box::new(spec)),
            host: "host".into(),
            key: Some("key".into()),
            path: format!("/q/{job}").into(),
        }));
    }

    fn state(&self, job: JobId) -> JobState {
        self.leader.store().jobs[&job].state()
    }

    /// Starts what has room, and reports the ends of what was started before.
    fn run_round(&mut self) {
        self.rounds += 1;
        if self.rounds.is_multiple_of(HEARTBEAT_ROUNDS) {
            WORKERS.iter().for_each(|worker| self.leader.heartbeat(worker));
        }
        self.leader.advance(ROUND_MS);
        self.start();
        for (worker, runs) in &mut self.running {
            let listed = runs.drain(..runs.len().min(LISTED_ENDS));
            let sequence = self.ended.entry(worker.clone()).or_default();
            let ended: Vec<_> = listed
                .map(|run| {
                    *sequence += 1;
                    (*sequence, run)
                })
                .collect();
            let still: Vec<_> = runs.iter().map(|run| (*run, 50)).collect();
            self.leader
                .report_runs(worker.as_str(), HoldKind::Renewal, &still, &ended);
        }
    }

    fn start(&mut self) {
        for (run, worker) in self.leader.take_starts() {
            self.leader.started(&worker, run, Ok(self.leader.now_ms));
            self.starts.push(run);
            self.running.entry(worker).or_default().push(run);
        }
    }

    fn run_to_end(&mut self, job: JobId) {
        while self.leader.store().jobs[&job].ended.is_none() && self.rounds < MAX_ROUNDS {
            self.run_round();
        }
    }

    /// Replaces the leader; the workers keep their runs.
    fn replace_leader(&mut self) {
        self.leader.replace_planner();
        for worker in WORKERS {
            self.leader.heartbeat(worker);
        }
    }

    /// Returns the work of a part of the test.
    fn work_of(&mut self, part: impl FnOnce(&mut Self)) -> u64 {
        let before = self.leader.work_units();
        part(self);
        self.leader.work_units() - before
    }
}

/// Asserts that work grows with the size of a job and no faster.
fn assert_linear(name: &str, work_of: impl Fn(u32) -> u64) {
    let (small, large) = (work_of(SMALL), work_of(LARGE));
    let growth_percent = large * 100 / (small * u64::from(LARGE / SMALL));
    assert!(
        growth_percent <= MAX_GROWTH_PERCENT,
        "{name}: {small} units for {SMALL}, {large} for {LARGE}"
    );
}

fn encoded_bytes(command: &JobCommand) -> usize {
    let encoded = postcard::to_stdvec(command);
    encoded.expect("the command can be encoded").len()
}

fn stops(leader: &mut Leader) -> Vec<(RunId, WorkerName)> {
    let calls = leader.take_calls().into_iter();
    calls
        .filter_map(|call| match call {
            Sent::Stop { run, worker } => Some((run, worker)),
            _ => None,
        })
        .collect()
}

/// Name of a shape of jobs, and the job of this shape with a number of steps, tasks or occurrences.
type Shape = (&'static str, fn(u32) -> JobSpec);

const SHAPES: [Shape; 6] = [
    ("independent steps", independent),
    ("chain of steps", chain),
    ("steps that depend on the first", fan_out),
    ("step that depends on all others", fan_in),
    ("tasks of one step", wide),
    ("occurrences that are due", due_occurrences),
];

/// Guards against a core that a few jobs of many steps stop for good: the work for a submission grew with the
/// square of the job's steps, in the turn that sends the heartbeats.
#[test]
fn work_for_a_submission_grows_with_the_size_of_the_job() {
    for (name, job) in SHAPES {
        assert_linear(name, |size| {
            let mut cell = Cell::new();
            cell.work_of(|cell| {
                cell.submit(JOB, job(size));
                cell.start();
            })
        });
    }
}

/// Guards against leaders that lose their lease one after the other, each while it restores the same jobs.
#[test]
fn work_of_a_new_leader_grows_with_the_size_of_the_job() {
    for (name, job) in SHAPES {
        assert_linear(name, |size| {
            let mut cell = Cell::with_job(job(size));
            cell.leader.replace_planner();
            cell.start();
            cell.leader.work_units()
        });
    }
}

/// Guards against ends of runs each of which makes the leader look at the whole job, or at all occurrences.
#[test]
fn work_for_all_ends_grows_with_the_size_of_the_job() {
    for (name, job) in SHAPES {
        assert_linear(name, |size| {
            let mut cell = Cell::with_job(job(size));
            cell.work_of(|cell| cell.run_to_end(JOB))
        });
    }
}

/// Guards against a new leader that looks at all steps of all jobs before it sends its first heartbeats.
#[test]
fn new_leader_leaves_jobs_without_runs_to_later_passes() {
    let mut cell = Cell::new();
    for job in 1..=40 {
        cell.submit(JobId(job), independent(LARGE));
    }

    cell.leader.replace_planner();
    let restored = cell.leader.work_units();
    cell.start();
    let first_pass = cell.leader.work_units() - restored;

    assert_eq!(restored, 0);
    assert!(first_pass <= 30_000, "{first_pass}");
}

/// Guards against ends of cancelled runs each of which makes the leader look at all runs of the job.
#[test]
fn work_for_a_cancellation_grows_with_the_number_of_runs() {
    assert_linear("runs of a cancelled job", |size| {
        let without_demand = StepSpec {
            tasks: size,
            ..StepSpec::default()
        };
        let mut cell = Cell::with_job(unscheduled(vec![without_demand]));
        while cell.starts.len() < size as usize {
            cell.start();
            cell.leader.advance(ROUND_MS);
        }
        cell.work_of(|cell| {
            cell.leader.cancel(JOB);
            for (worker, runs) in &cell.running {
                let ended: Vec<_> = (1..).zip(runs.iter().copied()).collect();
                cell.leader.report_interrupted(worker.as_str(), &[], &ended);
            }
        })
    });
}

/// Guards against a turn of the leader that opens the steps of all jobs, however many there are.
#[test]
fn one_pass_opens_a_bounded_number_of_steps() {
    let mut cell = Cell::new();
    for job in 1..=40 {
        cell.submit(JobId(job), wide(LARGE));
    }

    let first_pass = cell.work_of(|cell| cell.start());

    assert!(first_pass <= 25_000, "{first_pass}");
}

/// Guards against a log entry that no follower can take: the leader ends a turn before the submissions in it
/// become too large, which it has to know without encoding them.
#[test]
fn pending_submissions_are_counted_until_they_are_proposed() {
    let mut cell = Cell::new();
    let before = cell.leader.pending_bytes();

    for job in 1..=10 {
        cell.submit(JobId(job), independent(LARGE));
    }
    let pending = cell.leader.pending_bytes();
    let encoded: usize = cell.leader.take_commands().iter().map(encoded_bytes).sum();

    assert_eq!(before, 0);
    assert!(pending.abs_diff(encoded) < encoded / 100, "{pending} {encoded}");
    assert_eq!(cell.leader.pending_bytes(), 0);
}

/// Guards against tens of thousands of connections to a few workers: tasks that need little are all placed in
/// one pass.
#[test]
fn start_orders_in_flight_are_limited_for_each_worker() {
    let mut cell = Cell::with_job(wide(LARGE));

    let first = cell.leader.take_starts();
    cell.leader.advance(ROUND_MS);
    let without_results = cell.leader.take_starts();
    for (run, worker) in &first[..10] {
        cell.leader.started(worker, *run, Ok(cell.leader.now_ms));
    }
    cell.leader.advance(ROUND_MS);
    let after_results = cell.leader.take_starts();

    assert_eq!(first.len(), 64 * WORKERS.len());
    assert_eq!(without_results, []);
    assert_eq!(after_results.len(), 10);
}

/// Guards against as many connections as a cancelled job has runs.
#[test]
fn stop_orders_in_flight_are_limited_for_each_worker() {
    let mut cell = Cell::with_job(wide(LARGE));
    for _ in 0..6 {
        cell.start();
        cell.leader.advance(ROUND_MS);
    }
    cell.leader.take_calls();

    cell.leader.cancel(JOB);
    let first = stops(&mut cell.leader);
    cell.leader.advance(ROUND_MS);
    let without_results = stops(&mut cell.leader);
    for (run, worker) in &first[..10] {
        cell.leader.stopped(worker, *run);
    }
    cell.leader.advance(ROUND_MS);
    let after_results = stops(&mut cell.leader);

    assert_eq!(first.len(), 64 * WORKERS.len());
    assert_eq!(without_results, []);
    assert_eq!(after_results.len(), 10);
}

/// Guards against a gang that never starts since its members need more start orders than may be in flight.
#[test]
fn gang_starts_as_a_whole_whatever_is_in_flight() {
    let gang = StepSpec {
        gang: true,
        tasks: 300,
        ..small_step()
    };
    let mut cell = Cell::with_job(unscheduled(vec![gang]));

    let started = cell.leader.take_starts();

    assert_eq!(started.len(), 300);
}

/// Guards against jobs that never end since a step is not opened once its dependencies are done.
#[test]
fn large_jobs_of_all_shapes_complete() {
    for (name, job) in SHAPES {
        let mut cell = Cell::with_job(job(LARGE));

        cell.run_to_end(JOB);

        assert_eq!(cell.state(JOB), JobState::Completed, "{name}");
        assert_eq!(cell.starts.len(), LARGE as usize, "{name}: each task runs once");
    }
}

/// Guards against steps that a change of the leader loses while more are ready than are open.
#[test]
fn large_job_completes_under_the_next_leaders() {
    for (name, job) in SHAPES {
        let mut cell = Cell::with_job(job(LARGE));
        for _ in 0..3 {
            cell.run_round();
            cell.replace_leader();
        }

        cell.run_to_end(JOB);

        assert_eq!(cell.state(JOB), JobState::Completed, "{name}");
    }
}

/// Guards against steps that no worker can run and that keep all later ones of their job from being tried.
#[test]
fn steps_that_fit_no_worker_keep_no_others_waiting() {
    let mut steps = dependent_steps(2_000, |_| Vec::new());
    for step in &mut steps[..1_990] {
        step.required_label = Some("unknown".into());
    }
    let mut cell = Cell::with_job(unscheduled(steps));

    for _ in 0..200 {
        cell.run_round();
    }

    assert_eq!(cell.starts.len(), 10);
}

/// Guards against a job that stops when more of its steps run than one pass may look at.
#[test]
fn job_with_very_many_running_steps_goes_on() {
    let without_demand = StepSpec::default();
    let spec = JobSpec {
        schedule: Some(Schedule {
            interval_ms: 1,
            occurrences: 3,
            start_unix_ms: UNIX_START_MS - 1_000,
        }),
        ..unscheduled(vec![without_demand; 10_000])
    };
    let mut cell = Cell::with_job(spec);

    for round in 0..400 {
        if round % HEARTBEAT_ROUNDS == 0 {
            WORKERS.iter().for_each(|worker| cell.leader.heartbeat(worker));
        }
        cell.leader.advance(ROUND_MS);
        cell.start();
    }

    assert_eq!(cell.starts.len(), 30_000);
}

/// Guards against an ordinary job that waits for the end of large ones, which are late.
#[test]
fn job_beside_large_ones_is_not_kept_waiting() {
    let mut cell = Cell::new();
    for job in 2..=11 {
        cell.submit(JobId(job), independent(LARGE));
    }
    cell.run_round();
    cell.submit(JOB, independent(4));

    for _ in 0..24 {
        cell.run_round();
    }

    assert_eq!(cell.state(JOB), JobState::Completed);
    assert!(cell.leader.store().jobs[&JobId(11)].ended.is_none());
}

/// Returns the steps of a job whose dependencies follow from a seed.
fn random_steps(seed: u64) -> Vec<StepSpec> {
    let is_chosen = |number: u32, earlier: u32| {
        let mixed =
            (seed ^ (u64::from(number) << 32 | u64::from(earlier))).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 60) < 3
    };
    let count = 2 + (seed % 40) as u32;
    dependent_steps(count, |number| {
        (0..number)
            .filter(|earlier| is_chosen(number, *earlier))
            .collect()
    })
}

/// Guards against a step that starts before a step it depends on is done, or never.
#[test]
fn random_dependencies_are_kept_and_all_steps_run() {
    fn holds(seed: u64) -> TestResult {
        let steps = random_steps(seed);
        let mut cell = Cell::with_job(unscheduled(steps.clone()));
        if seed.is_multiple_of(3) {
            cell.run_round();
            cell.replace_leader();
        }
        cell.run_to_end(JOB);

        let mut started = BTreeSet::new();
        for run in &cell.starts {
            let depends_on = &steps[run.task.step.step as usize].depends_on;
            if !depends_on.iter().all(|earlier| started.contains(earlier)) {
                return TestResult::error(format!("seed {seed}: {run} starts too early"));
            }
            started.insert(run.task.step.step);
        }
        TestResult::from_bool(cell.state(JOB) == JobState::Completed && started.len() == steps.len())
    }

    QuickCheck::new()
        .tests(100)
        .quickcheck(holds as fn(u64) -> TestResult);
}
