//! Clients outside the limits at the addresses of a core daemon of the platform.

use {
    crate::{
        alone,
        crowd::{self, Target, list_of},
        platform_cell::{PlatformCell, call, configuration, heartbeat},
    },
    serde_json::json,
    std::net::SocketAddr,
};

/// Longest body of a heartbeat or configuration in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Clients whose bodies of legal size take 160 MB together.
const CROWD: usize = 40;
/// Clients that hold a connection each, more than the descriptors of the core allow.
const CONNECTIONS: usize = 300;
const HEADERS: &str = "Host: control\r\n";
const HEARTBEAT: Target<'static> = Target {
    headers: HEADERS,
    method: "PUT",
    path: "/instances/i-7",
};
const UNROUTED: Target<'static> = Target {
    path: "/no/such/path",
    ..HEARTBEAT
};
const METRICS: Target<'static> = Target {
    headers: HEADERS,
    method: "GET",
    path: "/metrics",
};

/// Connects a crowd to one address of a core, and checks the core's usage and service.
fn crowd_at(test: &str, address: fn(&PlatformCell) -> SocketAddr, count: usize, request: &[u8]) {
    let _alone = alone();
    let cell = PlatformCell::start();
    let usage = cell.watch_core();

    let crowd = crowd::open(address(&cell), count, request);
    cell.check_core_serves();

    drop(crowd);
    usage.check(test, &PlatformCell::core_bounds());
}

/// Guards against memory for heartbeats that never end.
#[test]
fn core_holds_stopped_bodies_of_heartbeats() {
    let request = HEARTBEAT.stopped_body(BODY_BYTES);
    crowd_at(
        "stopped bodies, heartbeat",
        PlatformCell::control,
        CROWD,
        &request,
    );
}

/// Guards against reading bodies at unknown paths of the control address.
#[test]
fn core_holds_stopped_bodies_at_unknown_paths() {
    let request = UNROUTED.stopped_body(BODY_BYTES);
    crowd_at(
        "stopped bodies, unknown path",
        PlatformCell::control,
        CROWD,
        &request,
    );
}

/// Guards against memory for chunked heartbeats in small pieces that never end.
#[test]
fn core_holds_stopped_chunks_of_heartbeats() {
    let request = HEARTBEAT.stopped_chunks(BODY_BYTES);
    crowd_at(
        "stopped chunks, heartbeat",
        PlatformCell::control,
        CROWD,
        &request,
    );
}

/// Guards against reading heartbeats that are declared far over the limit.
#[test]
fn core_refuses_bodies_far_over_the_limit() {
    let request = HEARTBEAT.far_too_long();
    crowd_at("too long, heartbeat", PlatformCell::control, 200, &request);
}

/// Guards against decoding a heartbeat of legal size that is made of very many short elements.
#[test]
fn core_refuses_heartbeats_of_many_elements() {
    let labels = list_of("\"\"", BODY_BYTES - 1_024);
    let body = heartbeat(&[])
        .to_string()
        .replace("\"labels\":[]", &format!("\"labels\":{labels}"));
    crowd_at(
        "many elements",
        PlatformCell::control,
        CROWD,
        &HEARTBEAT.whole(&body),
    );
}

/// Guards against memory for long responses to clients that do not read them.
/// Not reproduced on the code before the limits: 47 MB.
#[test]
fn core_holds_unread_configurations() {
    const TENANTS: usize = 4_000;
    let _alone = alone();
    let cell = PlatformCell::start();
    let mut long = configuration(2);
    let tenants = long["tenants"].as_array_mut().expect("a list of tenants");
    tenants.extend((0..TENANTS).map(|number| {
        let key = format!("key-{number:0>60}");
        json!({
            "name": format!("team-{number}"), "apiKeys": [key], "priority": 1, "weight": 1,
            "cap": { "cpu": 0, "memMb": 0, "gpu": 0 },
        })
    }));
    let changed = call(cell.control(), "PUT", "/config", "", &long.to_string());
    assert_eq!(changed.map(|(status, _)| status), Some(200));
    let usage = cell.watch_core();

    let target = Target {
        path: "/config",
        ..METRICS
    };
    let crowd = crowd::open(cell.control(), CROWD, &target.pipelined(40));
    cell.check_core_serves();

    drop(crowd);
    usage.check("unread configurations", &PlatformCell::core_bounds());
}

/// Guards against memory for unread responses of the metrics, which are long.
/// Not reproduced on the code before the limits: 24 MB.
#[test]
fn core_holds_unread_pipelines_at_metrics() {
    let request = METRICS.pipelined(300);
    crowd_at(
        "pipelines, core metrics",
        PlatformCell::core_metrics,
        200,
        &request,
    );
}

/// Guards against descriptors for clients of the control address that stop half-way.
#[test]
fn core_bounds_connections_at_control() {
    let request = HEARTBEAT.half_line();
    crowd_at(
        "half lines, control",
        PlatformCell::control,
        CONNECTIONS,
        &request,
    );
}
