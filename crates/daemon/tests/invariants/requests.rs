//! Requests of callers: complete responses, a single run, no loss in crashes and planned stops.

use {
    crate::common::{
        SECOND_US, assert_no_violation, builder, caller_events, count_outcomes, leader_number, load_settings,
        lock_cell, print_not_done, sent_after, sleep_until_us, spawn_load, start_cell, started_events,
        wait_for_starts, with_short_leases,
    },
    fuchsiatack_testkit::{
        AttemptOutcome, Caller, CallerRequest, Cell, LoadSettings, TaskBody, WorkerEvent, WorkerEventKind,
        run_load, wall_us,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Guards against responses that are lost, incomplete, duplicated or returned to another caller, and
/// against a worker that runs more tasks than it has slots.
#[tokio::test]
async fn each_caller_receives_its_own_complete_response() {
    let _cell_lock = lock_cell().await;
    let cell = start_cell(builder(4), 4).await;

    let report = run_load(LoadSettings {
        max_requests: 2_000,
        ..load_settings(&cell, 11, 60)
    })
    .await
    .expect("the load should run");

    assert_eq!(report.count(AttemptOutcome::Done), 2_000);
    assert_eq!(report.wrong_responses, 0);
    assert_eq!(started_events(&cell).len(), 2_000);
    assert_no_violation(&cell, "each_caller_receives_its_own_complete_response");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against requests that are lost or run twice after an entry daemon crashed, and against
/// requests that still fail 10 s after the crash.
async fn assert_requests_survive_crash(is_leader: bool, seed: u64) {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4), 4).await;
    let leader = leader_number(&mut cell).await;
    let daemon = if is_leader { leader } else { leader % 3 + 1 };
    // The load lasts long enough to send requests 10 s after the crash, also if the first 200 starts take 8 s
    // on a busy machine. The tasks are long, so that some run during the crash. The pause before a resend outlasts them:
    // a resent idempotent request becomes a new task, while the first one may still run.
    let load = spawn_load(LoadSettings {
        callers: 32,
        resend_pause: Duration::from_millis(500),
        run_ms: 100..300,
        ..load_settings(&cell, seed, 20)
    });
    wait_for_starts(&mut cell, 200).await;

    cell.daemon(daemon).kill();

    let killed_us = wall_us();
    load.await.expect("the load should finish without a panic");
    let events = caller_events(&cell);
    let late_requests: BTreeSet<_> = sent_after(&events, None, killed_us + 10 * SECOND_US)
        .into_iter()
        .filter(|event| event.attempt == 1)
        .map(|event| &event.request)
        .collect();
    let late_results: Vec<_> = events
        .iter()
        .filter(|event| event.last && late_requests.contains(&event.request))
        .collect();
    assert!(
        late_requests.len() > 100,
        "only {} requests after 10 s",
        late_requests.len()
    );
    print_not_done(&late_results, "assert_requests_survive_crash");
    assert_eq!(
        count_outcomes(&late_results, AttemptOutcome::Done),
        late_requests.len()
    );
    let interrupted: BTreeSet<_> = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Lost)
        .map(|event| &event.request)
        .collect();
    let interrupted_results: Vec<_> = events
        .iter()
        .filter(|event| event.last && interrupted.contains(&event.request))
        .collect();
    println!(
        "crash of entry-{daemon} (leader {is_leader}, seed {seed}): {} requests interrupted, {} of them done on resend; {} sent after 10 s, all done",
        interrupted.len(),
        count_outcomes(&interrupted_results, AttemptOutcome::Done),
        late_requests.len()
    );
    assert_eq!(count_outcomes(&interrupted_results, AttemptOutcome::Lost), 0);
    // If no result is unknown, no non-idempotent request ran during the crash and the test did not
    // use the journal.
    assert!(count_outcomes(&interrupted_results, AttemptOutcome::Unknown) > 0);
    let idempotent_unknown: Vec<_> = events
        .iter()
        .filter(|event| event.idempotent && event.seen == AttemptOutcome::Unknown)
        .collect();
    print_not_done(&idempotent_unknown, "assert_requests_survive_crash");
    assert_eq!(idempotent_unknown.len(), 0);
    assert_no_violation(&cell, "assert_requests_survive_crash");
}

#[tokio::test]
async fn requests_survive_the_crash_of_the_leader() {
    assert_requests_survive_crash(true, 21).await;
}

#[tokio::test]
async fn requests_survive_the_crash_of_a_follower() {
    assert_requests_survive_crash(false, 22).await;
}

/// Returns the numbers of the daemon that owns the only worker and of another one.
async fn owner_and_other(cell: &mut Cell) -> (usize, usize) {
    let mut owner = None;
    cell.wait_until("a daemon has free slots", async |cell| {
        for number in 1..=3 {
            let metrics = cell.metrics(number).await?;
            let has_slots = |line: &str| line.starts_with("fuchsiatack_free_slots ") && !line.ends_with(" 0");
            if metrics.lines().any(has_slots) {
                owner = Some(number);
            }
        }
        Ok(owner.is_some())
    })
    .await
    .expect("the worker should have an owner");
    let owner = owner.unwrap_or(1);
    (owner, owner % 3 + 1)
}

