//! Requests that a real daemon process forwards from a caller to a stand-in worker.

use {
    fuchsiatack_testkit::{Cell, CellBuilder, WorkerEventKind, response_to},
    reqwest::{Client, Response},
    std::time::Duration,
};

const KEY: &str = "key-of-team-anfa";
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-team-anfa}}
---
{schema: 2, kind: queue, name: repairs, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;

async fn cell() -> Cell {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .workers(1)
        .records(RECORDS)
        .start()
        .await
        .expect("the cell should start")
}

fn client() -> Client {
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(30))
        .build()
        .expect("a client without TLS needs no system support")
}

async fn send(cell: &Cell, request: &str, idempotent: bool, body: &'static str) -> Response {
    let address = cell.caller_addresses()[0];
    client()
        .post(format!("http://{address}/v1/queues/repairs/requests"))
        .bearer_auth(KEY)
        .header("fuchsiatack-request-id", request)
        .header("fuchsiatack-deadline-ms", "20000")
        .header("fuchsiatack-idempotent", idempotent.to_string())
        .body(body)
        .send()
        .await
        .expect("the daemon should respond")
}

fn outcome(response: &Response) -> &str {
    response.headers()["fuchsiatack-outcome"]
        .to_str()
        .expect("the outcome header should be visible ASCII")
}

async fn count_starts(cell: &Cell) -> usize {
    let events = cell.worker_events().expect("the worker log should be readable");
    events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started)
        .count()
}

/// Guards against a daemon that alters the worker's response: the body must arrive byte for byte.
#[tokio::test]
async fn relays_the_response_to_an_idempotent_request() {
    let cell = cell().await;
    let request_body = "fix the window";

    let response = send(&cell, "request-1", true, request_body).await;

    assert_eq!(response.status(), 200);
    assert_eq!(outcome(&response), "done");
    assert_eq!(response.headers()["fuchsiatack-request-id"], "request-1");
    assert!(response.headers().contains_key("fuchsiatack-index"));
    let body = response.bytes().await.expect("the body should be complete");
    assert_eq!(body, response_to(request_body.as_bytes()));
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against a second run when a caller resends a non-idempotent request, and against accepting
/// a different body under the same request id.
#[tokio::test]
async fn runs_a_resent_request_once() {
    let cell = cell().await;

    let first = send(&cell, "request-1", false, "paint the door").await;
    let second = send(&cell, "request-1", false, "paint the door").await;
    let other = send(&cell, "request-1", false, "paint the roof").await;

    assert_eq!((first.status().as_u16(), outcome(&first)), (200, "done"));
    assert_eq!((second.status().as_u16(), outcome(&second)), (200, "done"));
    assert_eq!((other.status().as_u16(), outcome(&other)), (409, "not-run"));
    let bodies = (
        first.bytes().await.expect("the body should be complete"),
        second.bytes().await.expect("the body should be complete"),
    );
    assert_eq!(bodies.0, bodies.1);
    assert_eq!(count_starts(&cell).await, 1);
    cell.stop().await.expect("all processes should exit with code 0");
}
