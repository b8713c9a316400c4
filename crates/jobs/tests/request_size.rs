//! Sizes of advice requests.

use fuchsiatack_jobs::{
    AdvicePolicy,
    request_size::{request_size, workers_with_room},
};

/// Returns the policy of a queue with a large fixed cost of a request.
fn slow_policy() -> AdvicePolicy {
    AdvicePolicy {
        base_us: 420_000,
        per_worker_us: 6_000,
        valid_ms: 2_000,
    }
}

/// Guards against requests for a single task that name so many workers that these cost as much as the request
/// itself, or so few that it often has to be repeated.
#[test]
fn request_for_one_task_weighs_workers_against_a_repetition() {
    let size = request_size(1, 400, &slow_policy(), 100);
    let dear_workers = AdvicePolicy {
        per_worker_us: 100_000,
        ..slow_policy()
    };

    assert!((7..=14).contains(&size), "{size}");
    assert!(request_size(1, 400, &dear_workers, 100) < size);
}

/// Guards against sizes beyond the limit of the service, and against an endless search at odd shares.
#[test]
fn size_stays_within_the_limit_at_any_share() {
    for share in [0, 1, 1_000, u64::MAX] {
        for needed in [0, 1, 100, 20_000] {
            let size = request_size(needed, share, &slow_policy(), 100);
            assert!((1..=100).contains(&size), "{needed} at {share}: {size}");
        }
    }
}

/// Guards against requests that count on more tasks on a worker than it has room for.
#[test]
fn wide_step_names_more_workers_where_each_has_less_room() {
    let sizes = [1, 3].map(|room| workers_with_room(21, vec![room; 350], 400, &slow_policy(), 400));

    assert!((79..=100).contains(&sizes[0]), "{sizes:?}");
    assert!((27..=45).contains(&sizes[1]), "{sizes:?}");
}
