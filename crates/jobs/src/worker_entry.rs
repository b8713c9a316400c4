//! A worker as the replicated state keeps it.

use {
    crate::WorkerReport,
    fuchsiatack_derives::message,
    fuchsiatack_model::{DataCenter, Resources},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The part of a worker's report that changes rarely.
#[message]
pub struct WorkerEntry {
    /// Address of its own interface.
    pub address: SocketAddr,
    /// Time of its start in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// What it holds.
    pub capacity: Resources,
    /// Its data centre.
    pub data_center: DataCenter,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its kind and its rack, in this order, and further labels.
    pub labels: Vec<SmolStr>,
    /// Machine that it runs on.
    pub machine: SmolStr,
    /// Service that it belongs to.
    pub service: SmolStr,
}

impl WorkerEntry {
    /// Returns its kind, or an empty text.
    pub fn kind(&self) -> &str {
        self.labels.first().map_or("", SmolStr::as_str)
    }

    /// Returns its rack, or an empty text.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", SmolStr::as_str)
    }
}

impl From<&WorkerReport> for WorkerEntry {
    fn from(report: &WorkerReport) -> Self {
        Self {
            address: report.address,
            started_unix_ms: report.started_unix_ms,
            capacity: report.capacity,
            data_center: report.data_center.clone(),
            draining: report.draining,
            labels: report.labels.clone(),
            machine: report.machine.clone(),
            service: report.service.clone(),
        }
    }
}
