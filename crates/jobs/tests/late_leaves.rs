//! Messages that a worker has left, of the worker itself and of an earlier incarnation of it.

mod common;

use {
    common::{Leader, Sent, TICK_MS, UNIX_START_MS, queue, step},
    fuchsiatack_jobs::{CellCall, HoldKind, JobId, RunId, StepSpec, WorkerCallError},
    fuchsiatack_model::WorkerName,
};

/// Start time of the second incarnation of worker `a`, in milliseconds since the Unix epoch.
const SECOND_START_MS: u64 = UNIX_START_MS;
/// Lease of a run in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Time after a restart until which a late start order of the leader's may hold a lease, in milliseconds.
const EARLIER_LEASES_MS: u64 = 12_000;
/// Time after the end of a lease within which a task starts again, in milliseconds.
const RESTART_MS: u64 = 500;

/// Returns a leader with a lasting task on the second incarnation of worker `a`, and with the idle worker `b`.
fn leader_with_a_lasting_task() -> (Leader, RunId) {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.heartbeat_of("a", SECOND_START_MS, 1);
    leader.report_of("a", HoldKind::Renewal, SECOND_START_MS, &[]);
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 0)
    };
    leader.submit(JobId(1), vec![lasting]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.started(&worker, run, Ok(leader.now_ms));
    leader.heartbeat("b");
    leader.report_runs("b", HoldKind::Renewal, &[], &[]);
    leader.advance(TICK_MS);
    leader.report_of("a", HoldKind::Renewal, SECOND_START_MS, &[run]);
    answered_renewals(&mut leader, run, EARLIER_LEASES_MS);
    (leader, run)
}

/// Keeps worker `b` reachable.
fn renew_other(leader: &mut Leader, calls: &[Sent]) {
    leader.heartbeat("b");
    let is_renewal = |call: &&Sent| matches!(call, Sent::Renew { worker, .. } if worker.as_str() == "b");
    if calls.iter().any(|call| is_renewal(&call)) {
        leader.report_runs("b", HoldKind::Renewal, &[], &[]);
    }
}

/// Advances the time while no call to worker `a` has a response. Returns the number of starts on worker `b`.
fn starts_elsewhere(leader: &mut Leader, duration_ms: u64) -> usize {
    let mut starts = 0;
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        let calls = leader.take_calls();
        renew_other(leader, &calls);
        for call in calls {
            match call {
                Sent::Renew { worker, .. } if worker.as_str() == "a" => {
                    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unreachable));
                }
                Sent::Start { .. } => starts += 1,
                _ => {}
            }
        }
    }
    starts
}

/// Advances the time while worker `a` answers its renewals with one run. Returns them, with their waits.
fn answered_renewals(leader: &mut Leader, run: RunId, duration_ms: u64) -> Vec<u64> {
    let mut waits_ms = Vec::new();
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        let calls = leader.take_calls();
        renew_other(leader, &calls);
        for call in calls {
            if let Sent::Renew { wait_ms, worker } = call
                && worker.as_str() == "a"
            {
                waits_ms.push(wait_ms);
                leader.report_of("a", HoldKind::Renewal, SECOND_START_MS, &[run]);
            }
        }
    }
    waits_ms
}

/// Guards against two runs of a task: a message that an earlier incarnation has left arrived late, and the
/// first call without a response then ended the runs of the present one before their leases.
#[test]
fn late_leave_of_an_earlier_incarnation_ends_no_runs() {
    let (mut leader, run) = leader_with_a_lasting_task();

    leader.call(CellCall::Leave(WorkerName::new("a")));
    leader.advance(TICK_MS);
    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unanswered));
    let early = starts_elsewhere(&mut leader, LEASE_MS - RESTART_MS);
    leader.report_of("a", HoldKind::Check, SECOND_START_MS, &[run]);
    let calls = leader.take_calls();

    assert_eq!(early, 0);
    assert!(
        !calls.iter().any(|call| matches!(call, Sent::Stop { .. })),
        "{calls:?}"
    );
}

/// Guards against tasks that wait for longer than their leases after their worker has left.
#[test]
fn tasks_of_a_worker_that_left_start_again_after_their_leases() {
    let (mut leader, _) = leader_with_a_lasting_task();

    leader.call(CellCall::Leave(WorkerName::new("a")));
    let starts = starts_elsewhere(&mut leader, LEASE_MS + RESTART_MS);

    assert_eq!(starts, 1);
}

/// Guards against leases that lapse on a live worker after the late message of an earlier incarnation, and
/// against renewals in quick succession until its next heartbeat.
#[test]
fn leases_are_renewed_again_on_a_worker_that_responds_after_a_leave() {
    let (mut leader, run) = leader_with_a_lasting_task();

    leader.call(CellCall::Leave(WorkerName::new("a")));
    let waits_ms = answered_renewals(&mut leader, run, LEASE_MS / 2);

    assert!(
        waits_ms.last().is_some_and(|wait_ms| *wait_ms > 0),
        "{waits_ms:?}"
    );
    assert!(
        waits_ms.iter().filter(|wait_ms| **wait_ms == 0).count() <= 3,
        "{waits_ms:?}"
    );
}
