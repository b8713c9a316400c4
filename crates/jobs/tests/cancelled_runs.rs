//! Runs of cancelled jobs that a worker begins or lists after the leader takes them as gone.

mod common;

use {
    common::{Leader, Sent, UNIX_START_MS, queue, step},
    fuchsiatack_jobs::{
        CellCall, HoldKind, JobAction, JobCall, JobEvent, JobId, JobResponse, JobState, PlannerSettings,
        Queue, RunId, StepSpec, Team, WorkerCallError,
    },
    fuchsiatack_model::{Resources, TeamName, WorkerName},
    smol_str::format_smolstr,
};

const JOB: JobId = JobId(1);

fn lasting_step() -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(1, 600)
    }
}

fn job_call(action: JobAction, key: &str) -> CellCall {
    CellCall::Job(JobCall {
        action,
        host: "host".into(),
        key: Some(key.into()),
        path: format_smolstr!("/q/{JOB}"),
    })
}

fn cancel(leader: &mut Leader) {
    leader.call(job_call(JobAction::Cancel, "key"));
}

/// Returns the response to a read of the job.
fn read(leader: &mut Leader) -> JobResponse {
    leader.take_calls();
    leader.call(job_call(JobAction::Read, "key"));
    leader.take_responses().remove(0)
}

/// Starts a lasting task on worker `a`, whose start order has no response and is stopped. Returns
/// the run when the worker has confirmed the stop.
fn stop_unanswered_start(leader: &mut Leader) -> RunId {
    leader.submit(JOB, vec![lasting_step()]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.advance(3);
    leader.report_runs("a", HoldKind::Check, &[], &[]);
    leader.advance(3);
    leader.stopped(&worker, run);
    leader.take_calls();
    run
}

/// Starts a job whose first step is a gang on workers `a` and `b`, and reports the member on `b` as done.
/// Returns the run on `a`.
fn end_one_gang_member(leader: &mut Leader, following: Vec<StepSpec>) -> RunId {
    let gang = StepSpec {
        gang: true,
        max_per_worker: Some(1),
        ..step(2, 600)
    };
    let steps = std::iter::once(gang).chain(following).collect();
    leader.submit(JOB, steps);
    let members = leader.take_starts();
    for (run, worker) in &members {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
    let run_on = |name: &str| {
        let on = |(_, worker): &&(RunId, WorkerName)| *worker == WorkerName::new(name);
        members.iter().find(on).expect("each worker has a member").0
    };
    leader.advance(25);
    leader.report_runs("b", HoldKind::Renewal, &[], &[(1, run_on("b"))]);
    run_on("a")
}

/// Returns the calls of the leader in the next `duration_ms`, to which no worker responds.
fn calls_during(leader: &mut Leader, duration_ms: u64) -> Vec<Sent> {
    const TICK_MS: u64 = 25;
    let mut calls = Vec::new();
    for _ in 0..duration_ms / TICK_MS {
        leader.advance(TICK_MS);
        calls.extend(leader.take_calls());
    }
    calls
}

fn stops(calls: &[Sent], run: RunId) -> bool {
    calls.contains(&Sent::Stop {
        run,
        worker: WorkerName::new("a"),
    })
}

/// Guards against a run that is never stopped: the stop was confirmed by the incarnation of the
/// worker that crashed, and the next one began the run on the late start order.
#[test]
fn run_listed_after_a_confirmed_stop_is_stopped_again() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    leader.complete_hold("a", HoldKind::Check, Err(WorkerCallError::Unanswered));
    leader.advance(1_000);

    leader.report_of("a", HoldKind::Check, UNIX_START_MS, &[run]);
    cancel(&mut leader);

    assert!(stops(&calls_during(&mut leader, 1_000), run));
}

/// Guards against a late start order that a restarted worker carries out: the earlier incarnation had
/// confirmed the stop of the run, and the leader sent nothing to the new one.
#[test]
fn late_start_is_stopped_on_a_restarted_worker() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    leader.report_of("a", HoldKind::Check, 1, &[]);
    cancel(&mut leader);
    leader.advance(1_000);
    leader.take_calls();

    leader.report_of("a", HoldKind::Renewal, UNIX_START_MS, &[]);

    assert!(stops(&calls_during(&mut leader, 100), run));
    assert!(
        stops(&calls_during(&mut leader, 500), run),
        "a stop without a response is repeated"
    );
    leader.stopped(&WorkerName::new("a"), run);
    assert!(
        !stops(&calls_during(&mut leader, 1_000), run),
        "the new incarnation has confirmed the stop"
    );
}

