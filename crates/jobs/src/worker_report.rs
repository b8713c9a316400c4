//! Heartbeat of a worker.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DataCenter, Resources, WorkerName},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// State that a worker reports periodically.
#[message]
pub struct WorkerReport {
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Start time in milliseconds since the Unix epoch. A higher value under the same name is a new
    /// incarnation, which has no runs and no memory of the earlier one.
    pub started_unix_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Reading of its monotonic clock in milliseconds.
    pub clock_ms: u64,
    /// Data centre in which it runs.
    pub data_center: DataCenter,
    /// Whether it accepts no new runs because it will leave.
    pub draining: bool,
    /// Labels: its kind, its rack, then any others.
    pub labels: Vec<SmolStr>,
    /// Name of the machine that it runs on; maintenance waves name it.
    pub machine: SmolStr,
    /// Name of the worker; restarts keep it.
    pub name: WorkerName,
    /// Minimum time until it leaves while it drains, in milliseconds; `None` if it does not
    /// report it.
    pub remaining_ms: Option<u64>,
    /// Number of the heartbeat; rises within one incarnation.
    pub sequence: u64,
    /// Service whose tasks it runs.
    pub service: SmolStr,
}
