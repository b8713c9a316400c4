//! Cells of several daemon processes under failures and planned changes.

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

/// Describes a cell with short leases, so that failures are over soon.
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
    tokio::spawn(async move { call.send().await.expect("an answer") })
}

fn outcome(response: &Response) -> (u16, &str) {
    let outcome = response.headers()["fuchsiatack-outcome"].to_str();
    (response.status().as_u16(), outcome.expect("visible ASCII"))
}

fn count(cell: &Cell, kind: WorkerEventKind) -> usize {
    let events = cell.worker_events().expect("a readable log");
    events.iter().filter(|event| event.event == kind).count()
}

async fn wait_for(cell: &mut Cell, kind: WorkerEventKind, wanted: usize) {
    let what = format!("{wanted} events {kind:?}");
    cell.wait_until(&what, async |cell| Ok(count(cell, kind) >= wanted))
        .await
        .expect("the events");
}

/// Name of the worker that started the only task.
fn only_start(cell: &Cell) -> String {
    let events = cell.worker_events().expect("a readable log");
    let mut starts = events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started);
    starts.next().expect("a start").worker.to_string()
}

async fn wait_owned(cell: &mut Cell, workers: usize) {
    cell.wait_until("all workers are fenced", async |cell| {
        let status = cell.status(1).await?;
        let entries = status["ledger"]["workers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        Ok(entries.iter().filter(|entry| entry["fenced"] == true).count() == workers)
    })
    .await
    .expect("owned workers");
}

/// Guards against an idempotent request that is lost, and a non-idempotent one that runs twice,
/// when their worker crashes.
#[tokio::test]
async fn a_crashed_worker_costs_no_idempotent_request() {
    let mut cell = builder(1, 2).start().await.expect("the cell starts");
    wait_owned(&mut cell, 2).await;
    let to = cell.caller_addresses()[0];
    let idempotent = send(to, "idempotent", true, &TaskBody::run(1_500));
    wait_for(&mut cell, WorkerEventKind::Started, 1).await;
    let worker = only_start(&cell);

    cell.worker(&worker).kill();

    let response = idempotent.await.expect("an answer");
    assert_eq!(outcome(&response), (200, "done"));
    assert_eq!(count(&cell, WorkerEventKind::Ended), 1);
    let other = send(to, "other", false, &TaskBody::run(1_500));
    wait_for(&mut cell, WorkerEventKind::Started, 3).await;
    let survivor = if worker == "worker-1" {
        "worker-2"
    } else {
        "worker-1"
    };
    cell.worker(survivor).kill();
    let response = other.await.expect("an answer");
    assert_eq!(outcome(&response), (504, "unknown"));
    let resent = send(to, "other", false, &TaskBody::run(1_500))
        .await
        .expect("an answer");
    assert_eq!(outcome(&resent), (504, "unknown"));
    assert_eq!(count(&cell, WorkerEventKind::Started), 3);
}

/// Guards against workers that stay without owner, and requests that run twice, after an entry
/// daemon crashed.
#[tokio::test]
async fn workers_of_a_crashed_daemon_are_used_again() {
    let mut cell = builder(3, 2).start().await.expect("the cell starts");
    wait_owned(&mut cell, 2).await;
    let addresses = cell.caller_addresses();
    let running = send(addresses[0], "request-1", false, &TaskBody::run(30_000));
    wait_for(&mut cell, WorkerEventKind::Started, 1).await;

    cell.daemon(1).kill();
    running.abort();

    let resent = send(addresses[1], "request-1", false, &TaskBody::run(30_000))
        .await
        .expect("an answer");
    assert_eq!(outcome(&resent), (504, "unknown"));
    let other = send(addresses[2], "request-2", false, &TaskBody::run(10))
        .await
        .expect("an answer");
    assert_eq!(outcome(&other), (200, "done"));
    cell.daemon(1).restart().expect("the daemon starts");
    cell.wait_ready().await.expect("ready again");
    let third = send(addresses[0], "request-3", true, &TaskBody::run(10))
        .await
        .expect("an answer");
    assert_eq!(outcome(&third), (200, "done"));
    assert_eq!(count(&cell, WorkerEventKind::Started), 3);
}

/// Guards against a planned stop that interrupts a request or does not hand over the workers.
#[tokio::test]
async fn a_planned_stop_interrupts_no_request() {
    let mut cell = builder(3, 3).start().await.expect("the cell starts");
    wait_owned(&mut cell, 3).await;
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
    wait_for(&mut cell, WorkerEventKind::Started, 6).await;

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("an end");

    assert_eq!(status.code(), Some(0));
    for request in requests {
        let response = request.await.expect("an answer");
        assert_eq!(outcome(&response), (200, "done"));
    }
    assert_eq!(count(&cell, WorkerEventKind::Started), 6);
    assert_eq!(count(&cell, WorkerEventKind::Stopped), 0);
    let later = send(addresses[1], "later", false, &TaskBody::run(10))
        .await
        .expect("an answer");
    assert_eq!(outcome(&later), (200, "done"));
    cell.daemon(1).restart().expect("the daemon starts");
    cell.wait_ready().await.expect("ready again");
    cell.stop().await.expect("exit code 0");
}

/// Guards against a task that goes on for a caller that went away.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_an_idempotent_task() {
    let mut cell = builder(1, 1).start().await.expect("the cell starts");
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let request = send(cell.caller_addresses()[0], "request-1", true, &hang);
    wait_for(&mut cell, WorkerEventKind::Started, 1).await;

    request.abort();

    wait_for(&mut cell, WorkerEventKind::Cancelled, 1).await;
    cell.stop().await.expect("exit code 0");
}

