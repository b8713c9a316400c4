//! Workers on which runs are stalled or slow.

mod common;

use {
    common::{Leader, Sent, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, Progress, RunId},
    fuchsiatack_model::WorkerName,
    std::collections::BTreeSet,
};

fn stops(leader: &mut Leader) -> Vec<RunId> {
    let calls = leader.take_calls().into_iter();
    calls
        .filter_map(|call| match call {
            Sent::Stop { run, .. } => Some(run),
            _ => None,
        })
        .collect()
}

/// Runs tasks to their end, so that the leader knows how long tasks take on this kind of worker.
fn record_durations(leader: &mut Leader) {
    leader.submit(JobId(2), vec![step(12, 500)]);
    let started = leader.take_starts();
    for (run, worker) in &started {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    leader.advance(500);
    let workers: BTreeSet<_> = started.iter().map(|(_, worker)| worker).collect();
    for worker in workers {
        let runs = started.iter().filter(|(_, on)| on == worker).map(|(run, _)| *run);
        let ended: Vec<_> = (1..).zip(runs).collect();
        leader.report_runs(worker.as_str(), HoldKind::Renewal, &[], &ended);
    }
    leader.take_calls();
}

/// Starts a job of one step and returns its runs with their workers.
fn start(leader: &mut Leader, tasks: u32, estimated_ms: u64) -> Vec<(RunId, WorkerName)> {
    leader.submit(JobId(1), vec![step(tasks, estimated_ms)]);
    let started = leader.take_starts();
    for (run, worker) in &started {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    started
}

/// Has each worker report its runs, all with the percentage from `percent_of`.
fn report_progress(
    leader: &mut Leader,
    started: &[(RunId, WorkerName)],
    percent_of: impl Fn(&WorkerName) -> u32,
) {
    let workers: BTreeSet<_> = started.iter().map(|(_, worker)| worker).collect();
    for worker in workers {
        let on_worker = started.iter().filter(|(_, on)| on == worker);
        let listed: Vec<_> = on_worker.map(|(run, _)| (*run, percent_of(worker))).collect();
        leader.report_runs(worker.as_str(), HoldKind::Renewal, &listed, &[]);
    }
}

/// Guards against a worker that answers its renewals while its runs are stalled: such runs delayed
/// their jobs for three times their estimated duration.
#[test]
fn stalled_run_is_stopped_within_a_second() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    let started = start(&mut leader, 1, 600);
    for _ in 0..3 {
        leader.advance(250);
        report_progress(&mut leader, &started, |_| 30);
    }
    leader.advance(250);

    assert_eq!(stops(&mut leader), [started[0].0]);
}

/// Guards against a slow worker that is detected only when its runs are overdue.
#[test]
fn slow_runs_of_two_jobs_are_stopped() {
    let mut leader = Leader::new(queue(), &["a", "b", "c", "d", "e"]);
    record_durations(&mut leader);
    let mut started = start(&mut leader, 5, 2_000);
    leader.submit(JobId(3), vec![step(5, 2_000)]);
    let second = leader.take_starts();
    for (run, worker) in &second {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    started.extend(second);
    let slow = started[0].1.clone();
    let on_slow: Vec<_> = started.iter().filter(|(_, worker)| *worker == slow).collect();
    assert_eq!(on_slow.len(), 2, "one task of each job on each worker");
    for round in 1..=4 {
        leader.advance(200);
        let percent = |worker: &WorkerName| if *worker == slow { 2 * round } else { 10 * round };
        report_progress(&mut leader, &started, percent);
    }
    leader.advance(200);

    let stopped = stops(&mut leader);
    assert_eq!(stopped.len(), 2);
    assert!(on_slow.iter().all(|(run, _)| stopped.contains(run)));
}

/// Guards against moves of the longest task of a step. It takes as long on every worker, and each
/// move restarts it from the beginning.
#[test]
fn single_run_that_is_slower_than_its_siblings_is_not_stopped() {
    let mut leader = Leader::new(queue(), &["a", "b", "c", "d", "e"]);
    record_durations(&mut leader);
    let started = start(&mut leader, 5, 2_000);
    let slow = started[0].1.clone();
    for round in 1..=4 {
        leader.advance(200);
        let percent = |worker: &WorkerName| if *worker == slow { 2 * round } else { 10 * round };
        report_progress(&mut leader, &started, percent);
    }
    leader.advance(200);

    assert_eq!(stops(&mut leader), []);
}

/// Guards against moves of tasks whose estimated duration is far too short.
#[test]
fn job_that_takes_longer_than_estimated_is_not_stopped() {
    let mut leader = Leader::new(queue(), &["a", "b", "c"]);
    let started = start(&mut leader, 3, 400);
    for round in 1..=12 {
        leader.advance(250);
        report_progress(&mut leader, &started, |_| 5 * round);
    }

    assert_eq!(stops(&mut leader), []);
}

#[test]
fn progress_measures_the_speed_of_the_last_second() {
    let mut progress = Progress::default();
    for round in 0..10 {
        progress.observe(round * 100, 5 * round as u32);
    }
    assert_eq!(progress.total_ms(), Some(2_000));
    assert_eq!(progress.remaining_ms(), Some(1_100));

    for round in 10..30 {
        progress.observe(round * 100, 45);
    }
    progress.observe(500, 25);

    assert_eq!(progress.stalled_ms(), 2_000);
    assert_eq!(
        progress.total_ms(),
        None,
        "the speed of a stalled run is not known"
    );
}
