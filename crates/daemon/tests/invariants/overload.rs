//! Bursts of cancellations, workers that fail all tasks and work that never fits.

use {
    crate::common::{
        assert_no_violation, builder, caller_events, count_outcomes, load_settings, lock_cell,
        print_not_done, sent_after, spawn_load, start_cell, started_events, wait_for_starts,
    },
    fuchsiatack_testkit::{
        AttemptOutcome, Behaviour, Caller, CallerRequest, LoadSettings, TaskBody, WorkerControl,
        WorkerEventKind, run_load, wall_us,
    },
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
};

/// Guards against slots and queue places that stay taken, and against daemons that stall. Callers
/// cancel 2,400 running and waiting requests at once.
#[tokio::test]
async fn a_burst_of_cancellations_frees_slots_and_queue_places() {
    const BURST_REQUESTS: usize = 2_400;
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(4), 4).await;
    let entries = cell.caller_addresses();
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let burst: Vec<_> = (0..BURST_REQUESTS)
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
    wait_for_starts(&mut cell, 32).await;
    cell.wait_until("2000 requests of the burst are waiting", async |cell| {
        let mut waiting = 0;
        for number in 1..=3 {
            waiting += sum_metrics(&cell.metrics(number).await?, "waiting");
        }
        Ok(waiting >= 2_000)
    })
    .await
    .expect("the requests should wait");

    for call in &burst {
        call.abort();
    }

    let cancelled_us = wall_us();
    let report = run_load(LoadSettings {
        max_requests: 400,
        ..load_settings(&cell, 101, 60)
    })
    .await
    .expect("the load should run");
    print_not_done(
        &sent_after(&caller_events(&cell), None, cancelled_us),
        "a_burst_of_cancellations_frees_slots_and_queue_places",
    );
    assert_eq!(report.count(AttemptOutcome::Done), 400);
    let events = cell.worker_events().expect("the worker log should be readable");
    let longest_cancel_us = events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Cancelled)
        .map(|event| event.at_us.saturating_sub(cancelled_us))
        .max();
    println!(
        "burst of {BURST_REQUESTS}: {} tasks started, last cancelled after {} ms; 400 later requests done",
        started_events(&cell).len() - 400,
        longest_cancel_us.unwrap_or_default() / 1_000
    );
    assert_no_violation(&cell, "a_burst_of_cancellations_frees_slots_and_queue_places");
}

/// Sum of the samples whose metric name contains `name`.
fn sum_metrics(metrics: &str, name: &str) -> u64 {
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

/// Guards against a worker that fails every task and keeps receiving new ones, and against a worker
/// that receives none after it has recovered. One of six workers fails all tasks under load and later
/// runs them again.
#[tokio::test]
async fn a_worker_that_fails_all_tasks_is_ejected_and_readmitted() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(6), 6).await;
    let load = spawn_load(LoadSettings {
        callers: 24,
        resends: 0,
        ..load_settings(&cell, 111, 16)
    });
    wait_for_starts(&mut cell, 300).await;

    let fail = WorkerControl {
        fail: true,
        ..WorkerControl::default()
    };
    cell.worker("worker-1")
        .control(&fail)
        .await
        .expect("the worker should accept the control call");
    let failing_since_us = wall_us();
    cell.wait_until("worker-1 has failed five tasks", async |cell| {
        let events = cell.worker_events()?;
        let failed = events
            .iter()
            .filter(|event| event.event == WorkerEventKind::Failed);
        Ok(failed.count() >= 5)
    })
    .await
    .expect("worker-1 should receive tasks and fail them");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let during = starts_by_worker(&cell, failing_since_us);
    cell.worker("worker-1")
        .control(&WorkerControl::default())
        .await
        .expect("the worker should accept the control call");
    let recovered_us = wall_us();

    load.await.expect("the load should finish without a panic");
    let after = starts_by_worker(&cell, recovered_us);
    let events = caller_events(&cell);
    let attempts = sent_after(&events, None, failing_since_us);
    println!(
        "starts while worker-1 failed: {during:?}; after: {after:?}; failed {} of {}",
        count_outcomes(&attempts, AttemptOutcome::Failed),
        attempts.len()
    );
    // A worker is ejected after five failures in a row, or for a failure rate above that of the fleet.
    // Up to eight tasks already run on it at that time.
    let during_failing = during.get("worker-1").copied().unwrap_or_default();
    assert!(
        during_failing <= 30,
        "the failing worker started {during_failing} tasks"
    );
    assert!(
        after.get("worker-1").copied().unwrap_or_default() > 50,
        "the recovered worker started too few tasks"
    );
    assert_no_violation(&cell, "a_worker_that_fails_all_tasks_is_ejected_and_readmitted");
}

fn starts_by_worker(cell: &fuchsiatack_testkit::Cell, after_us: u64) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for event in started_events(cell)
        .into_iter()
        .filter(|event| event.at_us > after_us)
    {
        *counts.entry(event.worker.to_string()).or_default() += 1;
    }
    counts
}

/// Guards against work that waits forever without a reported reason, and against a reason that is
/// still reported after it has been removed. The work needs accelerators that no worker has, until a
/// worker with accelerators joins.
#[tokio::test]
async fn work_that_never_fits_reports_the_missing_resources() {
    let _cell_lock = lock_cell().await;
    let mut cell = start_cell(builder(2), 2).await;
    let entry = cell.caller_addresses()[0];
    let caller = Caller::new(Some("secret-of-anfa"));
    let work = json!({"schema": 2, "kind": "work", "name": "render", "version": 0, "spec": {
        "body": TaskBody::run(10).to_json(), "demand": {"slots": 1, "connections": 1, "accelerators": 2},
        "idempotent": true, "policy": "batch", "tasks": 3, "team": "anfa",
    }});

    caller
        .submit(entry, "submit", &work)
        .await
        .expect("the work should be accepted");
    cell.record_work(&work);

    let blocked = caller
        .read(entry, "render")
        .await
        .expect("the status should be returned");
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
        .expect("the worker with accelerators should start");
    let mut status = serde_json::Value::Null;
    cell.wait_until("the work is finished", async |_| {
        status = caller.read(entry, "render").await?["status"].take();
        Ok(status["phase"] == "finished")
    })
    .await
    .expect("the work should finish on the new worker");
    assert!(status["missing"].is_null(), "{status}");
    cell.record_work_end("render", &status)
        .expect("the status should hold the outcomes");
    assert_no_violation(&cell, "work_that_never_fits_reports_the_missing_resources");
}
