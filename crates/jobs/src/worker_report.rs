//! What a worker says of itself.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DataCenter, Resources, WorkerName},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A heartbeat of a worker.
#[message]
pub struct WorkerReport {
    /// Address of its own interface.
    pub address: SocketAddr,
    /// Time of its start in milliseconds since the Unix epoch. A higher value under the same name
    /// is a new life, which holds and knows nothing of the earlier one.
    pub started_unix_ms: u64,
    /// What it holds.
    pub capacity: Resources,
    /// Its steady clock in milliseconds.
    pub clock_ms: u64,
    /// Its data centre.
    pub data_center: DataCenter,
    /// Whether it will leave and takes no new work.
    pub draining: bool,
    /// Its kind and its rack, in this order, and further labels.
    pub labels: Vec<SmolStr>,
    /// Machine that it runs on.
    pub machine: SmolStr,
    /// Name, kept over restarts.
    pub name: WorkerName,
    /// Shortest time that is left while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Number of the heartbeat, rising in one life.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: SmolStr,
}
