//! Submissions of large jobs that arrive at the same time.

mod common;

use {
    common::{Cell, caller},
    fuchsiatack_jobs::{
        CellCall, CellResponse, Configuration, JobAction, JobCall, JobId, JobResponse, JobSpec, Queue,
        StepSpec,
    },
    fuchsiatack_model::QueueName,
    fuchsiatack_store::Store,
    fuchsiatack_wire::{Request, Response},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Number of submissions. Encoded in one log entry, they would exceed what one message between members holds.
const JOBS: u64 = 150;
/// Number of steps of each job, which take about 120 KB.
const STEPS: usize = 5_000;
/// Longest wait for the responses. It ends a test that hangs and is no measurement.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two tries of a call.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

fn configuration() -> Configuration {
    Configuration {
        document: Vec::new(),
        queues: vec![Queue {
            advice: None,
            host: "host".into(),
            is_open: true,
            max_attempts: 3,
            name: QueueName::new("queue"),
            path_prefix: "/q/".into(),
            priority: 0,
            service: "service".into(),
            stretch: 1.5,
            target_latency_ms: 250,
        }],
        services: vec!["service".into()],
        teams: Vec::new(),
        version: 1,
    }
}

fn submission(job: JobId) -> CellCall {
    let spec = JobSpec {
        payload: "payload".into(),
        schedule: None,
        steps: vec![StepSpec::default(); STEPS],
    };
    CellCall::Job(JobCall {
        action: JobAction::Submit(Box::new(spec)),
        host: "host".into(),
        key: None,
        path: format!("/q/{job}").into(),
    })
}

async fn call(store: &Store, call: CellCall) -> Response {
    store.call(caller(1).0, Request::Cell(Box::new(call))).await
}

/// Guards against a log entry that no follower can take, and against a leader that loses its lease since it
/// handles all calls before it reads the messages of its followers.
#[tokio::test(flavor = "multi_thread")]
async fn large_jobs_at_the_same_time_are_accepted_by_one_leader() {
    let cell = Cell::start_with_planner(3).await;
    let store = cell.store(cell.leader().await).clone();
    let configure = CellCall::Configure(Box::new(configuration()));
    while call(&store, configure.clone()).await != Response::Cell(Box::new(CellResponse::Done)) {
        sleep(RETRY_PERIOD).await;
    }
    let term = store.status().term;

    let submissions = (1..=JOBS).map(|job| {
        let store = store.clone();
        let submission = submission(JobId(job));
        tokio::spawn(async move { call(&store, submission).await })
    });
    let submissions: Vec<_> = submissions.collect();
    let mut accepted = 0;
    let mut other = None;
    for submission in submissions {
        let response = timeout(RESPONSE_TIMEOUT, submission).await;
        let response = response
            .expect("a submission has a response")
            .expect("no task panics");
        let is_accepted = response == Response::Cell(Box::new(CellResponse::Job(JobResponse::Accepted)));
        match is_accepted {
            true => accepted += 1,
            false => other = Some(response),
        }
    }

    let (role, later_term) = (store.status().role, store.status().term);
    assert_eq!(
        accepted, JOBS,
        "{role:?} in {later_term:?} after {term:?}: {other:?}"
    );
    assert_eq!(later_term, term);
}