/// Guards against the same if the run ended for the leader before the restart, as that of a job which was
/// cancelled then.
#[test]
fn late_start_of_an_ended_run_is_stopped_on_a_restarted_worker() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    cancel(&mut leader);
    leader.report_of("a", HoldKind::Check, 1, &[]);
    leader.advance(1_000);
    leader.take_calls();

    leader.report_of("a", HoldKind::Renewal, UNIX_START_MS, &[]);

    assert!(stops(&calls_during(&mut leader, 100), run));
    assert!(
        stops(&calls_during(&mut leader, 500), run),
        "a stop without a response is repeated"
    );
    leader.stopped(&WorkerName::new("a"), run);
    assert!(
        !stops(&calls_during(&mut leader, 1_000), run),
        "the new incarnation has confirmed the stop"
    );
}

/// Guards against a late start order on a worker that left, was removed, and registered again under its
/// name: the leader sent it no stop of the run.
#[test]
fn late_start_is_stopped_on_a_worker_that_registers_again() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    leader.report_of("a", HoldKind::Check, 1, &[]);
    leader.call(CellCall::Leave(WorkerName::new("a")));
    leader.advance(25);
    leader.complete_hold("a", HoldKind::Renewal, Err(WorkerCallError::Unreachable));
    leader.advance(1_000);
    leader.take_calls();

    leader.heartbeat("a");

    assert!(stops(&calls_during(&mut leader, 100), run));
}

/// Guards against a superseded run that continues because the only order to stop it was lost.
#[test]
fn lost_stop_of_a_superseded_run_is_repeated() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    leader.report_of("a", HoldKind::Check, 1, &[]);
    cancel(&mut leader);
    leader.advance(1_000);
    leader.report_of("a", HoldKind::Renewal, UNIX_START_MS, &[run]);
    assert!(stops(&leader.take_calls(), run));

    leader.handle(JobEvent::Stopped {
        result: Err(WorkerCallError::Unanswered),
        run,
        sent_ms: leader.now_ms,
        worker: WorkerName::new("a"),
    });
    let calls = calls_during(&mut leader, 1_000);

    assert!(stops(&calls, run));
}

/// Guards against the same if the run ended for the leader before it was listed, as that of a job which was
/// cancelled then.
#[test]
fn lost_stop_of_an_ended_run_is_repeated() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    cancel(&mut leader);
    leader.report_of("a", HoldKind::Check, 1, &[]);
    leader.advance(1_000);
    leader.report_of("a", HoldKind::Renewal, UNIX_START_MS, &[run]);
    assert!(stops(&leader.take_calls(), run));

    leader.handle(JobEvent::Stopped {
        result: Err(WorkerCallError::Unanswered),
        run,
        sent_ms: leader.now_ms,
        worker: WorkerName::new("a"),
    });
    let calls = calls_during(&mut leader, 1_000);

    assert!(stops(&calls, run));
}

/// Guards against the start of a job whose cancel was answered with `NoSuchJob` before a delayed
/// submission of the job arrived.
#[test]
fn job_cancelled_before_its_submission_does_not_start() {
    let mut leader = Leader::new(queue(), &["a"]);
    cancel(&mut leader);
    leader.advance(3_500);

    leader.submit(JOB, vec![lasting_step()]);

    assert_eq!(leader.take_starts(), Vec::new());
}

/// Guards against a job that is shown although nobody has submitted it, and against one of which the
/// submission is shown as running after its cancel was acknowledged.
#[test]
fn job_cancelled_before_its_submission_is_unknown_and_then_cancelled() {
    let mut leader = Leader::new(queue(), &["a"]);

    cancel(&mut leader);
    assert_eq!(read(&mut leader), JobResponse::NoSuchJob);
    leader.submit(JOB, vec![lasting_step()]);

    assert_eq!(read(&mut leader), JobResponse::State(JobState::Cancelled));
}

/// Guards against a team that keeps the jobs of another team from starting by cancelling them in
/// advance.
#[test]
fn cancel_of_an_unknown_job_does_not_concern_other_teams() {
    let mut leader = Leader::new(queue(), &["a"]);
    let mut configuration = common::configuration(queue());
    configuration.version = 2;
    configuration.teams.push(Team {
        keys: vec!["other".into()],
        limit: Resources::NONE,
        name: TeamName::new("other"),
        weight: 1,
    });
    leader.call(CellCall::Configure(Box::new(configuration)));
    leader.call(job_call(JobAction::Cancel, "other"));

    leader.submit(JOB, vec![lasting_step()]);

    assert_eq!(leader.take_starts().len(), 1);
}

