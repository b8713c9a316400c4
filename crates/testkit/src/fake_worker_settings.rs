//! Settings and faults of a fake worker.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DataCenter, RackName, Resources, WorkerName},
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
    },
};

/// Settings of a fake worker; also the format of its settings file (JSON).
#[message]
#[serde(default, deny_unknown_fields)]
pub struct FakeWorkerSettings {
    /// Address to listen on. With port 0 the system chooses a port.
    pub address: SocketAddr,
    /// Address to announce, for example that of a proxy; the listen address if absent.
    pub advertised_address: Option<SocketAddr>,
    /// Resources that the worker offers.
    pub capacity: Resources,
    /// Worker class to announce; no class if absent.
    pub class: Option<SmolStr>,
    /// Faults at the start; `POST /testkit/control` replaces them later.
    pub control: WorkerControl,
    /// Data centre to announce.
    pub data_center: DataCenter,
    /// Run time of a task whose body gives none, in milliseconds.
    pub default_run_ms: u64,
    /// Addresses of entry VMs, tried in turn. Without any, the worker is not announced.
    pub entries: Vec<SocketAddr>,
    /// Time for which a stopping worker still accepts tasks after it announced that it is leaving, in
    /// milliseconds. The design allows daemons 3 s to stop sending.
    pub leave_grace_ms: u64,
    /// Event log; events are discarded if absent.
    pub log: Option<PathBuf>,
    /// Name to announce.
    pub name: WorkerName,
    /// Rack to announce.
    pub rack: RackName,
    /// Proxy addresses to use instead of the given entry and owner addresses.
    pub routes: BTreeMap<SmolStr, SocketAddr>,
    /// Speed in thousandths of an ordinary worker's speed.
    pub speed_millis: u32,
    /// Longest wait for running tasks during a graceful stop, in milliseconds.
    pub stop_limit_ms: u64,
}

impl Default for FakeWorkerSettings {
    /// A worker of ordinary size in the design: 8 slots, 64 connections, 32 cores, 128 GiB.
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            advertised_address: None,
            capacity: Resources {
                accelerators: 0,
                connections: 64,
                memory_bytes: 128 << 30,
                processors_millis: 32_000,
                slots: 8,
            },
            class: None,
            control: WorkerControl::default(),
            data_center: DataCenter::new("dc-1"),
            default_run_ms: 10,
            entries: Vec::new(),
            leave_grace_ms: 3_000,
            log: None,
            name: WorkerName::new("worker-1"),
            rack: RackName::new("rack-1"),
            routes: BTreeMap::new(),
            speed_millis: 1_000,
            stop_limit_ms: 30_000,
        }
    }
}

/// Faults of a fake worker, replaceable while it runs.
#[derive(Default)]
#[message]
#[serde(default, deny_unknown_fields)]
pub struct WorkerControl {
    /// Every task fails.
    pub fail: bool,
    /// Every task runs until it is cancelled or its lease expires.
    pub hang: bool,
    /// Additional delay of the response to every run, in milliseconds.
    pub late_ms: u64,
    /// Every run is refused with status 429.
    pub refuse: bool,
}
