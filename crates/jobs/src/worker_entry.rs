//! Entry of a worker in the replicated state.

use {
    crate::WorkerReport,
    fuchsiatack_derives::message,
    fuchsiatack_model::{DataCenter, Resources},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The part of a worker's heartbeat that rarely changes.
#[message]
pub struct WorkerEntry {
    /// Address at which it receives orders.
    pub address: SocketAddr,
    /// Start time of its present incarnation in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Data centre in which it runs.
    pub data_center: DataCenter,
    /// Whether it accepts no new runs because it will leave.
    pub draining: bool,
    /// Labels: its kind, its rack, then any others.
    pub labels: Vec<SmolStr>,
    /// Name of the machine that it runs on; maintenance waves name it.
    pub machine: SmolStr,
    /// Service whose tasks it runs.
    pub service: SmolStr,
}

impl WorkerEntry {
    /// Returns the entry of the worker's next incarnation, of which only a report has told. What its first
    /// heartbeat describes may have changed, so that no run fits on it until then.
    pub fn restarted(&self, started_unix_ms: u64) -> Self {
        Self {
            started_unix_ms,
            capacity: Resources::NONE,
            draining: false,
            ..self.clone()
        }
    }

    /// Returns whether a heartbeat of its incarnation has described the worker.
    pub fn is_described(&self) -> bool {
        self.capacity != Resources::NONE
    }

    /// Returns whether two entries of one incarnation agree in what does not change while it runs. Of a worker
    /// that is not described yet, only the address is known, at which it answered.
    pub fn is_same_worker(&self, other: &Self) -> bool {
        let is_same_address = self.address == other.address;
        if !self.is_described() {
            return is_same_address;
        }
        is_same_address
            && self.data_center == other.data_center
            && self.labels == other.labels
            && self.machine == other.machine
            && self.service == other.service
    }

    /// Returns its kind; empty if it has no labels.
    pub fn kind(&self) -> &str {
        self.labels.first().map_or("", SmolStr::as_str)
    }

    /// Returns its rack; empty if it has fewer than two labels.
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