/// Guards against a cancelled job that a repeated submission starts: a step of the wall clock made the job
/// look old enough to be removed.
#[test]
fn cancelled_job_is_kept_when_the_wall_clock_steps() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JOB, vec![lasting_step()]);
    cancel(&mut leader);

    leader.unix_step_ms = 400_000;
    leader.advance(5_000);
    leader.submit(JOB, vec![lasting_step()]);

    assert_eq!(leader.take_starts(), Vec::new());
    assert_eq!(read(&mut leader), JobResponse::State(JobState::Cancelled));
}

/// Guards against ended jobs that fill the memory because they are never removed.
#[test]
fn ended_job_is_removed_after_the_retention_period() {
    let mut leader = Leader::new(queue(), &["a"]);
    let retention_ms = PlannerSettings::default().retention_ms;
    leader.submit(JOB, vec![lasting_step()]);
    cancel(&mut leader);
    leader.advance(5_000);

    leader.advance(retention_ms - 10_000);
    assert_eq!(read(&mut leader), JobResponse::State(JobState::Cancelled));
    leader.advance(20_000);

    assert_eq!(read(&mut leader), JobResponse::NoSuchJob);
}

/// Guards against a member of a gang that runs on after the cancel of its job because another member was
/// done.
#[test]
fn gang_members_of_a_cancelled_job_are_stopped_after_one_is_done() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    let next = StepSpec {
        depends_on: vec![0],
        ..lasting_step()
    };
    let run = end_one_gang_member(&mut leader, vec![next]);

    cancel(&mut leader);

    assert!(stops(&calls_during(&mut leader, 100), run));
}

/// Guards against a late start on a worker that was unreachable until the lease had expired and that counts
/// the lease from the arrival of the order.
#[test]
fn late_start_is_stopped_on_a_worker_that_is_reachable_again() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.submit(JOB, vec![lasting_step()]);
    let (run, worker) = leader.take_starts().remove(0);
    leader.advance(350);
    leader.started(&worker, run, Err(WorkerCallError::Unanswered));
    leader.complete_hold("a", HoldKind::Check, Err(WorkerCallError::Unanswered));
    calls_during(&mut leader, 6_000);
    cancel(&mut leader);

    leader.report_of("a", HoldKind::Renewal, 1, &[]);

    assert!(stops(&calls_during(&mut leader, 100), run));
}

/// Guards against the start of a job in an open queue whose cancel carried no key and arrived before the
/// submission.
#[test]
fn job_of_an_open_queue_cancelled_before_its_submission_does_not_start() {
    let open = Queue {
        is_open: true,
        ..queue()
    };
    let mut leader = Leader::new(open, &["a"]);
    leader.call(CellCall::Job(JobCall {
        action: JobAction::Cancel,
        host: "host".into(),
        key: None,
        path: format_smolstr!("/q/{JOB}"),
    }));

    leader.submit(JOB, vec![lasting_step()]);

    assert_eq!(leader.take_starts(), Vec::new());
}

/// Guards against a gang member that runs on after a cancel because the job had ended with the first member
/// that was done.
#[test]
fn gang_members_of_a_completed_job_are_stopped_by_a_cancel() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    let run = end_one_gang_member(&mut leader, Vec::new());
    assert!(!stops(&calls_during(&mut leader, 100), run));

    cancel(&mut leader);

    assert!(stops(&calls_during(&mut leader, 100), run));
}

/// Guards against a gang member that runs on because the leader was replaced between the cancel of its job and
/// the stop, and another member was done.
#[test]
fn new_leader_stops_gang_members_of_a_cancelled_job_after_one_is_done() {
    let mut leader = Leader::new(queue(), &["a", "b"]);
    let next = StepSpec {
        depends_on: vec![0],
        ..lasting_step()
    };
    let run = end_one_gang_member(&mut leader, vec![next]);
    cancel(&mut leader);
    leader.take_calls();

    leader.replace_planner();

    assert!(stops(&calls_during(&mut leader, 100), run));
}

/// Guards against a run that is never stopped although the same incarnation of its worker lists it long after
/// it confirmed the stop.
#[test]
fn run_listed_by_the_same_incarnation_after_a_confirmed_stop_is_stopped_again() {
    let mut leader = Leader::new(queue(), &["a"]);
    let run = stop_unanswered_start(&mut leader);
    leader.complete_hold("a", HoldKind::Check, Err(WorkerCallError::Unanswered));
    leader.advance(1_000);
    leader.take_calls();

    leader.report_of("a", HoldKind::Check, 1, &[run]);

    assert!(stops(&calls_during(&mut leader, 1_000), run));
}
