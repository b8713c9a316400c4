//! Cancels of jobs by callers with another key, or none, than that of the submission.

mod common;

use {
    common::{Leader, Sent, configuration, queue, step},
    fuchsiatack_jobs::{
        CellCall, Configuration, JobAction, JobCall, JobId, JobResponse, JobSpec, Queue, Team,
    },
    fuchsiatack_model::{Resources, TeamName},
    smol_str::{SmolStr, format_smolstr},
};

const JOB: JobId = JobId(1);

fn job_call(action: JobAction, key: Option<&str>) -> CellCall {
    CellCall::Job(JobCall {
        action,
        host: "host".into(),
        key: key.map(SmolStr::new),
        path: format_smolstr!("/q/{JOB}"),
    })
}

fn submission() -> JobAction {
    JobAction::Submit(Box::new(JobSpec {
        payload: "payload".into(),
        schedule: None,
        steps: vec![step(1, 600)],
    }))
}

fn open_queue() -> Queue {
    Queue {
        is_open: true,
        ..queue()
    }
}

/// Returns a configuration with a second team.
fn configuration_with_other_team(version: u64, queue: Queue) -> Configuration {
    let mut configuration = configuration(queue);
    configuration.version = version;
    configuration.teams.push(Team {
        keys: vec!["other".into()],
        limit: Resources::NONE,
        name: TeamName::new("other"),
        weight: 1,
    });
    configuration
}

/// Guards against the start of a job of an open queue whose early cancel carried a key while its
/// submission carries none. On an open queue any caller may cancel a job.
#[test]
fn early_cancel_on_an_open_queue_concerns_a_submission_without_a_key() {
    let mut leader = Leader::new(open_queue(), &["a"]);
    leader.call(job_call(JobAction::Cancel, Some("key")));

    leader.call(job_call(submission(), None));

    assert_eq!(leader.take_starts(), Vec::new());
}

/// Guards against the start of a job whose early cancel came without a key while the queue was open,
/// and whose submission carries a key because the queue no longer is.
#[test]
fn early_cancel_without_a_key_concerns_a_submission_after_the_queue_is_closed() {
    let mut leader = Leader::new(open_queue(), &["a"]);
    leader.call(job_call(JobAction::Cancel, None));
    leader.call(CellCall::Configure(Box::new(configuration_with_other_team(
        2,
        queue(),
    ))));

    leader.call(job_call(submission(), Some("key")));

    assert_eq!(leader.take_starts(), Vec::new());
}

/// Guards against a job that runs on although its cancel was acknowledged as that of an unknown job: it
/// was submitted without a key while its queue was open, and cancelled with a key afterwards.
#[test]
fn job_without_a_team_is_cancelled_after_its_queue_is_closed() {
    let mut leader = Leader::new(open_queue(), &["a"]);
    leader.call(job_call(submission(), None));
    let (run, worker) = leader.take_starts().remove(0);
    leader.started(&worker, run, Ok(0));
    leader.call(CellCall::Configure(Box::new(configuration_with_other_team(
        2,
        queue(),
    ))));
    leader.take_calls();

    leader.call(job_call(JobAction::Cancel, Some("key")));

    assert!(leader.take_calls().contains(&Sent::Stop { run, worker }));
}

/// Guards against the start of a job whose early cancel was acknowledged while the early cancel of
/// another team for the same identifier was stored.
#[test]
fn early_cancels_of_two_teams_are_both_kept() {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.call(CellCall::Configure(Box::new(configuration_with_other_team(
        2,
        queue(),
    ))));
    leader.call(job_call(JobAction::Cancel, Some("other")));
    leader.call(job_call(JobAction::Cancel, Some("key")));
    assert_eq!(
        leader.take_responses(),
        vec![JobResponse::NoSuchJob, JobResponse::NoSuchJob]
    );

    leader.call(job_call(submission(), Some("key")));

    assert_eq!(leader.take_starts(), Vec::new());
}
