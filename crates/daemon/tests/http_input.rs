//! Invalid input over HTTP is rejected with an error that names the mistake, and no task starts.

use {
    fuchsiatack_testkit::{Cell, CellBuilder, WorkerEventKind},
    reqwest::{Client, Method, RequestBuilder},
    serde_json::{Value, json},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

const KEY: &str = "key-of-team-anfa";
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-team-anfa}}
---
{schema: 2, kind: queue, name: repairs, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;
const MAX_BODY_BYTES: u64 = 2_000;

async fn cell() -> Cell {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .workers(1)
        .adjust_daemon(|daemon| daemon.callers.max_body_bytes = MAX_BODY_BYTES)
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

fn post(cell: &Cell, path: &str) -> RequestBuilder {
    let address = cell.caller_addresses()[0];
    client().post(format!("http://{address}{path}")).body("a body")
}

fn request(cell: &Cell) -> RequestBuilder {
    post(cell, "/v1/queues/repairs/requests")
}

async fn assert_rejected(request: RequestBuilder, status: u16, reason: &str, part: &str) {
    let response = request.send().await.expect("the daemon should respond");
    assert_eq!(response.status(), status, "{reason}");
    assert_eq!(response.headers()["fuchsiatack-outcome"], "not-run", "{reason}");
    assert!(response.headers().contains_key("fuchsiatack-index"), "{reason}");
    let body: Value = response.json().await.expect("the body should be JSON");
    assert_eq!(body["outcome"], "not-run");
    assert_eq!(body["reason"], reason);
    let message = body["message"].as_str().expect("the body should hold a message");
    assert!(message.contains(part), "no {part} in {message}");
}

async fn assert_nothing_started(cell: &Cell) {
    let events = cell.worker_events().expect("the worker log should be readable");
    assert!(events.iter().all(|event| event.event != WorkerEventKind::Started));
}

/// Guards against running a request with an invalid header, key, queue or body. Each case checks the
/// status, the reason and one part of the message.
#[tokio::test]
async fn rejects_invalid_requests() {
    let cell = cell().await;
    let id = "fuchsiatack-request-id";
    let keyed = || request(&cell).bearer_auth(KEY).header(id, "request-1");

    assert_rejected(
        request(&cell).header(id, "request-1"),
        401,
        "missing-key",
        "authorization",
    )
    .await;
    assert_rejected(
        request(&cell).bearer_auth("wrong").header(id, "r"),
        403,
        "wrong-key",
        "key",
    )
    .await;
    assert_rejected(
        request(&cell)
            .header(id, "r")
            .header("authorization", "Basic YQ=="),
        401,
        "malformed-authorization",
        "Bearer",
    )
    .await;
    assert_rejected(request(&cell).bearer_auth(KEY), 400, "missing-request-id", id).await;
    assert_rejected(
        request(&cell).bearer_auth(KEY).header(id, "x".repeat(129)),
        400,
        "id-too-long",
        "128",
    )
    .await;
    assert_rejected(keyed().header(id, "request-2"), 400, "repeated-header", id).await;
    assert_rejected(
        keyed().header("fuchsiatack-deadline-ms", "soon"),
        400,
        "bad-deadline",
        "fuchsiatack-deadline-ms",
    )
    .await;
    assert_rejected(
        keyed().header("fuchsiatack-deadline-ms", "-1"),
        400,
        "bad-deadline",
        "whole number",
    )
    .await;
    assert_rejected(
        keyed().header("fuchsiatack-deadline-ms", "99999999999"),
        400,
        "bad-deadline",
        "86400000",
    )
    .await;
    assert_rejected(
        keyed().header("fuchsiatack-idempotent", "yes"),
        400,
        "bad-idempotent",
        "true",
    )
    .await;
    assert_rejected(keyed().body("x".repeat(2_001)), 413, "body-too-long", "2000").await;
    assert_rejected(
        post(&cell, "/v1/queues/none/requests")
            .bearer_auth(KEY)
            .header(id, "r"),
        404,
        "unknown-queue",
        "none",
    )
    .await;
    assert_rejected(post(&cell, "/v1/nothing"), 404, "unknown-path", "/v1/nothing").await;
    assert_rejected(
        post(&cell, "/v1/workers/announce").body("{"),
        400,
        "bad-announcement",
        "EOF",
    )
    .await;

    assert_nothing_started(&cell).await;
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against running a request whose body is incomplete: a chunked body breaks off at an invalid
/// chunk size.
#[tokio::test]
async fn rejects_a_truncated_body() {
    let cell = cell().await;
    let mut stream = TcpStream::connect(cell.caller_addresses()[0])
        .await
        .expect("the daemon should accept the connection");
    let head = format!(
        "POST /v1/queues/repairs/requests HTTP/1.1\r\nhost: daemon\r\nauthorization: Bearer {KEY}\r\n\
         fuchsiatack-request-id: request-1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nnot a size\r\n"
    );

    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request should be sent");
    let mut response = Vec::new();
    stream
        .read_to_end(&mut response)
        .await
        .expect("the response should be readable");

    let response = String::from_utf8_lossy(&response);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("truncated-body"), "{response}");
    assert_nothing_started(&cell).await;
    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against reads and writes of records without the operator key or with invalid input.
#[tokio::test]
async fn rejects_invalid_operator_requests() {
    let mut cell = cell().await;
    let address = cell.daemon(1).operator_address();
    let key = std::fs::read_to_string(cell.operator_key_file()).expect("the operator key should be readable");
    let call = |method: Method, path: &str| client().request(method, format!("http://{address}{path}"));
    let keyed = |method, path: &str| call(method, path).bearer_auth(key.trim());
    let team = json!({"schema": 2, "kind": "team", "name": "anfa", "version": 0, "spec": {"title": "Again"}});
    let other =
        json!({"schema": 2, "kind": "team", "name": "other", "version": 0, "spec": {"title": "Other"}});

    assert_rejected(
        call(Method::GET, "/v1/status"),
        401,
        "missing-key",
        "authorization",
    )
    .await;
    assert_rejected(
        call(Method::GET, "/v1/status").bearer_auth(KEY),
        403,
        "wrong-key",
        "key",
    )
    .await;
    assert_rejected(
        keyed(Method::GET, "/v1/records/teams"),
        404,
        "unknown-kind",
        "teams",
    )
    .await;
    assert_rejected(
        keyed(Method::GET, "/v1/records/team/none"),
        404,
        "unknown-record",
        "none",
    )
    .await;
    assert_rejected(
        keyed(Method::GET, "/v1/records/team/anfa?schema=3"),
        400,
        "unknown-schema",
        "3",
    )
    .await;
    assert_rejected(
        keyed(Method::GET, "/v1/records/team/anfa?floor=x"),
        400,
        "bad-number",
        "floor",
    )
    .await;
    assert_rejected(
        keyed(Method::DELETE, "/v1/records/team/anfa"),
        400,
        "missing-version",
        "version",
    )
    .await;
    assert_rejected(
        keyed(Method::PUT, "/v1/records/team/anfa").body("{"),
        400,
        "bad-json",
        "EOF",
    )
    .await;
    assert_rejected(
        keyed(Method::PUT, "/v1/records/team/anfa").json(&other),
        400,
        "wrong-name",
        "path",
    )
    .await;
    assert_rejected(
        keyed(Method::PUT, "/v1/records/team/anfa").json(&team),
        409,
        "conflict",
        "version 1",
    )
    .await;
    assert_eq!(
        call(Method::GET, "/live")
            .send()
            .await
            .expect("the daemon should respond")
            .status(),
        200
    );
    assert_eq!(
        call(Method::GET, "/ready")
            .send()
            .await
            .expect("the daemon should respond")
            .status(),
        200
    );

    cell.stop().await.expect("all processes should exit with code 0");
}

/// Guards against connections beyond `max_connections`, against closing them without a response, and
/// against counting connections that have been closed.
#[tokio::test]
async fn rejects_connections_over_the_limit() {
    let cell = CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .adjust_daemon(|daemon| daemon.callers.max_connections = 2)
        .records(RECORDS)
        .start()
        .await
        .expect("the cell should start");
    let address = cell.caller_addresses()[0];
    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(
            TcpStream::connect(address)
                .await
                .expect("the daemon should accept the connection"),
        );
    }

    assert_rejected(request(&cell), 503, "too-many-connections", "connections").await;
    drop(held);
    sleep(Duration::from_millis(500)).await;
    assert_rejected(request(&cell), 400, "missing-request-id", "header").await;

    cell.stop().await.expect("all processes should exit with code 0");
}
