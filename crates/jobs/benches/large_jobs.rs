//! Time that the planner takes for jobs of very many steps, tasks or occurrences.
//!
//! Run with `cargo bench -p fuchsiatack-jobs --bench large_jobs`. Heartbeats wait for a turn of the planner, so
//! that the longest turn decides whether the leader keeps its lease. The time is that of the planner alone, in
//! one thread.

#[path = "../tests/common/mod.rs"]
mod common;

use {
    common::{Leader, UNIX_START_MS, queue, step},
    fuchsiatack_jobs::{
        CellCall, HoldKind, JobAction, JobCall, JobCommand, JobId, JobSpec, JobState, JobStore, RunEnd,
        RunId, Schedule, StepSpec,
    },
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const JOB: JobId = JobId(1);
const WORKERS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// Maximum number of ends in one report of a worker.
const LISTED_ENDS: usize = 500;
/// Time after which a shape is given up.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two rounds of reports in milliseconds.
const ROUND_MS: u64 = 25;
/// Interval between two heartbeats of a worker, in rounds.
const HEARTBEAT_ROUNDS: usize = 60;

/// Durations of the turns of a planner.
#[derive(Default)]
struct Turns {
    count: usize,
    longest: Duration,
    total: Duration,
}

impl Turns {
    fn measure<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started_at = Instant::now();
        let result = work();
        let took = started_at.elapsed();
        self.count += 1;
        self.longest = self.longest.max(took);
        self.total += took;
        result
    }
}

fn submission_of(job: JobId, spec: JobSpec) -> CellCall {
    CellCall::Job(JobCall {
        action: JobAction::Submit(Box::new(spec)),
        host: "host".into(),
        key: Some("key".into()),
        path: SmolStr::new(format!("/q/{job}")),
    })
}

fn submission(spec: JobSpec) -> CellCall {
    submission_of(JOB, spec)
}

fn unscheduled(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        schedule: None,
        steps,
    }
}

fn with_dependencies(steps: u32, depends_on: impl Fn(u32) -> Vec<u32>) -> JobSpec {
    let steps = (0..steps).map(|number| StepSpec {
        depends_on: depends_on(number),
        ..step(1, 300)
    });
    unscheduled(steps.collect())
}

/// Runs a job to its end and prints how long the turns took.
fn measure(name: &str, spec: JobSpec) {
    let mut leader = Leader::new(queue(), &WORKERS);
    let mut submit = Turns::default();
    let mut restore = Turns::default();
    let mut run = Turns::default();
    submit.measure(|| {
        leader.call(submission(spec));
    });
    let store = leader.store().clone();
    restore.measure(|| leader.replace_planner_with(store));
    leader.take_calls();
    let mut sequences: BTreeMap<String, u64> = BTreeMap::new();
    let mut running: BTreeMap<String, Vec<RunId>> = BTreeMap::new();
    for worker in WORKERS {
        leader.heartbeat(worker);
        leader.report_runs(worker, HoldKind::Renewal, &[], &[]);
    }
    let began_at = Instant::now();
    let mut round = 0;
    while leader.store().jobs[&JOB].ended.is_none() && began_at.elapsed() < LIMIT {
        round += 1;
        if round % HEARTBEAT_ROUNDS == 0 {
            WORKERS.iter().for_each(|worker| leader.heartbeat(worker));
        }
        let started = run.measure(|| {
            leader.advance(ROUND_MS);
            leader.take_starts()
        });
        for (id, worker) in started {
            running.entry(worker.to_string()).or_default().push(id);
            run.measure(|| leader.started(&worker, id, Ok(leader.now_ms)));
        }
        for (worker, ids) in &mut running {
            let listed = ids.drain(..ids.len().min(LISTED_ENDS));
            let sequence = sequences.entry(worker.clone()).or_default();
            let ended: Vec<_> = listed
                .map(|id| {
                    *sequence += 1;
                    (*sequence, id)
                })
                .collect();
            let still: Vec<_> = ids.iter().map(|id| (*id, 50)).collect();
            run.measure(|| leader.report_runs(worker, HoldKind::Renewal, &still, &ended));
        }
    }
    let state = leader.store().jobs[&JOB].state();
    println!(
        "{name}: submit {} ms, restore {} ms, {} turns of {} ms at most, {} ms in all, {}",
        submit.longest.as_millis(),
        restore.longest.as_millis(),
        run.count,
        run.longest.as_millis(),
        run.total.as_millis(),
        if state == JobState::Completed {
            "completed"
        } else {
            "given up"
        },
    );
}

