//! Workers with more ends than one report lists.

mod common;

use {
    common::{Leader, TICK_MS, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, JobState, RunId, StepSpec},
    fuchsiatack_model::Resources,
};

const JOB: JobId = JobId(1);
const TASKS: u32 = 800;
/// Maximum number of ends in one report of a worker.
const LISTED_ENDS: usize = 500;

/// Returns a leader with one worker, on which all tasks of a job run, and their runs.
fn busy_worker() -> (Leader, Vec<RunId>) {
    let mut leader = Leader::new(queue(), &["a"]);
    let small = StepSpec {
        demand: Resources {
            processors_millis: 10,
            ..Resources::NONE
        },
        ..step(TASKS, 9_000)
    };
    leader.submit(JOB, vec![small]);
    let mut runs = Vec::new();
    loop {
        let started = leader.take_starts();
        if started.is_empty() {
            break;
        }
        for (run, worker) in started {
            leader.started(&worker, run, Ok(leader.now_ms));
            runs.push(run);
        }
        leader.advance(TICK_MS);
    }
    assert_eq!(runs.len(), TASKS as usize);
    (leader, runs)
}

/// Has the worker report the ends of all runs, in as many reports as it needs. Returns the number of tasks
/// that were started meanwhile.
fn report_all_ends(leader: &mut Leader, runs: &[RunId]) -> usize {
    let ended: Vec<_> = (1..).zip(runs.iter().copied()).collect();
    let mut starts = 0;
    for listed in ended.chunks(LISTED_ENDS) {
        leader.advance(200);
        leader.report_runs("a", HoldKind::Renewal, &[], listed);
        starts += leader.take_starts().len();
    }
    starts
}

/// Guards against a second start of tasks that are done: their ends come after those that one report
/// lists, and the runs were taken for interrupted.
#[test]
fn runs_whose_ends_are_not_listed_yet_are_not_interrupted() {
    let (mut leader, runs) = busy_worker();

    let starts = report_all_ends(&mut leader, &runs);

    assert_eq!(starts, 0);
    assert_eq!(leader.store().jobs[&JOB].state(), JobState::Completed);
}

/// Guards against the same with a leader that has not verified the runs yet.
#[test]
fn new_leader_waits_for_the_ends_that_are_not_listed_yet() {
    let (mut leader, runs) = busy_worker();
    leader.replace_planner();
    leader.heartbeat("a");
    leader.take_calls();

    let starts = report_all_ends(&mut leader, &runs);

    assert_eq!(starts, 0);
    assert_eq!(leader.store().jobs[&JOB].state(), JobState::Completed);
}

/// Guards against runs that are never given up, since a report listed as many ends as fit.
#[test]
fn missing_run_is_interrupted_once_all_ends_are_listed() {
    let (mut leader, runs) = busy_worker();
    let (missing, done) = runs.split_last().expect("there are runs");
    let (first, rest) = done.split_at(LISTED_ENDS);

    let early = report_all_ends(&mut leader, first);
    let ended: Vec<_> = (1 + LISTED_ENDS as u64..).zip(rest.iter().copied()).collect();
    leader.advance(200);
    leader.report_runs("a", HoldKind::Renewal, &[], &ended);
    let restarted = leader.take_starts();

    assert_eq!(early, 0);
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].0.task, missing.task);
}
