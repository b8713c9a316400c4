//! How a worker makes itself known.

use {
    crate::{DataCenter, RackName, Resources, WorkerName},
    fuchsiatack_derives::message,
    smol_str::SmolStr,
};

/// Body of `POST /v1/workers/announce`.
#[message]
#[serde(deny_unknown_fields)]
pub struct WorkerAnnouncement {
    /// IP address and port of the worker's HTTP server.
    pub address: SmolStr,
    /// Everything the worker holds.
    pub capacity: Resources,
    /// Worker class record that describes it, if any.
    #[serde(default)]
    pub class: Option<SmolStr>,
    /// Data centre the worker is in.
    pub data_center: DataCenter,
    /// Whether the worker is about to stop and must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Name of the worker.
    pub name: WorkerName,
    /// Rack the worker is in.
    pub rack: RackName,
}

/// Answer to an announcement.
#[message]
pub struct AnnounceReply {
    /// Time until the next announcement in milliseconds.
    pub interval_ms: u64,
    /// IP address and port of the owner's HTTP server, once the worker has an owner.
    pub owner: Option<SmolStr>,
}