/// Guards against an idempotent request that is answered `unknown` because the peer that ran it crashed, and
/// against its second run while the first one goes on. The tasks outlast the hand-over of the worker.
#[tokio::test]
async fn forwarded_requests_run_again_after_the_run_of_a_crashed_peer() {
    const RUN_MS: u64 = 8_000;
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(1), 1).await;
    let (owner, other) = owner_and_other(&mut cell).await;
    let entry = cell.caller_addresses()[other - 1];
    let send = |number: usize| {
        tokio::spawn(async move {
            let request = CallerRequest {
                body: TaskBody::run(RUN_MS).to_json().into(),
                deadline: Duration::from_secs(60),
                idempotent: number.is_multiple_of(2),
                queue: "counter".to_owned(),
                request: format!("forwarded-{number}"),
            };
            let response = Caller::new(Some("secret-of-maarif")).send(entry, &request).await;
            (request, response.expect("the daemon should respond"))
        })
    };
    let calls: Vec<_> = (0..4).map(send).collect();
    wait_for_starts(&mut cell, calls.len()).await;

    cell.daemon(owner).kill();

    for call in calls {
        let (request, response) = call.await.expect("the call should finish without a panic");
        let expected = match request.idempotent {
            true => AttemptOutcome::Done,
            false => AttemptOutcome::Unknown,
        };
        let runs = runs_of(&cell, &request.request);
        println!("{}: {:?}, runs {runs:?}", request.request, response.seen);
        assert_eq!(response.seen, expected, "{}", request.request);
        assert_eq!(runs.len(), if request.idempotent { 2 } else { 1 });
        let is_overlapping = runs
            .windows(2)
            .any(|pair| pair[0].1.is_none_or(|ended_us| ended_us > pair[1].0));
        assert!(!is_overlapping, "{}: {runs:?}", request.request);
    }
    assert_no_violation(
        &cell,
        "forwarded_requests_run_again_after_the_run_of_a_crashed_peer",
    );
}

/// Returns the times of the starts and ends of the runs of a request in microseconds, in the order of the
/// starts.
fn runs_of(cell: &Cell, request: &str) -> Vec<(u64, Option<u64>)> {
    let events = cell.worker_events().expect("the worker log should be readable");
    let of_request = |event: &&WorkerEvent| event.request.as_ref().is_some_and(|id| id.as_str() == request);
    let mut runs: Vec<_> = events
        .iter()
        .filter(of_request)
        .filter(|event| event.event == WorkerEventKind::Started)
        .map(|started| {
            let is_end = |event: &&WorkerEvent| event.task == started.task && event.event.is_end();
            let ended = events.iter().find(is_end);
            (started.at_us, ended.map(|event| event.at_us))
        })
        .collect();
    runs.sort_unstable();
    runs
}

/// Guards against a daemon that starts tasks with leases, epochs and tokens that it lost during a
/// pause. An entry daemon pauses under load, and requests reach it while it
/// is paused.
#[tokio::test]
async fn a_resumed_daemon_starts_no_task_with_expired_leases() {
    let _cell_lock = lock_cell().await;
    let limit = "{schema: 2, kind: limit, name: anfa, version: 0, spec: {team: anfa, max_running: 12}}";
    let mut cell = start_cell(with_short_leases(builder(4)).records(limit), 4).await;
    let load = spawn_load(LoadSettings {
        callers: 24,
        run_ms: 50..200,
        ..load_settings(&cell, 31, 11)
    });
    wait_for_starts(&mut cell, 200).await;
    let entry = cell.caller_addresses()[1];

    cell.daemon(2).pause().expect("the signal should be delivered");
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
                caller
                    .send(entry, &request)
                    .await
                    .expect("the daemon should respond")
            })
        })
        .collect();
    // The pause is longer than the session lease, the task lease and the margins together.
    tokio::time::sleep(Duration::from_secs(6)).await;
    cell.daemon(2).resume().expect("the signal should be delivered");

    for response in held {
        let response = response.await.expect("the daemon should respond");
        assert!(
            matches!(response.seen, AttemptOutcome::Done | AttemptOutcome::NotRun),
            "{response:?}"
        );
    }
    cell.wait_ready().await.expect("the daemon should rejoin");
    load.await.expect("the load should finish without a panic");
    assert_no_violation(&cell, "a_resumed_daemon_starts_no_task_with_expired_leases");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against a planned stop under load that interrupts a request.
#[tokio::test]
async fn a_planned_stop_under_load_interrupts_no_request() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4), 4).await;
    let load = spawn_load(LoadSettings {
        resends: 0,
        run_ms: 20..400,
        ..load_settings(&cell, 41, 7)
    });
    wait_for_starts(&mut cell, 100).await;
    let entry = cell.caller_addresses()[0].to_string();

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("the daemon should exit");

    let stopped_us = wall_us();
    assert_eq!(status.code(), Some(0));
    load.await.expect("the load should finish without a panic");
    sleep_until_us(stopped_us).await;
    let started: BTreeSet<_> = started_events(&cell)
        .into_iter()
        .filter_map(|event| event.request)
        .collect();
    let events = caller_events(&cell);
    // A connection that the stopped daemon refused carried no request. A lost request counts as
    // interrupted if a worker started it or if it was sent to another daemon.
    let interrupted: Vec<_> = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Lost)
        .filter(|event| started.contains(&event.request) || event.entry.as_str() != entry)
        .collect();
    assert!(interrupted.is_empty(), "{interrupted:#?}");
    let unknown = events
        .iter()
        .filter(|event| event.seen == AttemptOutcome::Unknown);
    assert_eq!(unknown.count(), 0);
    assert_no_violation(&cell, "a_planned_stop_under_load_interrupts_no_request");
    cell.stop().await.expect("all processes should exit with code 0");
}
