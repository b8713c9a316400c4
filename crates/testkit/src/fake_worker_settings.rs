//! Settings of a fake worker.

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

/// Settings of a fake worker, also the form of its settings file (JSON).
#[message]
#[serde(default, deny_unknown_fields)]
pub struct FakeWorkerSettings {
    /// Address to listen on. Port 0 lets the system choose.
    pub address: SocketAddr,
    /// Address to announce if it is not the one listened on, for a proxy between.
    pub advertised_address: Option<SocketAddr>,
    /// What the worker holds.
    pub capacity: Resources,
    /// Worker class to announce.
    pub class: Option<SmolStr>,
    /// What it does at the start; changed later with `POST /testkit/control`.
    pub control: WorkerControl,
    /// Data centre to announce.
    pub data_center: DataCenter,
    /// Run time of a task that gives none, in milliseconds.
    pub default_run_ms: u64,
    /// Addresses of entry VMs, tried one after the other.
    pub entries: Vec<SocketAddr>,
    /// Time a stopping worker still accepts tasks after it announced that, in milliseconds.
    /// The design allows daemons 3 s to stop sending.
    pub leave_grace_ms: u64,
    /// Event log. Events are discarded if absent.
    pub log: Option<PathBuf>,
    /// Name to announce.
    pub name: WorkerName,
    /// Rack to announce.
    pub rack: RackName,
    /// Replacement of entry and owner addresses, for a proxy between.
    pub routes: BTreeMap<SmolStr, SocketAddr>,
    /// Speed relative to an ordinary worker, in thousandths.
    pub speed_millis: u32,
    /// Longest wait for running tasks in a graceful stop, in milliseconds.
    pub stop_limit_ms: u64,
}

impl Default for FakeWorkerSettings {
    /// A worker of the ordinary size of the design: 8 slots, 64 connections, 32 cores, 128 GB.
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

/// Faults of a fake worker that can be switched while it runs.
#[derive(Default)]
#[message]
#[serde(default, deny_unknown_fields)]
pub struct WorkerControl {
    /// Every task fails.
    pub fail: bool,
    /// Every task runs until it is cancelled or its lease ends.
    pub hang: bool,
    /// Added delay of every answer, in milliseconds.
    pub late_ms: u64,
    /// Every run is refused with 429.
    pub refuse: bool,
}
