//! Assignment of workers to the core members that call them.

use {
    fuchsiatack_cell::Routes,
    fuchsiatack_model::WorkerName,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

fn member(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_020))
}

fn members() -> Vec<SocketAddr> {
    (1..=9).map(member).collect()
}

fn workers(count: usize) -> Vec<WorkerName> {
    (0..count)
        .map(|number| WorkerName::new(format!("w-{number}")))
        .collect()
}

/// Creates the routes of one of nine members, which has called each worker once.
fn routes(own: u8, workers: &[WorkerName]) -> Routes {
    let mut routes = Routes::new(member(own));
    routes.set_members(members());
    for worker in workers {
        routes.choose(0, worker, &members());
    }
    routes
}

/// Guards against a leader that spends its processor time on calls to hundreds of workers.
#[test]
fn members_share_the_calls_to_many_workers() {
    let workers = workers(360);
    let mut routes = routes(1, &workers);

    let mut calls: BTreeMap<_, usize> = BTreeMap::new();
    for worker in &workers {
        *calls.entry(routes.choose(1, worker, &members())).or_default() += 1;
    }

    assert_eq!(calls.len(), 9);
    assert!(calls.values().all(|count| (20..=70).contains(count)), "{calls:?}");
}

/// Guards against the latency of forwarded calls in a cell whose workers the leader can call itself.
#[test]
fn leader_of_a_small_cell_calls_workers_directly() {
    let workers = workers(50);
    let mut routes = routes(1, &workers);

    assert!(
        workers
            .iter()
            .all(|worker| routes.choose(1, worker, &members()).is_none())
    );
}

/// Guards against calls through a member that is down or unreachable.
#[test]
fn failed_member_is_paused() {
    let workers = workers(360);
    let mut routes = routes(1, &workers);
    let (worker, failed) = workers
        .iter()
        .find_map(|worker| Some((worker, routes.choose(1, worker, &members())?)))
        .expect("another member calls at least one worker");

    assert!(routes.member_failed(10, failed), "the member was in use");
    assert!(!routes.member_failed(11, failed), "the pause is reported once");

    assert!(
        workers
            .iter()
            .all(|worker| routes.choose(12, worker, &members()) != Some(failed))
    );
    assert_eq!(routes.choose(9_000, worker, &members()), Some(failed));
    assert!(
        routes.member_answered(9_001, failed),
        "the member had failed before"
    );
    assert!(
        !routes.member_answered(9_002, failed),
        "the return is reported once"
    );
}

/// Guards against pausing all members because a busy leader reads their responses late.
#[test]
fn member_that_answers_other_calls_is_not_paused() {
    let workers = workers(360);
    let mut routes = routes(1, &workers);
    let member = member(2);

    routes.member_answered(900, member);

    assert!(!routes.member_unanswered(1_000, 500, member));
    assert!(
        routes.member_unanswered(1_500, 1_000, member),
        "the member responded to no call since"
    );
}

/// Guards against a worker that is considered lost because a single member cannot reach it.
#[test]
fn worker_that_did_not_answer_a_member_is_called_directly() {
    let workers = workers(360);
    let mut routes = routes(1, &workers);
    let worker = workers
        .iter()
        .find(|worker| routes.choose(1, worker, &members()).is_some())
        .expect("another member calls at least one worker");

    routes.worker_failed(10, worker);

    assert_eq!(routes.choose(11, worker, &members()), None);
    assert!(routes.choose(9_000, worker, &members()).is_some());
}

/// Guards against new connections to all workers after each change of leader.
#[test]
fn workers_keep_their_member_when_the_leader_changes() {
    let workers = workers(360);
    let mut before = routes(1, &workers);
    let mut after = routes(2, &workers);

    for worker in &workers {
        let caller_before = before.choose(1, worker, &members()).unwrap_or(member(1));
        let caller_after = after.choose(1, worker, &members()).unwrap_or(member(2));
        assert_eq!(caller_before, caller_after);
    }
}

/// Guards against a new leader that calls workers through the members that were cut off together with the
/// earlier leader: each such call kept the reports of its worker waiting for half a second.
#[test]
fn no_worker_is_called_through_a_member_that_has_not_responded() {
    let workers = workers(360);
    let responsive: Vec<_> = (2..=5).map(member).collect();
    let mut routes = routes(1, &workers);

    let callers: BTreeSet<_> = workers
        .iter()
        .map(|worker| routes.choose(1, worker, &responsive))
        .collect();

    let expected = responsive.into_iter().map(Some).chain([None]);
    assert_eq!(callers, expected.collect());
}