fn work(name: &str, policy: &str, tasks: u32, body: TaskBody) -> Value {
    let body = body.to_json();
    json!({"schema": 2, "kind": "work", "name": name, "version": 0, "spec": {
        "body": body, "demand": {"slots": 1, "connections": 1}, "idempotent": false,
        "policy": policy, "tasks": tasks, "team": "anfa",
    }})
}

async fn phase(to: SocketAddr, name: &str) -> Value {
    let answer = client()
        .get(format!("http://{to}/v1/work/{name}"))
        .bearer_auth(KEY)
        .send()
        .await;
    let answer: Value = answer.expect("an answer").json().await.expect("JSON");
    answer["status"].clone()
}

/// Guards against queued tasks that are lost, run twice or are never reported, and against a
/// cancelled work that goes on.
#[tokio::test]
async fn queued_work_runs_each_task_once() {
    let mut cell = builder(3, 3).start().await.expect("the cell starts");
    wait_owned(&mut cell, 3).await;
    let to = cell.caller_addresses()[1];
    let submit = |record: Value| {
        client()
            .post(format!("http://{to}/v1/work"))
            .bearer_auth(KEY)
            .json(&record)
            .send()
    };
    for record in [
        work("batch-1", "batch", 40, TaskBody::run(20)),
        work("gang-1", "gang", 5, TaskBody::run(20)),
    ] {
        assert_eq!(submit(record).await.expect("an answer").status(), 200);
    }

    for name in ["batch-1", "gang-1"] {
        cell.wait_until(name, async |_| Ok(phase(to, name).await["phase"] == "finished"))
            .await
            .expect("the end of the work");
    }

    assert_eq!(count(&cell, WorkerEventKind::Started), 45);
    let service = work("service-1", "service", 2, TaskBody::run(20));
    assert_eq!(submit(service).await.expect("an answer").status(), 200);
    // Service tasks end after 20 ms and are started again.
    wait_for(&mut cell, WorkerEventKind::Ended, 50).await;
    let call = client()
        .delete(format!("http://{to}/v1/work/service-1"))
        .bearer_auth(KEY)
        .send();
    assert_eq!(call.await.expect("an answer").status(), 200);
    sleep(Duration::from_secs(2)).await;
    let ended = count(&cell, WorkerEventKind::Started);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(count(&cell, WorkerEventKind::Started), ended);
    cell.stop().await.expect("exit code 0");
}

