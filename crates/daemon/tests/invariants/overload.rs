//! Bursts of cancellations, workers that fail everything and work that can never run.

use {
    crate::common::{
        assert_no_violation, builder, callers, count_seen, load, sent_after, spawn_load, start, starts, turn,
        wait_starts,
    },
    fuchsiatack_testkit::{
        AttemptOutcome, Behaviour, Caller, CallerRequest, LoadSettings, TaskBody, WorkerControl,
        WorkerEventKind, run_load, wall_us,
    },
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
};

/// Guards against slots and waiting places that stay taken, or daemons that stall, after a burst of
/// cancellations (cancellations arrive in bursts).
#[tokio::test]
async fn a_wave_of_cancellations_frees_everything() {
    const WAVE: usize = 2_400;
    let _turn = turn().await;
    let mut cell = start(builder(4), 4).await;
    let entries = cell.caller_addresses();
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let wave: Vec<_> = (0..WAVE)
        .map(|number| {
            let caller = Caller::new(Some("secret-of-maarif"));
            let entry = entries[number % entries.len()];
            let request = CallerRequest {
                body: hang.to_json().into(),
                deadline: Duration::from_secs(120),
                idempotent: true,
                queue: "counter".to_owned(),
                request: format!("wave-{number}"),
            };
            tokio::spawn(async move { caller.send(entry, &request).await })
        })
        .collect();
    wait_starts(&mut cell, 32).await;
    cell.wait_until("the wave waits", async |cell| {
        let mut waiting = 0;
        for number in 1..=3 {
            waiting += sum_of(&cell.metrics(number).await?, "waiting");
        }
        Ok(waiting >= 2_000)
    })
    .await
    .expect("a waiting wave");

    for call in &wave {
        call.abort();
    }

    let cancelled_us = wall_us();
    let report = run_load(LoadSettings {
        max_requests: 400,
        ..load(&cell, 101, 60)
    })
    .await
    .expect("the load runs");
    assert_eq!(report.count(AttemptOutcome::Done), 400);
    let events = cell.worker_events().expect("a readable log");
    let late = events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Cancelled)
        .map(|event| event.at_us.saturating_sub(cancelled_us))
        .max();
    println!(
        "wave of {WAVE}: {} tasks started, last cancelled after {} ms; 400 later requests done",
        starts(&cell).len() - 400,
        late.unwrap_or_default() / 1_000
    );
    assert_no_violation(&cell, "a_wave_of_cancellations_frees_everything");
}

/// Sum of the samples whose name contains a text.
fn sum_of(metrics: &str, name: &str) -> u64 {
    metrics
        .lines()
        .filter(|line| {
            !line.starts_with('#')
                && line
                    .split(['{', ' '])
                    .next()
                    .is_some_and(|start| start.contains(name))
        })
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum::<f64>() as u64
}

/// Guards against a worker that fails every task and goes on attracting requests, and one that
/// never returns after it works again (some workers fail every task they start).
#[tokio::test]
async fn a_worker_that_fails_everything_is_taken_out_and_returns() {
    let _turn = turn().await;
    let mut cell = start(builder(6), 6).await;
    let running = spawn_load(LoadSettings {
        callers: 24,
        resends: 0,
        ..load(&cell, 111, 16)
    });
    wait_starts(&mut cell, 300).await;

    let fail = WorkerControl {
        fail: true,
        ..WorkerControl::default()
    };
    cell.worker("worker-1")
        .control(&fail)
        .await
        .expect("a control call");
    let broken_us = wall_us();
    cell.wait_until("five failures", async |cell| {
        let events = cell.worker_events()?;
        let failed = events
            .iter()
            .filter(|event| event.event == WorkerEventKind::Failed);
        Ok(failed.count() >= 5)
    })
    .await
    .expect("worker-1 gets tasks and fails them");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let during = by_worker(&cell, broken_us);
    cell.worker("worker-1")
        .control(&WorkerControl::default())
        .await
        .expect("a control call");
    let mended_us = wall_us();

    running.await.expect("the load ends");
    let after = by_worker(&cell, mended_us);
    let events = callers(&cell);
    let all = sent_after(&events, None, broken_us);
    println!(
        "starts while worker-1 failed: {during:?}; after: {after:?}; failed {} of {}",
        count_seen(&all, AttemptOutcome::Failed),
        all.len()
    );
    // Five failures in a row or a rate above the fleet's take it out, with up to eight at a time
    // already running.
    let during_failing = during.get("worker-1").copied().unwrap_or_default();
    assert!(
        during_failing <= 30,
        "{during_failing} starts on the failing worker"
    );
    assert!(
        after.get("worker-1").copied().unwrap_or_default() > 50,
        "it never returned"
    );
    assert_no_violation(&cell, "a_worker_that_fails_everything_is_taken_out_and_returns");
}

fn by_worker(cell: &fuchsiatack_testkit::Cell, after_us: u64) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for event in starts(cell).into_iter().filter(|event| event.at_us > after_us) {
        *counts.entry(event.worker.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against work that waits forever without a cause, and against a cause that stays after the
/// fleet has changed (some jobs can never run).
#[tokio::test]
async fn work_that_can_never_run_says_what_is_missing() {
    let _turn = turn().await;
    let mut cell = start(builder(2), 2).await;
    let entry = cell.caller_addresses()[0];
    let caller = Caller::new(Some("secret-of-anfa"));
    let work = json!({"schema": 2, "kind": "work", "name": "render", "version": 0, "spec": {
        "body": TaskBody::run(10).to_json(), "demand": {"slots": 1, "connections": 1, "accelerators": 2},
        "idempotent": true, "policy": "batch", "tasks": 3, "team": "anfa",
    }});

    caller
        .submit(entry, "submit", &work)
        .await
        .expect("the work is accepted");
    cell.record_work(&work);

    let blocked = caller.read(entry, "render").await.expect("a status");
    println!("status of work that never fits: {}", blocked["status"]);
    assert_eq!(blocked["status"]["missing"]["accelerators"], 2);
    assert_eq!(blocked["status"]["missing"]["slots"], 0);
    let mut settings = cell.worker("worker-1").settings().clone();
    settings.name = fuchsiatack_model::WorkerName::new("worker-3");
    settings.address.set_port(0);
    settings.entries.clear();
    settings.log = None;
    settings.capacity.accelerators = 4;
    cell.add_worker(settings)
        .await
        .expect("a worker with accelerators");
    let mut status = serde_json::Value::Null;
    cell.wait_until("the work is finished", async |_| {
        status = caller.read(entry, "render").await?["status"].take();
        Ok(status["phase"] == "finished")
    })
    .await
    .expect("the work runs on the new worker");
    assert!(status["missing"].is_null(), "{status}");
    cell.record_work_end("render", &status).expect("outcomes");
    assert_no_violation(&cell, "work_that_can_never_run_says_what_is_missing");
}
