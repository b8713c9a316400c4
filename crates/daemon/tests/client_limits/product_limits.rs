//! Clients outside the limits at the addresses of the product's own interface.

use {
    crate::{
        alone,
        crowd::{self, Target, list_of},
        process_usage::{Bounds, UsageWatch},
    },
    fuchsiatack_testkit::{Cell, CellBuilder},
    std::{net::SocketAddr, time::Duration},
    tokio::{runtime::Runtime, time::sleep},
};

const RECORDS: &str = r#"
{schema: 2, kind: team, name: anfa, version: 0, spec: {title: Anfa}}
---
{schema: 1, kind: key, name: anfa-1, version: 0, spec: {team: anfa, secret: key-of-team-anfa}}
---
{schema: 2, kind: queue, name: repairs, version: 0, spec: {access: keyed, policy: interactive, max_waiting: 100, demand: {slots: 1, connections: 1}}}
"#;
/// Longest body of the callers' address in bytes, the default.
const BODY_BYTES: usize = 1 << 20;
/// Memory that is assumed without a setting, in MB.
const MEMORY_MB: usize = 128;
/// Clients whose bodies of legal size take 200 MB together.
const CROWD: usize = 200;
/// Limit on the connections of callers, lowered from 4,096.
const MAX_CONNECTIONS: u32 = 200;
/// Descriptors of a daemon with both addresses full: the callers' and operators' connections (200 and
/// 256), one refused connection for each 64 and 200 more for files and peers.
const MAX_DESCRIPTORS: usize = 720;
/// Longest wait for an answer. It ends a test that hangs and is no measurement.
const WAIT_ATTEMPTS: usize = 150;
const WAIT_PERIOD: Duration = Duration::from_millis(200);
const HEADERS: &str =
    "Host: product\r\nAuthorization: Bearer key-of-team-anfa\r\nFuchsiatack-Request-Id: crowd\r\n";
const RUN: Target<'static> = Target {
    headers: HEADERS,
    method: "POST",
    path: "/v1/queues/repairs/requests",
};
const ANNOUNCE: Target<'static> = Target {
    path: "/v1/workers/announce",
    ..RUN
};
const UNROUTED: Target<'static> = Target {
    path: "/v1/no/such/path",
    ..RUN
};
const READY: Target<'static> = Target {
    headers: "Host: product\r\n",
    method: "GET",
    path: "/ready",
};
const METRICS: Target<'static> = Target {
    path: "/metrics",
    ..READY
};

fn callers(cell: &mut Cell) -> SocketAddr {
    cell.daemon(1).caller_address()
}

fn operators(cell: &mut Cell) -> SocketAddr {
    cell.daemon(1).operator_address()
}

async fn start_cell() -> Cell {
    CellBuilder::new(env!("CARGO_BIN_EXE_fuchsiatackd"))
        .workers(1)
        .adjust_daemon(|daemon| {
            daemon.callers.max_connections = MAX_CONNECTIONS;
            daemon.callers.max_body_bytes = BODY_BYTES as u64;
        })
        .records(RECORDS)
        .start()
        .await
        .expect("the cell should start")
}

/// Checks that a request runs on a worker and that the daemon reports to be ready.
async fn check_serves(cell: &mut Cell) {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(3))
        .build()
        .expect("a client without TLS needs no system support");
    let url = format!("http://{}{}", callers(cell), RUN.path);
    let mut status = None;
    for _ in 0..WAIT_ATTEMPTS {
        let request = client.post(&url).bearer_auth("key-of-team-anfa");
        let request = request.header("fuchsiatack-idempotent", "true").body("a body");
        status = request
            .send()
            .await
            .ok()
            .map(|response| response.status().as_u16());
        if status == Some(200) && cell.is_ready(1).await {
            return;
        }
        sleep(WAIT_PERIOD).await;
    }
    panic!("no request was run, the last status is {status:?}");
}

