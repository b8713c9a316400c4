//! Ejection of failing workers, and the choice of a worker for a task.

use {
    fuchsiatack_jobs::{
        JobId, WorkerHealth,
        placement::{Candidate, choose},
    },
    fuchsiatack_model::Resources,
};

fn cores(count: u32) -> Resources {
    Resources {
        processors_millis: count * 1_000,
        ..Resources::NONE
    }
}

fn candidate(key: &str, capacity: u32, used: u32, slowness_thousandths: u64) -> Candidate<&str> {
    Candidate {
        shares_processors: false,
        capacity: cores(capacity),
        is_cold: false,
        key,
        is_near_data: true,
        slowness_thousandths,
        used: cores(used),
    }
}

fn chosen(candidates: &[Candidate<&'static str>], task: u32, kept_free_percent: u32) -> Option<&'static str> {
    choose(candidates, &cores(task), kept_free_percent, |_| true).map(|position| candidates[position].key)
}

/// Guards against a worker that fails every run immediately, so that it looks empty and attracts
/// all tasks.
#[test]
fn worker_that_fails_several_jobs_is_ejected_and_returns_on_probation() {
    let mut health = WorkerHealth::default();

    assert!(
        !health.record_failure(0, JobId(1)),
        "one job may fail through its own fault"
    );
    assert!(
        !health.record_failure(10, JobId(1)),
        "repeated failures of the same job count once"
    );
    assert!(health.record_failure(20, JobId(2)));
    assert!(health.is_ejected(1_000) && !health.is_ejected(2_000) && health.is_on_probation());
    assert!(
        health.record_failure(2_000, JobId(3)),
        "a single failure on probation causes an ejection"
    );
    assert!(health.is_ejected(4_500), "the second ejection is longer");
    health.record_success();
    assert!(!health.is_ejected(4_500) && !health.is_on_probation());
}

/// Guards against the choice of a slow worker because it is empty.
#[test]
fn fast_worker_is_preferred_to_an_empty_slow_one() {
    let candidates = [candidate("slow", 32, 0, 1_700), candidate("fast", 32, 16, 700)];

    assert_eq!(chosen(&candidates, 2, 0), Some("fast"));
}

/// Guards against large tasks that take the capacity which a burst of urgent tasks needs.
#[test]
fn less_urgent_tasks_leave_a_reserve_on_each_worker() {
    let candidates = [candidate("full", 32, 28, 700), candidate("free", 32, 8, 1_700)];

    assert_eq!(chosen(&candidates, 3, 0), Some("full"));
    assert_eq!(chosen(&candidates, 3, 10), Some("free"));
    assert_eq!(
        chosen(&candidates[..1], 5, 0),
        None,
        "the worker would exceed its capacity"
    );
}

/// Guards against a large task that waits for an empty worker for good, while small tasks that last run on all of
/// them and leave enough room.
#[test]
fn used_worker_accepts_a_task_that_could_never_leave_the_reserve() {
    let candidates = [candidate("full", 32, 2, 1_000), candidate("free", 32, 1, 1_000)];

    assert_eq!(chosen(&candidates, 31, 10), Some("free"));
    assert_eq!(
        chosen(&candidates, 28, 10),
        None,
        "this one fits beside the reserve elsewhere"
    );
}

/// Guards against a task that no worker accepts because it needs the reserved part of every worker.
#[test]
fn empty_worker_accepts_a_task_that_needs_all_of_it() {
    assert_eq!(chosen(&[candidate("empty", 16, 0, 1_000)], 16, 10), Some("empty"));
}
