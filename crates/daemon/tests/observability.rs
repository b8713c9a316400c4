//! Metrics, traces, logs, drains and record reads of a running cell.

use {
    fuchsiatack_testkit::{Cell, CellBuilder, TaskBody, WorkerEventKind},
    futures_util::future::join_all,
    reqwest::{Client, Response},
    serde_json::{Value, json},
    std::{fs, path::PathBuf, time::Duration},
};

const KEY: &str = "key-of-team-anfa";
const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-team-anfa}}
---
{schema: 2, kind: limit, name: anfa, version: 0, spec: {team: anfa, max_running: 20}}
---
{schema: 2, kind: queue, name: repairs, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;
const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

fn builder() -> CellBuilder {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd")).records(RECORDS)
}

/// Guards against missing counts of peer traffic, worker traffic, processor time or memory. The
/// documented capacity is derived from these metrics.
#[tokio::test]
async fn control_traffic_and_process_usage_are_counted() {
    let mut cell = builder()
        .daemons(2)
        .store_members(1)
        .workers(1)
        .start()
        .await
        .expect("the cell should start");
    let counters = [
        "fuchsiatack_peer_bytes_total{direction=\"sent\",kind=\"renewal\"}",
        "fuchsiatack_peer_bytes_total{direction=\"received\",kind=\"renewal\"}",
        "fuchsiatack_peer_bytes_total{direction=\"sent\",kind=\"hint\"}",
        "fuchsiatack_peer_bytes_total{direction=\"received\",kind=\"hint\"}",
        "fuchsiatack_peer_bytes_total{direction=\"received\",kind=\"push\"}",
        "fuchsiatack_peer_frames_total{direction=\"sent\",kind=\"proposal\"}",
        "fuchsiatack_process_cpu_seconds_total",
        "fuchsiatack_process_resident_memory_bytes",
    ];

    cell.wait_until(
        "the traffic and usage of an entry daemon are counted",
        async |cell| {
            let metrics = cell.metrics(2).await?;
            let is_positive = |name: &&str| metric_value(&metrics, name).is_some_and(|value| value > 0.0);
            Ok(counters.iter().all(is_positive))
        },
    )
    .await
    .expect("all counters should increase");
    cell.wait_until("a worker's announcements are counted", async |cell| {
        let mut sum = 0.0;
        for number in 1..=2 {
            let metrics = cell.metrics(number).await?;
            let name = "fuchsiatack_worker_bytes_total{direction=\"received\",kind=\"announce\"}";
            sum += metric_value(&metrics, name).unwrap_or_default();
        }
        Ok(sum > 0.0)
    })
    .await
    .expect("the counter should increase");
    cell.stop().await.expect("all processes should exit with code 0");
}

fn metric_value(metrics: &str, name: &str) -> Option<f64> {
    let line = metrics.lines().find(|line| line.starts_with(name))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

async fn send(cell: &Cell, request: &str) -> Response {
    send_for(cell, request, 10).await
}

async fn send_for(cell: &Cell, request: &str, run_ms: u64) -> Response {
    let address = cell.caller_addresses()[0];
    Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(30))
        .build()
        .expect("a client without TLS needs no system support")
        .post(format!("http://{address}/v1/queues/repairs/requests"))
        .bearer_auth(KEY)
        .header("fuchsiatack-request-id", request)
        .header("traceparent", format!("00-{TRACE_ID}-00f067aa0ba902b7-01"))
        .body(TaskBody::run(run_ms).to_json())
        .send()
        .await
        .expect("the daemon should respond")
}

/// Guards against processing steps without a span, requests that the metrics do not count, and secrets
/// in logs or traces.
#[tokio::test]
async fn a_request_produces_spans_and_metrics_without_secrets() {
    let traces = tempfile::tempdir().expect("a temporary folder should be created");
    let file = traces.path().join("traces.jsonl");
    let trace_file: PathBuf = file.clone();
    let mut cell = builder()
        .workers(1)
        .adjust_daemon(move |daemon| {
            daemon.log.level = "trace".into();
            daemon.traces.file = Some(trace_file.clone());
        })
        .start()
        .await
        .expect("the cell should start");

    assert_eq!(send(&cell, "request-1").await.status(), 200);
    let metrics = cell.metrics(1).await.expect("the metrics should be readable");
    let log = cell
        .daemon(1)
        .output()
        .expect("the daemon's output should be readable");
    cell.stop().await.expect("all processes should exit with code 0");

    for line in [
        "fuchsiatack_requests_total{outcome=\"done\"} 1",
        "fuchsiatack_run_seconds_count 1",
        "fuchsiatack_wait_seconds_count 1",
        "fuchsiatack_lease_valid 1",
        "fuchsiatack_store_role 2",
    ] {
        assert!(metrics.contains(line), "no {line} in {metrics}");
    }
    let text = fs::read_to_string(file).expect("the trace file should be readable");
    let spans: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("each span should be JSON"))
        .collect();
    for name in ["receive", "journal", "wait", "run"] {
        let found = spans.iter().find(|span| span["name"] == name);
        assert_eq!(found.expect(name)["trace_id"], TRACE_ID);
    }
    for secret in [KEY, "operator-key-of-a-test", "cell-secret-of-a-test"] {
        assert!(
            !log.contains(secret) && !text.contains(secret),
            "a secret appears in the log or the traces"
        );
    }
    assert!(
        log.lines()
            .all(|line| serde_json::from_str::<Value>(line).is_ok()),
        "{log}"
    );
}

