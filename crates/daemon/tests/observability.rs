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
const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";

fn builder() -> CellBuilder {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd")).records(RECORDS)
}

/// Guards against peer traffic, worker traffic, processor time or memory that is not counted: the
/// capacity page is derived from these metrics.
#[tokio::test]
async fn the_cost_of_control_is_counted() {
    let mut cell = builder()
        .daemons(2)
        .store_members(1)
        .workers(1)
        .start()
        .await
        .expect("the cell starts");
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

    cell.wait_until("the costs of an entry daemon are counted", async |cell| {
        let metrics = cell.metrics(2).await?;
        let is_positive = |name: &&str| value_of(&metrics, name).is_some_and(|value| value > 0.0);
        Ok(counters.iter().all(is_positive))
    })
    .await
    .expect("all counters rise");
    cell.wait_until("a worker's announcements are counted", async |cell| {
        let mut sum = 0.0;
        for number in 1..=2 {
            let metrics = cell.metrics(number).await?;
            let name = "fuchsiatack_worker_bytes_total{direction=\"received\",kind=\"announce\"}";
            sum += value_of(&metrics, name).unwrap_or_default();
        }
        Ok(sum > 0.0)
    })
    .await
    .expect("the counter rises");
    cell.stop().await.expect("exit code 0");
}

fn value_of(metrics: &str, name: &str) -> Option<f64> {
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
        .header("traceparent", format!("00-{TRACE}-00f067aa0ba902b7-01"))
        .body(TaskBody::run(run_ms).to_json())
        .send()
        .await
        .expect("an answer")
}

/// Guards against hops without a span, metrics without values and secrets in logs.
#[tokio::test]
async fn a_request_leaves_spans_and_counts_but_no_secret() {
    let traces = tempfile::tempdir().expect("a folder");
    let file = traces.path().join("traces.jsonl");
    let set: PathBuf = file.clone();
    let mut cell = builder()
        .workers(1)
        .adjust_daemon(move |daemon| {
            daemon.log.level = "trace".into();
            daemon.traces.file = Some(set.clone());
        })
        .start()
        .await
        .expect("the cell starts");

    assert_eq!(send(&cell, "request-1").await.status(), 200);
    let metrics = cell.metrics(1).await.expect("metrics");
    let log = cell.daemon(1).output().expect("a log");
    cell.stop().await.expect("exit code 0");

    for line in [
        "fuchsiatack_requests_total{outcome=\"done\"} 1",
        "fuchsiatack_run_seconds_count 1",
        "fuchsiatack_wait_seconds_count 1",
        "fuchsiatack_lease_valid 1",
        "fuchsiatack_store_role 2",
    ] {
        assert!(metrics.contains(line), "no {line} in {metrics}");
    }
    let text = fs::read_to_string(file).expect("traces");
    let spans: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    for name in ["receive", "journal", "wait", "run"] {
        let found = spans.iter().find(|span| span["name"] == name);
        assert_eq!(found.expect(name)["trace_id"], TRACE);
    }
    for secret in [KEY, "operator-key-of-a-test", "cell-secret-of-a-test"] {
        assert!(
            !log.contains(secret) && !text.contains(secret),
            "a secret is shown"
        );
    }
    assert!(
        log.lines()
            .all(|line| serde_json::from_str::<Value>(line).is_ok()),
        "{log}"
    );
}

/// Guards against new work on a drained worker, and work that never returns to it.
#[tokio::test]
async fn a_drained_worker_gets_no_work() {
    let mut cell = builder().workers(2).start().await.expect("the cell starts");
    let record =
        json!({"schema": 2, "kind": "drain", "name": "worker-1", "version": 0, "spec": {"reason": "repair"}});

    cell.put_record(&record).await.expect("a record");
    for number in 0..20 {
        assert_eq!(send(&cell, &format!("drained-{number}")).await.status(), 200);
    }
    let on_drained = starts(&cell, "worker-1");
    cell.delete_record("drain", "worker-1", 1)
        .await
        .expect("a withdrawal");

    assert_eq!(on_drained, 0);
    // More requests at a time than the eight slots of the other worker.
    let requests: Vec<_> = (0..12).map(|number| format!("after-{number}")).collect();
    let responses = join_all(requests.iter().map(|request| send_for(&cell, request, 500))).await;
    assert!(responses.iter().all(|response| response.status() == 200));
    assert!(starts(&cell, "worker-1") > 0);
    cell.stop().await.expect("exit code 0");
}

fn starts(cell: &Cell, worker: &str) -> usize {
    let events = cell.worker_events().expect("a readable log");
    events
        .iter()
        .filter(|event| event.event == WorkerEventKind::Started && event.worker.as_str() == worker)
        .count()
}

/// Guards against a resent write that makes a second version, and a read older than its floor.
#[tokio::test]
async fn resent_writes_return_the_first_result_on_any_daemon() {
    let mut cell = builder().daemons(3).start().await.expect("the cell starts");
    let record = json!({"schema": 2, "kind": "share", "name": "anfa", "version": 0, "spec": {"team": "anfa", "weight_millis": 2000}});
    let path = "/v1/records/share/anfa";

    let first = cell.put_record(&record).await.expect("a write");
    // The cell sends the operation id of its last write again.
    let second = cell
        .operate(2, reqwest::Method::PUT, path, Some(&record))
        .await
        .expect("a write");
    let floor = first["index"].as_u64().expect("an index");
    let read = format!("{path}?floor={floor}&schema=2");
    let record = cell
        .operate(3, reqwest::Method::GET, &read, None)
        .await
        .expect("a read");

    assert_eq!((&first["version"], &second["version"]), (&json!(1), &json!(1)));
    assert_eq!(record["version"], 1);
    cell.stop().await.expect("exit code 0");
}
