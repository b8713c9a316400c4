//! Single decisions, each with the load that it answers.

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
        capacity: cores(capacity),
        key,
        is_near_data: true,
        slowness_thousandths,
        used: cores(used),
    }
}

fn chosen(candidates: &[Candidate<&'static str>], task: u32, kept_free_percent: u32) -> Option<&'static str> {
    choose(candidates, &cores(task), kept_free_percent, |_| true).map(|position| candidates[position].key)
}

/// Guards against a worker that fails everything at once and so attracts all work.
#[test]
fn a_worker_that_fails_several_jobs_is_taken_out_and_returns_on_trial() {
    let mut health = WorkerHealth::default();

    assert!(!health.record_failure(0, JobId(1)), "one job may fail by itself");
    assert!(!health.record_failure(10, JobId(1)), "also more than once");
    assert!(health.record_failure(20, JobId(2)));
    assert!(health.is_ejected(1_000) && !health.is_ejected(2_000) && health.is_on_probation());
    assert!(health.record_failure(2_000, JobId(3)), "it failed its trial");
    assert!(health.is_ejected(4_500), "the second time is longer");
    health.record_success();
    assert!(!health.is_ejected(4_500) && !health.is_on_probation());
}

/// Guards against a slow worker that is taken because it is empty.
#[test]
fn a_fast_worker_goes_before_an_empty_slow_one() {
    let candidates = [candidate("slow", 32, 0, 1_700), candidate("fast", 32, 16, 700)];

    assert_eq!(chosen(&candidates, 2, 0), Some("fast"));
}

/// Guards against large work that takes the room which a burst of urgent work needs.
#[test]
fn less_urgent_work_leaves_a_part_of_each_worker_free() {
    let candidates = [candidate("full", 32, 28, 700), candidate("free", 32, 8, 1_700)];

    assert_eq!(chosen(&candidates, 3, 0), Some("full"));
    assert_eq!(chosen(&candidates, 3, 10), Some("free"));
    assert_eq!(chosen(&candidates[..1], 5, 0), None, "it would be overfull");
}

/// Guards against a task that no worker takes, since the part kept free is never free for it.
#[test]
fn an_empty_worker_takes_a_task_that_needs_all_of_it() {
    assert_eq!(chosen(&[candidate("empty", 16, 0, 1_000)], 16, 10), Some("empty"));
}
