//! Requests of callers: complete answers, one run, no loss in crashes and planned stops.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, callers, count_seen, leader, load, sent_after, short_leases,
        sleep_until_us, spawn_load, start, starts, turn, wait_starts,
    },
    fuchsiatack_testkit::{AttemptOutcome, Caller, CallerRequest, LoadSettings, TaskBody, run_load, wall_us},
    std::{collections::BTreeSet, time::Duration},
};

/// Guards against answers that are lost, incomplete, doubled or mixed up between callers, and
/// against a worker with more tasks than slots (invariants 1, 2, 5 and 7).
#[tokio::test]
async fn each_caller_gets_its_own_whole_answer() {
    let _turn = turn().await;
    let cell = start(builder(4), 4).await;

    let report = run_load(LoadSettings {
        max_requests: 2_000,
        ..load(&cell, 11, 60)
    })
    .await
    .expect("the load runs");

    assert_eq!(report.count(AttemptOutcome::Done), 2_000);
    assert_eq!(report.wrong_responses, 0);
    assert_eq!(starts(&cell).len(), 2_000);
    assert_no_violation(&cell, "each_caller_gets_its_own_whole_answer");
    cell.stop().await.expect("exit code 0");
}

/// Guards against requests that are lost or run twice when a daemon crashes, and against service
/// that is not whole 10 s later (invariants 5, 6 and 7; entry daemon crashes).
async fn survives_a_crash(of_leader: bool, seed: u64) {
    let _turn = turn().await;
    let mut cell = start(builder(4), 4).await;
    let leader = leader(&mut cell).await;
    let daemon = if of_leader { leader } else { leader % 3 + 1 };
    // Long tasks, so that the crash meets some; the pause outlasts them, since a resent idempotent
    // request is a new task while the first may still run.
    let running = spawn_load(LoadSettings {
        callers: 32,
        resend_pause: Duration::from_millis(500),
        run_ms: 100..300,
        ..load(&cell, seed, 14)
    });
    wait_starts(&mut cell, 200).await;

    cell.daemon(daemon).kill();

    let killed_us = wall_us();
    running.await.expect("the load ends");
    let events = callers(&cell);
    let late: BTreeSet<_> = sent_after(&events, None, killed_us + 10 * SECOND_US)
        .into_iter()
        .filter(|event| event.attempt == 1)
        .map(|event| &event.request)
        .collect();
    let late_ends: Vec<_> = events
        .iter()
        .filter(|event| event.last && late.contains(&event.request))
        .collect();
    assert!(late.len() > 100, "only {} requests after 10 s", late.len());
    assert_eq!(count_seen(&late_ends, AttemptOutcome::Done), late.len());
    let cut: BTreeSet<_> = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Lost)
        .map(|event| &event.request)
        .collect();
    let cut_ends: Vec<_> = events
        .iter()
        .filter(|event| event.last && cut.contains(&event.request))
        .collect();
    println!(
        "crash of entry-{daemon} (leader {of_leader}, seed {seed}): {} requests cut off, {} of them done on resend; {} sent after 10 s, all done",
        cut.len(),
        count_seen(&cut_ends, AttemptOutcome::Done),
        late.len()
    );
    assert_eq!(count_seen(&cut_ends, AttemptOutcome::Lost), 0);
    // Without one, the crash met no running non-idempotent request and the journal was not needed.
    assert!(count_seen(&cut_ends, AttemptOutcome::Unknown) > 0);
    let idempotent_unknown = events
        .iter()
        .filter(|event| event.idempotent && event.seen == AttemptOutcome::Unknown);
    assert_eq!(idempotent_unknown.count(), 0);
    assert_no_violation(&cell, "survives_a_crash");
}

#[tokio::test]
async fn requests_survive_the_crash_of_the_leader() {
    survives_a_crash(true, 21).await;
}

#[tokio::test]
async fn requests_survive_the_crash_of_a_follower() {
    survives_a_crash(false, 22).await;
}

/// Guards against a daemon that starts work with leases, epochs and tokens it lost while it was
/// paused (invariants 2, 4, 6 and 7; entry daemon pauses).
#[tokio::test]
async fn a_resumed_daemon_starts_nothing_with_what_it_lost() {
    let _turn = turn().await;
    let limit = "{schema: 2, kind: limit, name: anfa, version: 0, spec: {team: anfa, max_running: 12}}";
    let mut cell = start(short_leases(builder(4)).records(limit), 4).await;
    let running = spawn_load(LoadSettings {
        callers: 24,
        run_ms: 50..200,
        ..load(&cell, 31, 11)
    });
    wait_starts(&mut cell, 200).await;
    let entry = cell.caller_addresses()[1];

    cell.daemon(2).pause().expect("a signal");
    let caller = Caller::new(Some("secret-of-maarif"));
    let held: Vec<_> = (0..20)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let request = CallerRequest {
                    body: TaskBody::run(20).to_json().into(),
                    deadline: Duration::from_secs(30),
                    idempotent: number % 2 == 0,
                    queue: "counter".to_owned(),
                    request: format!("held-{number}"),
                };
                caller.send(entry, &request).await.expect("an answer")
            })
        })
        .collect();
    // Longer than session lease, task lease and margins together.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cell.daemon(2).resume().expect("a signal");

    for answer in held {
        let answer = answer.await.expect("an answer");
        assert!(
            matches!(answer.seen, AttemptOutcome::Done | AttemptOutcome::NotRun),
            "{answer:?}"
        );
    }
    cell.wait_ready().await.expect("the daemon rejoins");
    running.await.expect("the load ends");
    assert_no_violation(&cell, "a_resumed_daemon_starts_nothing_with_what_it_lost");
    cell.stop().await.expect("exit code 0");
}

/// Guards against a planned stop that cuts off a request under load (invariant 9).
#[tokio::test]
async fn a_planned_stop_under_load_cuts_off_no_request() {
    let _turn = turn().await;
    let mut cell = start(builder(4), 4).await;
    let running = spawn_load(LoadSettings {
        resends: 0,
        run_ms: 20..400,
        ..load(&cell, 41, 7)
    });
    wait_starts(&mut cell, 100).await;
    let entry = cell.caller_addresses()[0].to_string();

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("an end");

    let stopped_us = wall_us();
    assert_eq!(status.code(), Some(0));
    running.await.expect("the load ends");
    sleep_until_us(stopped_us).await;
    let started: BTreeSet<_> = starts(&cell)
        .into_iter()
        .filter_map(|event| event.request)
        .collect();
    let events = callers(&cell);
    // A connection that was refused after the end carried no request; a started one was cut off.
    let cut: Vec<_> = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Lost)
        .filter(|event| started.contains(&event.request) || event.entry.as_str() != entry)
        .collect();
    assert!(cut.is_empty(), "{cut:#?}");
    let unknown = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Unknown);
    assert_eq!(unknown.count(), 0);
    assert_no_violation(&cell, "a_planned_stop_under_load_cuts_off_no_request");
    cell.stop().await.expect("exit code 0");
}