/// Guards against tasks that start on a drained worker, and against a worker that receives no tasks
/// after its drain was deleted.
#[tokio::test]
async fn a_drained_worker_receives_no_tasks() {
    let mut cell = builder().workers(2).start().await.expect("the cell should start");
    let record =
        json!({"schema": 2, "kind": "drain", "name": "worker-1", "version": 0, "spec": {"reason": "repair"}});

    cell.put_record(&record)
        .await
        .expect("the drain should be accepted");
    for number in 0..20 {
        assert_eq!(send(&cell, &format!("drained-{number}")).await.status(), 200);
    }
    let starts_while_drained = count_starts(&cell, "worker-1");
    cell.delete_record("drain", "worker-1", 1)
        .await
        .expect("the record should be deleted");

    assert_eq!(starts_while_drained, 0);
    // Twelve requests at a time exceed the eight slots of the other worker.
    let requests: Vec<_> = (0..12).map(|number| format!("after-{number}")).collect();
    let responses = join_all(requests.iter().map(|request| send_for(&cell, request, 500))).await;
    assert!(responses.iter().all(|response| response.status() == 200));
    assert!(count_starts(&cell, "worker-1") > 0);
    cell.stop().await.expect("all processes should exit with code 0");
}

fn count_starts(cell: &Cell, worker: &str) -> usize {
    let events = cell.worker_events().expect("the worker log should be readable");
    events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started && event.worker.as_str() == worker)
        .count()
}

/// Guards against a resent write that creates a second version, and against a read that is older than
/// its floor. The write is resent to another daemon than the one that accepted it.
#[tokio::test]
async fn resent_writes_return_the_first_result_on_any_daemon() {
    let mut cell = builder().daemons(3).start().await.expect("the cell should start");
    let record = json!({"schema": 2, "kind": "share", "name": "anfa", "version": 0, "spec": {"team": "anfa", "weight_millis": 2000}});
    let path = "/v1/records/share/anfa";

    let first = cell
        .put_record(&record)
        .await
        .expect("the write should be accepted");
    // `operate` sends the operation id of the previous write.
    let second = cell
        .operate(2, reqwest::Method::PUT, path, Some(&record))
        .await
        .expect("the write should be accepted");
    let floor = first["index"].as_u64().expect("the index should be a number");
    let read = format!("{path}?floor={floor}&schema=2");
    let record = cell
        .operate(3, reqwest::Method::GET, &read, None)
        .await
        .expect("the record should be returned");

    assert_eq!((&first["version"], &second["version"]), (&json!(1), &json!(1)));
    assert_eq!(record["version"], 1);
    cell.stop().await.expect("all processes should exit with code 0");
}
