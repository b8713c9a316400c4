//! Questions to the advice service.

mod common;

use {
    common::{Leader, Sent, advised_queue, step},
    fuchsiatack_jobs::{AdviceRequest, HoldKind, JobId, RunId, StepSpec},
    fuchsiatack_model::WorkerName,
    std::net::SocketAddr,
};

/// Answers the only question among calls, and returns it.
fn answer(leader: &mut Leader) -> AdviceRequest {
    let (by, request) = questions(leader).remove(0);
    leader.advised(by, &request);
    request
}

fn questions(leader: &mut Leader) -> Vec<(Option<SocketAddr>, AdviceRequest)> {
    let calls = leader.take().into_iter();
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

/// Guards against chains of short steps that wait for an answer between any two of them.
#[test]
fn advice_is_there_when_the_turn_of_a_step_comes() {
    let mut leader = Leader::new(advised_queue(), &["a", "b"]);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 600)
    };
    leader.submit(JobId(1), vec![step(1, 600), second]);
    answer(&mut leader);
    let started = leader.take_started();
    confirm(&mut leader, &started);

    leader.pass(50);
    let ahead = answer(&mut leader);
    assert_eq!(ahead.step.step, 1, "asked while the first step is at work");
    assert!(leader.take_started().is_empty(), "its turn has not come");

    leader.pass(500);
    let (run, worker) = &started[0];
    leader.held(worker.as_str(), HoldKind::Renewal, &[], &[(1, *run)]);

    let next = leader.take_started();
    assert_eq!(next.len(), 1, "it starts in the turn that ends the first step");
    assert_eq!(next[0].0.task.step.step, 1);
}

/// Guards against tickets that have lapsed when the turn of a step comes.
#[test]
fn advice_is_not_asked_for_long_before_the_turn_of_a_step() {
    let mut leader = Leader::new(advised_queue(), &["a", "b"]);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 600)
    };
    leader.submit(JobId(1), vec![step(1, 8_000), second]);
    answer(&mut leader);
    let started = leader.take_started();
    confirm(&mut leader, &started);

    leader.pass(50);
    assert!(questions(&mut leader).is_empty());

    leader.pass(7_000);
    assert_eq!(questions(&mut leader).len(), 1);
}

/// Guards against steps that are placed by one question after the other, of a few workers each.
#[test]
fn first_question_names_enough_workers_for_a_wide_step() {
    let names: Vec<_> = (0..48).map(|number| format!("w-{number:02}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut leader = Leader::new(advised_queue(), &names);

    leader.submit(JobId(1), vec![step(10, 600)]);
    let request = answer(&mut leader);

    assert!(request.workers.len() >= 30, "{} workers", request.workers.len());
    assert_eq!(leader.take_started().len(), 10);
}
