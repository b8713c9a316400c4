//! Gangs whose members are suspected of crashing workers.

mod common;

use {
    common::{Leader, Sent, TICK_MS, UNIX_START_MS, queue, step},
    fuchsiatack_jobs::{HoldKind, JobId, StepSpec},
};

/// Time from a start of the gang to the crash of its worker, in milliseconds.
const WORKED_MS: u64 = 500;
/// Time within which the gang has to start again after its worker has returned, in milliseconds.
const RETURN_LIMIT_MS: u64 = 5_000;

/// Runs for `duration_ms` with worker `a` as it is since `started_unix_ms`. Returns the number of starts, after
/// which it ends early.
fn starts_on(leader: &mut Leader, started_unix_ms: u64, duration_ms: u64) -> usize {
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        leader.heartbeat_of("a", started_unix_ms, leader.now_ms);
        let mut started = Vec::new();
        for call in leader.take_calls() {
            match call {
                Sent::Check(_) => leader.report_of("a", HoldKind::Check, started_unix_ms, &[]),
                Sent::Renew { .. } => leader.report_of("a", HoldKind::Renewal, started_unix_ms, &[]),
                Sent::Start { run, worker } => started.push((run, worker)),
                Sent::Advise { .. } | Sent::Pace { .. } | Sent::Stop { .. } => {}
            }
        }
        for (run, worker) in &started {
            leader.started(worker, *run, Ok(leader.now_ms));
        }
        if !started.is_empty() {
            return started.len();
        }
    }
    0
}

/// Guards against a gang that never starts again: each member that was lost twice needed a worker of its own,
/// and there were fewer workers than members.
#[test]
fn gang_starts_again_on_its_only_worker_after_two_crashes() {
    let mut leader = Leader::new(queue(), &["a"]);
    let gang = StepSpec {
        gang: true,
        ..step(2, 3_000)
    };
    leader.submit(JobId(1), vec![gang]);

    let mut starts = Vec::new();
    for crash in 0..3 {
        starts.push(starts_on(&mut leader, UNIX_START_MS + crash, RETURN_LIMIT_MS));
        leader.advance(WORKED_MS);
    }

    assert_eq!(starts, [2, 2, 2]);
}
