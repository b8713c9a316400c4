//! Description of an entry daemon, sent when it opens a session.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{DaemonName, DataCenter},
    std::net::SocketAddr,
};

/// Addresses and size of an entry daemon.
#[message]
pub struct DaemonInfo {
    /// Address of its HTTP server for callers and workers.
    pub caller_address: SocketAddr,
    /// Data centre that the daemon runs in.
    pub data_center: DataCenter,
    /// Name from the daemon's settings.
    pub name: DaemonName,
    /// Address of its peer port for TCP and UDP.
    pub peer_address: SocketAddr,
    /// Relative size. The daemon gets a number of the fleet's slots proportional to it.
    pub weight: u32,
}