/// Applies the ends of a step with many tasks, as each follower does, and prints how long that took.
fn measure_apply(tasks: u32) {
    let mut leader = Leader::new(queue(), &WORKERS);
    leader.call(submission(unscheduled(vec![step(tasks, 300)])));
    let mut store: JobStore = leader.store().clone();
    let run = |index| RunId {
        number: 1,
        task: fuchsiatack_jobs::TaskKey {
            index,
            step: common::first_step(JOB),
        },
    };
    store.apply(&JobCommand::Start {
        runs: (0..tasks).map(run).collect(),
        worker: "a".into(),
    });
    let mut apply = Turns::default();
    apply.measure(|| {
        for index in 0..tasks {
            store.apply(&JobCommand::End {
                checkpoint: SmolStr::default(),
                end: RunEnd::Done,
                is_final: false,
                run: run(index),
                unix_ms: UNIX_START_MS,
            });
        }
    });
    println!(
        "apply of {tasks} ends of one step: {} ms in all",
        apply.total.as_millis()
    );
}

/// Prints how long a new leader takes to copy and restore many jobs, of each of which some tasks have run.
fn measure_restore(jobs: u64, steps: u32) {
    let mut leader = Leader::new(queue(), &WORKERS);
    for job in 1..=jobs {
        leader.call(submission_of(
            JobId(job),
            with_dependencies(steps, |_| Vec::new()),
        ));
    }
    let mut store = leader.store().clone();
    for job in 1..=jobs {
        let run = RunId {
            number: 1,
            task: fuchsiatack_jobs::TaskKey {
                index: 0,
                step: common::first_step(JobId(job)),
            },
        };
        let runs = vec![run];
        store.apply(&JobCommand::Start {
            runs,
            worker: "a".into(),
        });
    }
    let mut copy = Turns::default();
    let copied = copy.measure(|| store.clone());
    let mut restore = Turns::default();
    restore.measure(|| leader.replace_planner_with(copied));
    let mut pass = Turns::default();
    pass.measure(|| leader.take_calls());
    println!(
        "{jobs} jobs of {steps} steps: copy {} ms, restore {} ms, first pass {} ms",
        copy.total.as_millis(),
        restore.total.as_millis(),
        pass.total.as_millis(),
    );
}

fn main() {
    measure_restore(20, 5_000);
    measure_restore(200, 5_000);
    measure_apply(2_000);
    measure_apply(20_000);
    for steps in [500, 5_000, 20_000] {
        measure(
            &format!("{steps} steps"),
            with_dependencies(steps, |_| Vec::new()),
        );
    }
    measure("one step of 20,000 tasks", unscheduled(vec![step(20_000, 300)]));
    measure(
        "5,000 steps that need nothing",
        unscheduled(vec![
            StepSpec {
                tasks: 1,
                ..StepSpec::default()
            };
            5_000
        ]),
    );
    measure(
        "chain of 5,000 steps",
        with_dependencies(5_000, |number| number.checked_sub(1).into_iter().collect()),
    );
    measure(
        "5,000 steps that depend on the first",
        with_dependencies(5_000, |number| if number > 0 { vec![0] } else { Vec::new() }),
    );
    measure(
        "last step that depends on 5,000",
        with_dependencies(5_001, |number| {
            if number == 5_000 {
                (0..5_000).collect()
            } else {
                Vec::new()
            }
        }),
    );
    measure(
        "20,000 occurrences that are due",
        JobSpec {
            schedule: Some(Schedule {
                interval_ms: 1_000,
                occurrences: 20_000,
                start_unix_ms: UNIX_START_MS - 20_000_000,
            }),
            ..unscheduled(vec![step(1, 300)])
        },
    );
}
