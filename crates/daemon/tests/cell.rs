//! Cells of real daemon and worker processes under crashes, pauses and planned stops.

use {
    fuchsiatack_testkit::{Behaviour, Cell, CellBuilder, TaskBody, WorkerEventKind, WorkerMode},
    reqwest::{Client, Response},
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::{task::JoinHandle, time::sleep},
};

const KEY: &str = "key-of-team-anfa";
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-team-anfa}}
---
{schema: 2, kind: queue, name: repairs, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;

/// Builds a cell with short leases, so that a failure is detected within seconds.
fn builder(daemons: usize, workers: usize) -> CellBuilder {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .daemons(daemons)
        .workers(workers)
        .worker_mode(WorkerMode::Process)
        .adjust_daemon(|daemon| {
            daemon.leases.session_ms = 1_500;
            daemon.leases.session_renewal_ms = 250;
            daemon.leases.task_ms = 2_000;
            daemon.leases.task_renewal_ms = 500;
            daemon.leases.margin_ms = 300;
        })
        .records(RECORDS)
}

fn client() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(60))
        .build()
        .expect("a client without TLS needs no system support")
}

fn send(to: SocketAddr, request: &str, idempotent: bool, body: &TaskBody) -> JoinHandle<Response> {
    let call = client()
        .post(format!("http://{to}/v1/queues/repairs/requests"))
        .bearer_auth(KEY)
        .header("fuchsiatack-request-id", request)
        .header("fuchsiatack-idempotent", idempotent.to_string())
        .body(body.to_json());
    tokio::spawn(async move { call.send().await.expect("the daemon should respond") })
}

fn outcome(response: &Response) -> (u16, &str) {
    let outcome = response.headers()["fuchsiatack-outcome"].to_str();
    (
        response.status().as_u16(),
        outcome.expect("the outcome header should be visible ASCII"),
    )
}

fn count_events(cell: &Cell, kind: WorkerEventKind) -> usize {
    let events = cell.worker_events().expect("the worker log should be readable");
    events.iter().filter(|event| event.event == kind).count()
}

async fn wait_for_events(cell: &mut Cell, kind: WorkerEventKind, wanted: usize) {
    let condition = format!("the workers have logged {wanted} events {kind:?}");
    cell.wait_until(&condition, async |cell| Ok(count_events(cell, kind) >= wanted))
        .await
        .expect("the workers should log the events");
}

/// Name of the worker that started the first task.
fn first_started_worker(cell: &Cell) -> String {
    let events = cell.worker_events().expect("the worker log should be readable");
    let mut starts = events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started);
    starts
        .next()
        .expect("a worker should have started a task")
        .worker
        .to_string()
}

async fn wait_until_fenced(cell: &mut Cell, workers: usize) {
    cell.wait_until("all workers are fenced", async |cell| {
        let status = cell.status(1).await?;
        let entries = status["ledger"]["workers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        Ok(entries.iter().filter(|entry| entry["fenced"] == true).count() == workers)
    })
    .await
    .expect("all workers should be fenced");
}

/// Guards against a lost idempotent request and a second run of a non-idempotent one. The worker that
/// runs the request crashes.
#[tokio::test]
async fn a_worker_crash_loses_no_idempotent_request() {
    let mut cell = builder(1, 2).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 2).await;
    let to = cell.caller_addresses()[0];
    let idempotent = send(to, "idempotent", true, &TaskBody::run(1_500));
    wait_for_events(&mut cell, WorkerEventKind::Started, 1).await;
    let worker = first_started_worker(&cell);

    cell.worker(&worker).kill();

    let response = idempotent.await.expect("the daemon should respond");
    assert_eq!(outcome(&response), (200, "done"));
    assert_eq!(count_events(&cell, WorkerEventKind::Ended), 1);
    let other = send(to, "other", false, &TaskBody::run(1_500));
    wait_for_events(&mut cell, WorkerEventKind::Started, 3).await;
    let survivor = if worker == "worker-1" {
        "worker-2"
    } else {
        "worker-1"
    };
    cell.worker(survivor).kill();
    let response = other.await.expect("the daemon should respond");
    assert_eq!(outcome(&response), (504, "unknown"));
    let resent = send(to, "other", false, &TaskBody::run(1_500))
        .await
        .expect("the daemon should respond");
    assert_eq!(outcome(&resent), (504, "unknown"));
    assert_eq!(count_events(&cell, WorkerEventKind::Started), 3);
}

