//! Worker registration: the body and response of `POST /v1/workers/announce`.

use {
    crate::{DataCenter, RackName, Resources, WorkerName},
    fuchsiatack_derives::message,
    smol_str::SmolStr,
};

/// Request body of `POST /v1/workers/announce`, sent by a worker at a regular interval.
#[message]
#[serde(deny_unknown_fields)]
pub struct WorkerAnnouncement {
    /// IP address and port of the worker's HTTP server.
    pub address: SmolStr,
    /// Total resources of the worker, whether in use or free.
    pub capacity: Resources,
    /// Name of the `worker_class` record that gives the worker's speed; absent for an ordinary worker.
    #[serde(default)]
    pub class: Option<SmolStr>,
    /// Data centre in which the worker runs.
    pub data_center: DataCenter,
    /// Whether the worker is about to stop and must not receive new tasks.
    #[serde(default)]
    pub leaving: bool,
    /// Name of the worker, unique in the cell.
    pub name: WorkerName,
    /// Rack in which the worker runs, unique in its data centre.
    pub rack: RackName,
}

/// Response to an announcement.
#[message]
pub struct AnnounceResponse {
    /// Time after which the worker announces itself again, in milliseconds.
    pub interval_ms: u64,
    /// IP address and port of the HTTP server of the daemon that owns the worker; absent until
    /// a daemon owns it.
    pub owner: Option<SmolStr>,
}