/// Guards against a daemon that starts work, or stays useless, after it was paused past its lease.
#[tokio::test]
async fn a_paused_daemon_rejoins() {
    let mut cell = builder(3, 3).start().await.expect("the cell starts");
    wait_owned(&mut cell, 3).await;
    let addresses = cell.caller_addresses();

    cell.daemon(3).pause().expect("a signal");
    sleep(Duration::from_secs(4)).await;
    let during = send(addresses[0], "request-1", true, &TaskBody::run(10))
        .await
        .expect("an answer");
    cell.daemon(3).resume().expect("a signal");
    cell.wait_ready().await.expect("ready again");
    let after = send(addresses[2], "request-2", true, &TaskBody::run(10))
        .await
        .expect("an answer");

    assert_eq!(outcome(&during), (200, "done"));
    assert_eq!(outcome(&after), (200, "done"));
    cell.stop().await.expect("exit code 0");
}

/// Guards against outcomes that are lost, and tasks that run again, when the daemon that runs them
/// stops as planned.
#[tokio::test]
async fn a_planned_stop_keeps_the_outcomes_of_queued_tasks() {
    let mut cell = builder(3, 3).start().await.expect("the cell starts");
    wait_owned(&mut cell, 3).await;
    let to = cell.caller_addresses()[1];
    let hang = TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    };
    let records = [
        work("service-1", "service", 3, hang),
        work("batch-1", "batch", 12, TaskBody::run(5_000)),
    ];
    for record in records {
        let call = client().post(format!("http://{to}/v1/work")).bearer_auth(KEY);
        assert_eq!(call.json(&record).send().await.expect("an answer").status(), 200);
    }
    wait_for(&mut cell, WorkerEventKind::Started, 15).await;

    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("an end");

    assert_eq!(status.code(), Some(0));
    cell.wait_until("the end of the batch", async |_| {
        Ok(phase(to, "batch-1").await["phase"] == "finished")
    })
    .await
    .expect("the end of the work");
    let outcomes = phase(to, "batch-1").await["outcomes"].clone();
    assert_eq!(outcomes, json!(vec!["done"; 12]));
    // Leases of tasks that nobody keeps end within this time.
    sleep(Duration::from_secs(5)).await;
    assert_eq!(count(&cell, WorkerEventKind::Started), 15);
    assert_eq!(count(&cell, WorkerEventKind::Stopped), 0);
}

/// Guards against requests that run without the store, stay refused after it is back, or keep a
/// daemon from stopping.
#[tokio::test]
async fn without_a_quorum_nothing_runs() {
    let mut cell = builder(3, 2).start().await.expect("the cell starts");
    wait_owned(&mut cell, 2).await;
    let to = cell.caller_addresses()[0];
    cell.daemon(2).kill();
    cell.daemon(3).kill();
    cell.wait_until("the lease is lost", async |cell| Ok(!cell.is_ready(1).await))
        .await
        .expect("the end of the lease");

    for (request, idempotent) in [("request-1", true), ("request-2", false)] {
        let response = send(to, request, idempotent, &TaskBody::run(10))
            .await
            .expect("an answer");
        assert_eq!(outcome(&response), (503, "not-run"));
        assert!(response.headers().contains_key("retry-after"));
    }
    assert_eq!(count(&cell, WorkerEventKind::Started), 0);
    cell.daemon(2).restart().expect("the daemon starts");
    cell.daemon(3).restart().expect("the daemon starts");
    cell.wait_ready().await.expect("ready again");
    for (request, idempotent) in [("request-1", true), ("request-2", false)] {
        let response = send(to, request, idempotent, &TaskBody::run(10))
            .await
            .expect("an answer");
        assert_eq!(outcome(&response), (200, "done"));
    }
    cell.daemon(2).kill();
    cell.daemon(3).kill();
    let status = cell
        .daemon(1)
        .stop(Duration::from_secs(60))
        .await
        .expect("an end");
    assert_eq!(status.code(), Some(0));
}