/// Connects a crowd to one address of a daemon, and checks the daemon's usage and service.
fn crowd_at(test: &str, address: fn(&mut Cell) -> SocketAddr, count: usize, request: &[u8]) {
    let _alone = alone();
    let runtime = Runtime::new().expect("the runtime should start");
    let mut cell = runtime.block_on(start_cell());
    let id = cell.daemon(1).process().id().expect("the daemon should run");
    let usage = UsageWatch::start(id);

    let crowd = crowd::open(address(&mut cell), count, request);
    runtime.block_on(check_serves(&mut cell));

    drop(crowd);
    usage.check(
        test,
        &Bounds {
            descriptors: MAX_DESCRIPTORS,
            memory_mb: MEMORY_MB,
        },
    );
}

/// Guards against memory for bodies that never end, of requests to a queue.
#[test]
fn product_holds_stopped_bodies_of_requests() {
    let request = RUN.stopped_body(BODY_BYTES);
    crowd_at("product: stopped bodies, queue", callers, CROWD, &request);
}

/// Guards against memory for announcements that never end, which need no key.
#[test]
fn product_holds_stopped_bodies_of_announcements() {
    let request = ANNOUNCE.stopped_body(BODY_BYTES);
    crowd_at("product: stopped bodies, announcement", callers, CROWD, &request);
}

/// Guards against memory for chunked announcements in small pieces that never end.
#[test]
fn product_holds_stopped_chunks_of_announcements() {
    let request = ANNOUNCE.stopped_chunks(BODY_BYTES);
    crowd_at("product: stopped chunks, announcement", callers, CROWD, &request);
}

/// Guards against reading bodies at unknown paths.
/// Not reproduced on the code before the limits, where the router answers first: 22 MB.
#[test]
fn product_holds_stopped_bodies_at_unknown_paths() {
    let request = UNROUTED.stopped_body(BODY_BYTES);
    crowd_at("product: stopped bodies, unknown path", callers, CROWD, &request);
}

/// Guards against reading bodies of readiness probes.
/// Not reproduced on the code before the limits, where the handler reads no body: 22 MB.
#[test]
fn product_holds_stopped_bodies_at_readiness() {
    let request = READY.stopped_body(BODY_BYTES);
    crowd_at("product: stopped bodies, readiness", operators, CROWD, &request);
}

/// Guards against reading bodies that are declared far over the limit.
#[test]
fn product_refuses_bodies_far_over_the_limit() {
    let request = ANNOUNCE.far_too_long();
    crowd_at("product: too long, announcement", callers, CROWD, &request);
}

/// Guards against decoding announcements of legal size that are made of very many short elements.
/// Not reproduced on the code before the limits, where unknown fields are skipped: 88 MB.
#[test]
fn product_refuses_announcements_of_many_elements() {
    let body = format!("{{\"labels\":{}}}", list_of("\"\"", BODY_BYTES - 64));
    crowd_at("product: many elements", callers, 160, &ANNOUNCE.whole(&body));
}

/// Guards against memory for request heads that never end.
/// Not reproduced on the code before the limits, which has one for heads: 22 MB.
#[test]
fn product_refuses_endless_heads() {
    let request = RUN.endless_head(300 << 10);
    crowd_at("product: endless heads", callers, 400, &request);
}

/// Guards against memory for unread responses of the metrics, which are long.
/// Not reproduced on the code before the limits: 28 MB.
#[test]
fn product_holds_unread_pipelines_at_metrics() {
    let request = METRICS.pipelined(300);
    crowd_at("product: pipelines, metrics", operators, CROWD, &request);
}

/// Guards against descriptors for clients that stop half-way.
/// Not reproduced on the code before the limits, which has one for connections: 287 descriptors.
#[test]
fn product_bounds_connections_of_stopped_clients() {
    let request = RUN.half_line();
    crowd_at("product: half lines, callers", callers, 900, &request);
}