/// Guards against workers that stay without an owner, and requests that run twice, after an entry
/// daemon crashed. The daemon crashes while its worker runs a request, and the caller resends the
/// request to another daemon.
#[tokio::test]
async fn workers_of_a_crashed_daemon_are_reassigned() {
    let mut cell = builder(3, 2).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 2).await;
    let addresses = cell.caller_addresses();
    let running = send(addresses[0], "request-1", false, &TaskBody::run(30_000));
    wait_for_events(&mut cell, WorkerEventKind::Started, 1).await;

    cell.daemon(1).kill();
    running.abort();

    let resent = send(addresses[1], "request-1", false, &TaskBody::run(30_000))
        .await
        .expect("the daemon should respond");
    assert_eq!(outcome(&resent), (504, "unknown"));
    let other = send(addresses[2], "request-2", false, &TaskBody::run(10))
        .await
        .expect("the daemon should respond");
    assert_eq!(outcome(&other), (200, "done"));
    cell.daemon(1).restart().expect("the daemon should restart");
    cell.wait_ready()
        .await
        .expect("all daemons should become ready again");
    let third = send(addresses[0], "request-3", true, &TaskBody::run(10))
        .await
        .expect("the daemon should respond");
    assert_eq!(outcome(&third), (200, "done"));
    assert_eq!(count_events(&cell, WorkerEventKind::Started), 3);
}

/// Guards against a planned stop that interrupts a running request or does not hand over the
/// workers.
#[tokio::test]
async fn a_planned_stop_interrupts_no_request() {
    let mut cell = builder(3, 3).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 3).await;
    let addresses = cell.caller_addresses();
    let requests: Vec<_> = (0..6)
        .map(|number| {
            send(
                addresses[0],
                &format!("request-{number}"),
                number % 2 == 0,
                &TaskBody::run(4_000),
            )
        })
        .collect();
    wait_for_events(&mut cell, WorkerEventKind::Started, 6).await;

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("the daemon should exit");

    assert_eq!(status.code(), Some(0));
    for request in requests {
        let response = request.await.expect("the daemon should respond");
        assert_eq!(outcome(&response), (200, "done"));
    }
    assert_eq!(count_events(&cell, WorkerEventKind::Started), 6);
    assert_eq!(count_events(&cell, WorkerEventKind::Stopped), 0);
    let later = send(addresses[1], "later", false, &TaskBody::run(10))
        .await
        .expect("the daemon should respond");
    assert_eq!(outcome(&later), (200, "done"));
    cell.daemon(1).restart().expect("the daemon should restart");
    cell.wait_ready()
        .await
        .expect("all daemons should become ready again");
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against an idempotent task that keeps running after its caller has disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_an_idempotent_task() {
    let mut cell = builder(1, 1).start().await.expect("the cell should start");
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let request = send(cell.caller_addresses()[0], "request-1", true, &hang);
    wait_for_events(&mut cell, WorkerEventKind::Started, 1).await;

    request.abort();

    wait_for_events(&mut cell, WorkerEventKind::Cancelled, 1).await;
    cell.stop().await.expect("all processes should exit with code 0");
}

fn work_record(name: &str, policy: &str, tasks: u32, body: TaskBody) -> Value {
    let body = body.to_json();
    json!({"schema": 2, "kind": "work", "name": name, "version": 0, "spec": {
        "body": body, "demand": {"slots": 1, "connections": 1}, "idempotent": false,
        "policy": policy, "tasks": tasks, "team": "anfa",
    }})
}

async fn work_status(to: SocketAddr, name: &str) -> Value {
    let response = client()
        .get(format!("http://{to}/v1/work/{name}"))
        .bearer_auth(KEY)
        .send()
        .await;
    let response: Value = response
        .expect("the daemon should respond")
        .json()
        .await
        .expect("the body should be JSON");
    response["status"].clone()
}

