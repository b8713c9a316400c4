//! Clients outside the limits at the addresses of an entry daemon of the platform.

use crate::{
    alone,
    crowd::{self, Target, list_of},
    platform_cell::{CALLER_HEADERS, PREFIX, PlatformCell, wait_until},
};

/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 262_144;
/// `maxHeaderBytes` of the configuration.
const HEAD_BYTES: usize = 16_384;
/// Clients of one crowd. Their bodies of legal size take 75 MB together.
const CROWD: usize = 300;
const ROUTED: Target<'static> = Target {
    headers: CALLER_HEADERS,
    method: "POST",
    path: "/repairs/0123456789abcdef",
};
const UNROUTED: Target<'static> = Target {
    path: "/no/such/route",
    ..ROUTED
};
const READY: Target<'static> = Target {
    headers: "Host: ready\r\n",
    method: "GET",
    path: "/ready",
};
const METRICS: Target<'static> = Target {
    headers: "Host: metrics\r\n",
    method: "GET",
    path: "/metrics",
};

/// Connects a crowd to one address of an entry, and checks the entry's usage and service.
fn crowd_at(test: &str, address: fn(&PlatformCell) -> std::net::SocketAddr, count: usize, request: &[u8]) {
    let _alone = alone();
    let cell = PlatformCell::start();
    let usage = cell.watch_entry();

    let crowd = crowd::open(address(&cell), count, request);
    cell.check_entry_serves();

    drop(crowd);
    usage.check(test, &PlatformCell::entry_bounds());
}

/// Guards against memory for bodies that never end, at a path with a route.
#[test]
fn entry_holds_stopped_bodies_at_a_route() {
    let request = ROUTED.stopped_body(BODY_BYTES);
    crowd_at("stopped bodies, route", PlatformCell::callers, CROWD, &request);
}

/// Guards against memory for bodies that never end, at a path without a route.
#[test]
fn entry_holds_stopped_bodies_without_a_route() {
    let request = UNROUTED.stopped_body(BODY_BYTES);
    crowd_at("stopped bodies, no route", PlatformCell::callers, CROWD, &request);
}

/// Guards against reading bodies of readiness probes.
#[test]
fn entry_holds_stopped_bodies_at_readiness() {
    let request = READY.stopped_body(BODY_BYTES);
    crowd_at(
        "stopped bodies, readiness",
        PlatformCell::readiness,
        CROWD,
        &request,
    );
}

/// Guards against memory for chunked bodies in small pieces that never end, at a path with a route.
#[test]
fn entry_holds_stopped_chunks_at_a_route() {
    let request = ROUTED.stopped_chunks(BODY_BYTES);
    crowd_at("stopped chunks, route", PlatformCell::callers, CROWD, &request);
}

/// Guards against memory for chunked bodies in small pieces that never end, at a path without a route.
#[test]
fn entry_holds_stopped_chunks_without_a_route() {
    let request = UNROUTED.stopped_chunks(BODY_BYTES);
    crowd_at("stopped chunks, no route", PlatformCell::callers, CROWD, &request);
}

/// Guards against reading chunked bodies of readiness probes.
#[test]
fn entry_holds_stopped_chunks_at_readiness() {
    let request = READY.stopped_chunks(BODY_BYTES);
    crowd_at(
        "stopped chunks, readiness",
        PlatformCell::readiness,
        CROWD,
        &request,
    );
}

/// Guards against reading bodies that are declared far over the limit, at a path with a route.
#[test]
fn entry_refuses_bodies_far_over_the_limit_at_a_route() {
    let request = ROUTED.far_too_long();
    crowd_at("too long, route", PlatformCell::callers, CROWD, &request);
}

/// Guards against reading bodies that are declared far over the limit, at a path without a route.
#[test]
fn entry_refuses_bodies_far_over_the_limit_without_a_route() {
    let request = UNROUTED.far_too_long();
    crowd_at("too long, no route", PlatformCell::callers, CROWD, &request);
}

/// Guards against reading bodies that are declared far over the limit, at the readiness address.
#[test]
fn entry_refuses_bodies_far_over_the_limit_at_readiness() {
    let request = READY.far_too_long();
    crowd_at("too long, readiness", PlatformCell::readiness, CROWD, &request);
}

/// Guards against decoding a body of legal size that is made of very many short elements.
#[test]
fn entry_refuses_bodies_of_many_elements() {
    let body = format!("{{\"steps\":{}}}", list_of("{}", BODY_BYTES - 64));
    crowd_at("many elements", PlatformCell::callers, 40, &ROUTED.whole(&body));
}

/// Guards against memory for request heads that never end.
#[test]
fn entry_refuses_endless_heads() {
    let request = ROUTED.endless_head(300 << 10);
    crowd_at("endless heads", PlatformCell::callers, CROWD, &request);
}

/// Guards against memory for request heads of legal size made of very many short fields.
/// Not reproduced on the code before the limits, where hyper refuses them: 15 MB.
#[test]
fn entry_refuses_heads_of_many_short_fields() {
    let request = ROUTED.short_fields(HEAD_BYTES);
    crowd_at("short header fields", PlatformCell::callers, CROWD, &request);
}

/// Guards against memory for responses to pipelined requests that the client does not read.
#[test]
fn entry_holds_unread_pipelines_at_a_route() {
    let target = Target {
        method: "GET",
        ..ROUTED
    };
    crowd_at(
        "pipelines, route",
        PlatformCell::callers,
        CROWD,
        &target.pipelined(300),
    );
}

/// Guards against memory for unread responses of the metrics, which are long.
#[test]
fn entry_holds_unread_pipelines_at_metrics() {
    let request = METRICS.pipelined(300);
    crowd_at("pipelines, metrics", PlatformCell::entry_metrics, CROWD, &request);
}

/// Guards against descriptors for clients that stop half-way, at the callers' address.
#[test]
fn entry_bounds_connections_of_stopped_callers() {
    let request = ROUTED.half_line();
    crowd_at("half lines, callers", PlatformCell::callers, CROWD, &request);
}

/// Guards against descriptors for clients that stop half-way, at the readiness address.
#[test]
fn entry_bounds_connections_of_stopped_probes() {
    let request = READY.half_line();
    crowd_at("half lines, readiness", PlatformCell::readiness, CROWD, &request);
}

/// Guards against descriptors for clients that stop half-way, at the metrics address.
#[test]
fn entry_bounds_connections_at_metrics() {
    let request = METRICS.half_line();
    crowd_at(
        "half lines, metrics",
        PlatformCell::entry_metrics,
        CROWD,
        &request,
    );
}

/// Guards against jobs that are lost or refused for good beside a crowd.
#[test]
fn jobs_submitted_beside_a_crowd_run_and_are_read() {
    const JOBS: usize = 8;
    let _alone = alone();
    let cell = PlatformCell::start();
    let worker = cell.start_worker();
    let usage = cell.watch_entry();
    let id = |number| format!("{number:016x}");

    let crowd = crowd::open(cell.callers(), CROWD, &ROUTED.stopped_body(BODY_BYTES));
    for number in 0..JOBS {
        wait_until("a job is accepted", || cell.submit(&id(number)) == Some(200));
    }
    drop(crowd);

    for number in 0..JOBS {
        wait_until("a job is completed", || {
            cell.read(&id(number)).as_deref() == Some("completed")
        });
    }
    assert_eq!(worker.running(), 0, "{PREFIX}: a run goes on after its job");
    usage.check("jobs beside a crowd", &PlatformCell::entry_bounds());
}
