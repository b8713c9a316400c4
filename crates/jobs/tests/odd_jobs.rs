//! Odd values in jobs. Guards against sums that overflow in the leader.

mod common;

use {
    common::{Leader, WORKER_CAPACITY, queue, step},
    fuchsiatack_jobs::{CellCall, JobAction, JobCall, JobId, JobResponse, JobSpec, Schedule, StepSpec},
    fuchsiatack_model::Resources,
};

/// Returns the response to the submission of a job.
fn submit(spec: JobSpec) -> JobResponse {
    let mut leader = Leader::new(queue(), &["a"]);
    leader.call(CellCall::Job(JobCall {
        action: JobAction::Submit(Box::new(spec)),
        host: "host".into(),
        key: Some("key".into()),
        path: format!("/q/{}", JobId(1)).into(),
    }));
    leader.take_responses().remove(0)
}

fn job(steps: Vec<StepSpec>, schedule: Option<Schedule>) -> JobSpec {
    JobSpec {
        payload: "payload".into(),
        schedule,
        steps,
    }
}

/// Guards against the sum of the estimates of a job that overflows.
#[test]
fn job_with_an_absurd_estimate_is_rejected() {
    let response = submit(job(vec![step(1, u64::MAX), step(1, u64::MAX)], None));

    assert!(matches!(response, JobResponse::Invalid(_)), "{response:?}");
}

/// Guards against an occurrence that starts before its time because its due time overflows.
#[test]
fn job_with_an_absurd_schedule_is_rejected() {
    let schedules = [(u64::MAX, 1), (0, u64::MAX)].map(|(start_unix_ms, interval_ms)| Schedule {
        interval_ms,
        occurrences: 3,
        start_unix_ms,
    });
    for schedule in schedules {
        let response = submit(job(vec![step(1, 600)], Some(schedule)));

        assert!(matches!(response, JobResponse::Invalid(_)), "{response:?}");
    }
}

/// Guards against the use of a worker that overflows when both it and a task have the largest amounts.
#[test]
fn largest_task_on_the_largest_worker_overflows_nothing() {
    let largest = Resources {
        memory_bytes: u64::MAX,
        processors_millis: u32::MAX,
        ..WORKER_CAPACITY
    };
    let mut leader = Leader::new(queue(), &["a"]);
    let mut large = step(2, 600);
    large.demand = largest;

    leader.heartbeat_with("a", 1, largest);
    leader.submit(JobId(1), vec![large]);

    assert_eq!(leader.take_starts().len(), 1);
}