/// Guards against queued tasks that are lost, run twice or are never reported, and against a service
/// whose tasks restart after its work was cancelled.
#[tokio::test]
async fn queued_work_runs_each_task_once() {
    let mut cell = builder(3, 3).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 3).await;
    let to = cell.caller_addresses()[1];
    let submit = |record: Value| {
        client()
            .post(format!("http://{to}/v1/work"))
            .bearer_auth(KEY)
            .json(&record)
            .send()
    };
    for record in [
        work_record("batch-1", "batch", 40, TaskBody::run(20)),
        work_record("gang-1", "gang", 5, TaskBody::run(20)),
    ] {
        assert_eq!(
            submit(record).await.expect("the daemon should respond").status(),
            200
        );
    }

    for name in ["batch-1", "gang-1"] {
        cell.wait_until(&format!("{name} is finished"), async |_| {
            Ok(work_status(to, name).await["phase"] == "finished")
        })
        .await
        .expect("the work should finish");
    }

    assert_eq!(count_events(&cell, WorkerEventKind::Started), 45);
    let service = work_record("service-1", "service", 2, TaskBody::run(20));
    assert_eq!(
        submit(service).await.expect("the daemon should respond").status(),
        200
    );
    // Each service task ends after 20 ms and is restarted.
    wait_for_events(&mut cell, WorkerEventKind::Ended, 50).await;
    let call = client()
        .delete(format!("http://{to}/v1/work/service-1"))
        .bearer_auth(KEY)
        .send();
    assert_eq!(call.await.expect("the daemon should respond").status(), 200);
    sleep(Duration::from_secs(2)).await;
    let started = count_events(&cell, WorkerEventKind::Started);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(count_events(&cell, WorkerEventKind::Started), started);
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against a daemon that starts tasks with an expired lease, or serves no requests, after a pause
/// longer than its session lease. The other daemons serve requests during the pause.
#[tokio::test]
async fn a_paused_daemon_rejoins() {
    let mut cell = builder(3, 3).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 3).await;
    let addresses = cell.caller_addresses();

    cell.daemon(3).pause().expect("the signal should be delivered");
    sleep(Duration::from_secs(4)).await;
    let during = send(addresses[0], "request-1", true, &TaskBody::run(10))
        .await
        .expect("the daemon should respond");
    cell.daemon(3).resume().expect("the signal should be delivered");
    cell.wait_ready()
        .await
        .expect("all daemons should become ready again");
    let after = send(addresses[2], "request-2", true, &TaskBody::run(10))
        .await
        .expect("the daemon should respond");

    assert_eq!(outcome(&during), (200, "done"));
    assert_eq!(outcome(&after), (200, "done"));
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against lost outcomes and second runs of queued tasks. A daemon stops as planned while its
/// workers run them.
#[tokio::test]
async fn a_planned_stop_keeps_the_outcomes_of_queued_tasks() {
    let mut cell = builder(3, 3).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 3).await;
    let to = cell.caller_addresses()[1];
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let records = [
        work_record("service-1", "service", 3, hang),
        work_record("batch-1", "batch", 12, TaskBody::run(5_000)),
    ];
    for record in records {
        let call = client().post(format!("http://{to}/v1/work")).bearer_auth(KEY);
        assert_eq!(
            call.json(&record)
                .send()
                .await
                .expect("the daemon should respond")
                .status(),
            200
        );
    }
    wait_for_events(&mut cell, WorkerEventKind::Started, 15).await;

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("the daemon should exit");

    assert_eq!(status.code(), Some(0));
    cell.wait_until("the batch is finished", async |_| {
        Ok(work_status(to, "batch-1").await["phase"] == "finished")
    })
    .await
    .expect("the work should finish");
    let outcomes = work_status(to, "batch-1").await["outcomes"].clone();
    assert_eq!(outcomes, json!(vec!["done"; 12]));
    // Task leases that no daemon renews expire within this time.
    sleep(Duration::from_secs(5)).await;
    assert_eq!(count_events(&cell, WorkerEventKind::Started), 15);
    assert_eq!(count_events(&cell, WorkerEventKind::Stopped), 0);
}

/// Guards against requests that run while the store has no quorum, or are still rejected after it has
/// recovered, and against a daemon that cannot stop without a quorum.
#[tokio::test]
async fn no_request_runs_without_a_quorum() {
    let mut cell = builder(3, 2).start().await.expect("the cell should start");
    wait_until_fenced(&mut cell, 2).await;
    let to = cell.caller_addresses()[0];
    cell.daemon(2).kill();
    cell.daemon(3).kill();
    cell.wait_until("the session lease has expired", async |cell| {
        Ok(!cell.is_ready(1).await)
    })
    .await
    .expect("the session lease should expire");

    for (request, idempotent) in [("request-1", true), ("request-2", false)] {
        let response = send(to, request, idempotent, &TaskBody::run(10))
            .await
            .expect("the daemon should respond");
        assert_eq!(outcome(&response), (503, "not-run"));
        assert!(response.headers().contains_key("retry-after"));
    }
    assert_eq!(count_events(&cell, WorkerEventKind::Started), 0);
    cell.daemon(2).restart().expect("the daemon should restart");
    cell.daemon(3).restart().expect("the daemon should restart");
    cell.wait_ready()
        .await
        .expect("all daemons should become ready again");
    for (request, idempotent) in [("request-1", true), ("request-2", false)] {
        let response = send(to, request, idempotent, &TaskBody::run(10))
            .await
            .expect("the daemon should respond");
        assert_eq!(outcome(&response), (200, "done"));
    }
    cell.daemon(2).kill();
    cell.daemon(3).kill();
    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("the daemon should exit");
    assert_eq!(status.code(), Some(0));
}
