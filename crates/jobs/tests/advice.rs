//! Requests to the advice service.

mod common;

use {
    common::{Leader, Sent, advised_queue, step},
    fuchsiatack_jobs::{AdviceRequest, AdviceResponse, HoldKind, JobEvent, JobId, RunId, StepSpec},
    fuchsiatack_model::WorkerName,
    std::net::SocketAddr,
};

/// Responds to the only advice request among the calls, and returns it.
fn respond(leader: &mut Leader) -> AdviceRequest {
    let (by, request) = requests(leader).remove(0);
    leader.advised(by, &request);
    request
}

fn requests(leader: &mut Leader) -> Vec<(Option<SocketAddr>, AdviceRequest)> {
    let calls = leader.take_calls().into_iter();
    calls
        .filter_map(|call| match call {
            Sent::Advise { by, request } => Some((by, request)),
            _ => None,
        })
        .collect()
}

fn confirm(leader: &mut Leader, started: &[(RunId, WorkerName)]) {
    for (run, worker) in started {
        leader.started(worker, *run, Ok(leader.now_ms));
    }
}

/// Guards against jobs of short steps that wait for a response of the advice service between any
/// two of them.
#[test]
fn advice_is_available_when_a_step_becomes_ready() {
    let mut leader = Leader::new(advised_queue(), &["a", "b"]);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 600)
    };
    leader.submit(JobId(1), vec![step(1, 600), second]);
    respond(&mut leader);
    let started = leader.take_starts();
    confirm(&mut leader, &started);

    leader.advance(50);
    let early = respond(&mut leader);
    assert_eq!(early.step.step, 1, "requested while the first step runs");
    assert!(leader.take_starts().is_empty(), "the step is not ready");

    leader.advance(500);
    let (run, worker) = &started[0];
    leader.report_runs(worker.as_str(), HoldKind::Renewal, &[], &[(1, *run)]);

    let next = leader.take_starts();
    assert_eq!(next.len(), 1, "it starts as soon as the first step has ended");
    assert_eq!(next[0].0.task.step.step, 1);
}

/// Guards against tickets that have expired when a step becomes ready.
#[test]
fn advice_is_not_requested_long_before_a_step_is_ready() {
    let mut leader = Leader::new(advised_queue(), &["a", "b"]);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 600)
    };
    leader.submit(JobId(1), vec![step(1, 8_000), second]);
    respond(&mut leader);
    let started = leader.take_starts();
    confirm(&mut leader, &started);

    leader.advance(50);
    assert!(requests(&mut leader).is_empty());

    leader.advance(3_500);
    leader.heartbeat("a");
    leader.heartbeat("b");
    leader.advance(3_500);
    assert_eq!(requests(&mut leader).len(), 1);
}

/// Guards against requests with so few workers that a wide step needs several of them, one after
/// another.
#[test]
fn first_request_names_enough_workers_for_a_wide_step() {
    let names: Vec<_> = (0..48).map(|number| format!("w-{number:02}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut leader = Leader::new(advised_queue(), &names);

    leader.submit(JobId(1), vec![step(10, 600)]);
    let request = respond(&mut leader);

    assert!(request.workers.len() >= 30, "{} workers", request.workers.len());
    assert_eq!(leader.take_starts().len(), 10);
}

/// Guards against steps that get no advice while the cell is full, so that capacity which becomes free is
/// taken by others before the response arrives.
#[test]
fn advice_is_available_when_a_worker_becomes_free() {
    let mut leader = Leader::new(advised_queue(), &["a"]);
    leader.submit(JobId(1), vec![step(8, 600)]);
    respond(&mut leader);
    let started = leader.take_starts();
    confirm(&mut leader, &started);
    leader.advance(50);

    leader.submit(JobId(2), vec![step(1, 600)]);
    let request = respond(&mut leader);
    assert_eq!(request.step.job, JobId(2));
    assert!(leader.take_starts().is_empty(), "the worker is full");
    leader.advance(50);
    let (run, worker) = &started[0];
    let others: Vec<_> = started[1..].iter().map(|(run, _)| (*run, 10)).collect();
    leader.report_runs(worker.as_str(), HoldKind::Renewal, &others, &[(1, *run)]);

    let next = leader.take_starts();
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0.task.step.job, JobId(2));
}

/// Guards against tickets that overflow the clock of the leader, and against names of unknown workers that
/// fill its memory.
#[test]
fn odd_advice_costs_no_valid_ticket() {
    let mut leader = Leader::new(advised_queue(), &["a"]);
    leader.submit(JobId(1), vec![step(1, 600)]);
    let (by, request) = requests(&mut leader).remove(0);
    let names = ["", "unknown", "a"];
    let response = AdviceResponse {
        eligible: names
            .map(|name| (WorkerName::new(name), "ticket".into()))
            .to_vec(),
        unreadable_rows: 1,
        valid_ms: Some(u64::MAX),
    };

    leader.now_ms += 500;
    leader.handle(JobEvent::Advised {
        by,
        response: Ok(response),
        step: request.step,
    });

    let started = leader.take_starts();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1.as_str(), "a");
}
