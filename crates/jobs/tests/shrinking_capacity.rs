//! Workers whose capacity shrinks and grows while they run. Guards against starts that bring a worker over
//! the capacity that it has reported.

mod common;

use {
    common::{Leader, Sent, UNIX_START_MS, advised_queue, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, RunId, StepSpec},
    fuchsiatack_model::{Resources, WorkerName},
};

const CORES_16: Resources = Resources {
    memory_bytes: 64 << 30,
    processors_millis: 16_000,
    ..Resources::NONE
};
const CORES_4: Resources = Resources {
    processors_millis: 4_000,
    ..CORES_16
};

/// Starts `tasks` tasks of two processors each on worker `a` and confirms them.
fn leader_with_runs(tasks: u32) -> (Leader, Vec<(RunId, WorkerName)>) {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JobId(1), vec![step(tasks, 60_000)]);
    let started = leader.take_starts();
    for (run, worker) in &started {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    (leader, started)
}

fn ends(started: &[(RunId, WorkerName)]) -> Vec<(u64, RunId)> {
    (1..)
        .zip(started)
        .map(|(sequence, (run, _))| (sequence, *run))
        .collect()
}

/// Guards against placement by the earlier capacity after the heartbeat with the new one.
#[test]
fn smaller_capacity_is_in_force_for_the_next_placement() {
    let mut leader = Leader::new(queue(), &["a"]);

    leader.heartbeat_with("a", 1, CORES_4);
    leader.submit(JobId(1), vec![step(8, 600)]);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against free resources that wrap around when a worker runs more than it can hold.
#[test]
fn worker_over_its_capacity_gets_no_start_until_the_runs_fit() {
    let shrunk = [
        CORES_4,
        Resources {
            memory_bytes: 2 << 20,
            ..CORES_16
        },
        Resources::NONE,
    ];
    for capacity in shrunk {
        let (mut leader, started) = leader_with_runs(6);
        leader.heartbeat_with("a", 1, capacity);
        leader.submit(JobId(2), vec![step(4, 600)]);
        leader.advance(1_000);
        assert_eq!(leader.take_starts(), [], "{capacity:?}");

        leader.report_runs("a", HoldKind::Renewal, &[], &ends(&started));
        leader.advance(100);

        let expected = (capacity.processors_millis / 2_000).min((capacity.memory_bytes >> 20) as u32);
        assert_eq!(leader.take_starts().len() as u32, expected.min(4), "{capacity:?}");
    }
}

/// Guards against accelerators that are left out of the comparison.
#[test]
fn fewer_accelerators_are_in_force_for_the_next_placement() {
    let mut leader = Leader::new(queue(), &["a"]);
    let mut needs_accelerator = step(4, 600);
    needs_accelerator.demand.accelerators = 1;

    leader.heartbeat_with(
        "a",
        1,
        Resources {
            accelerators: 4,
            ..CORES_16
        },
    );
    leader.heartbeat_with(
        "a",
        1,
        Resources {
            accelerators: 1,
            ..CORES_16
        },
    );
    leader.submit(JobId(1), vec![needs_accelerator]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against a run that is being stopped and whose room is given away before its end is listed.
#[test]
fn run_that_is_being_stopped_counts_towards_the_smaller_capacity() {
    let (mut leader, started) = leader_with_runs(2);
    leader.heartbeat_with("a", 1, CORES_4);
    leader.cancel(JobId(1));
    leader.submit(JobId(2), vec![step(2, 600)]);
    for (run, worker) in &started {
        leader.stopped(worker, *run);
    }
    leader.advance(100);
    assert_eq!(leader.take_starts(), []);

    leader.report_runs("a", HoldKind::Renewal, &[], &ends(&started));
    leader.advance(100);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against starts by the capacity that was known when advice was requested.
#[test]
fn capacity_that_shrinks_during_an_advice_request_is_in_force() {
    let mut leader = Leader::new(advised_queue(), &["a"]);
    leader.submit(JobId(1), vec![step(8, 600)]);
    let calls = leader.take_calls();
    let Some(Sent::Advise { by, request }) =
        calls.into_iter().find(|call| matches!(call, Sent::Advise { .. }))
    else {
        panic!("advice is requested");
    };

    leader.heartbeat_with("a", 1, CORES_4);
    leader.advised(by, &request);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against an empty worker that gets a task larger than it, because the reserve for urgent tasks is
/// ignored on an empty worker.
#[test]
fn empty_worker_gets_no_task_larger_than_its_smaller_capacity() {
    let mut leader = Leader::new(queue(), &["a"]);
    let mut large = step(1, 600);
    large.demand.processors_millis = 4_001;

    leader.heartbeat_with("a", 1, CORES_4);
    leader.submit(JobId(1), vec![large]);

    assert_eq!(leader.take_starts(), []);
}

/// Guards against a late heartbeat that gives a worker its earlier capacity again.
#[test]
fn heartbeat_out_of_order_does_not_restore_the_larger_capacity() {
    let mut leader = Leader::new(queue(), &["a"]);

    leader.heartbeat_sequence("a", 50, CORES_4);
    leader.heartbeat_sequence("a", 49, CORES_16);
    leader.submit(JobId(1), vec![step(8, 600)]);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against a new leader that starts with the capacity of an earlier state.
#[test]
fn new_leader_uses_the_replicated_capacity() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.heartbeat_with("a", 1, CORES_4);
    leader.take_calls();

    leader.replace_planner();
    leader.take_calls();
    leader.advance(100);
    leader.report_runs("a", HoldKind::Renewal, &[], &[]);
    leader.submit(JobId(1), vec![step(8, 600)]);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against a delayed heartbeat that a new leader, which knows no earlier sequence number, takes for
/// the present state of the worker.
#[test]
fn new_leader_ignores_a_heartbeat_from_before_the_worker_shrank() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.now_ms = 60_000;
    leader.heartbeat_with("a", 1, CORES_4);
    leader.take_calls();
    leader.replace_planner();
    leader.advance(100);
    leader.take_calls();
    leader.report_runs("a", HoldKind::Renewal, &[], &[]);

    let now_ms = leader.now_ms;
    leader.now_ms = now_ms - 10_000;
    let late = leader.report_with("a", 1, 7, CORES_16);
    leader.now_ms = now_ms;
    leader.heartbeat_report(late);
    leader.submit(JobId(1), vec![step(8, 600)]);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against waiting tasks that are not placed when a worker has grown again.
#[test]
fn placement_resumes_when_the_capacity_has_grown_again() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.heartbeat_with("a", 1, CORES_4);
    leader.submit(JobId(1), vec![step(8, 600)]);
    assert_eq!(leader.take_starts().len(), 2);

    leader.now_ms += 100;
    leader.heartbeat_with("a", 1, CORES_16);

    assert_eq!(leader.take_starts().len(), 6);
}

/// Guards against placement on a new incarnation by the capacity of the one before it: a report shows the
/// restart, and the heartbeat with the capacity arrives later.
#[test]
fn new_incarnation_gets_no_start_before_it_has_reported_its_capacity() {
    let mut leader = Leader::new(queue(), &["a"]);
    let started_unix_ms = UNIX_START_MS;

    leader.advance(100);
    leader.report_of("a", HoldKind::Check, started_unix_ms, &[]);
    leader.submit(JobId(1), vec![step(8, 600)]);
    assert_eq!(leader.take_starts(), []);
    leader.now_ms += 100;
    leader.heartbeat_with("a", started_unix_ms, CORES_4);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Time after which a step that could not be placed is tried again, in milliseconds.
const RETRY_MS: u64 = 20;

/// Guards against a start on a worker whose heartbeats do not arrive, so that its known capacity may be
/// out of date, while it still answers the calls of the leader.
#[test]
fn worker_without_recent_heartbeats_gets_no_start() {
    let mut leader = Leader::new(queue(), &["a"]);
    for _ in 0..10 {
        leader.advance(500);
        leader.take_calls();
        leader.report_runs("a", HoldKind::Renewal, &[], &[]);
    }

    leader.submit(JobId(1), vec![step(8, 600)]);
    assert_eq!(leader.take_starts(), []);
    leader.heartbeat_with("a", 1, CORES_4);
    leader.advance(RETRY_MS);

    assert_eq!(leader.take_starts().len(), 2);
}

/// Guards against a leader that starts nothing while it receives heartbeats late or not at all.
#[test]
fn workers_get_starts_while_most_heartbeats_are_overdue() {
    let names: Vec<_> = (0..8).map(|number| format!("w-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut leader = Leader::new(queue(), &names);
    for _ in 0..10 {
        leader.advance(500);
        leader.take_calls();
        for name in &names {
            leader.report_runs(name, HoldKind::Renewal, &[], &[]);
        }
    }

    leader.submit(JobId(1), vec![step(8, 600)]);

    assert_eq!(leader.take_starts().len(), 8);
}

/// Guards against a task that uses idle processor time and whose memory does not fit any more.
#[test]
fn filling_task_needs_the_memory_of_the_smaller_capacity() {
    let mut leader = Leader::new(queue(), &["a"]);
    let filling = StepSpec {
        fills_idle: true,
        ..step(4, 600)
    };

    leader.heartbeat_with(
        "a",
        1,
        Resources {
            memory_bytes: 1 << 20,
            ..CORES_16
        },
    );
    leader.submit(JobId(1), vec![filling]);

    assert_eq!(leader.take_starts().len(), 1);
}
