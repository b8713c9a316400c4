//! What an entry daemon tells the cell about itself.

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
    /// Data centre it runs in.
    pub data_center: DataCenter,
    /// Name from its settings.
    pub name: DaemonName,
    /// Address of its peer port, TCP and UDP.
    pub peer_address: SocketAddr,
    /// Relative size: its part of the fleet's slots is proportional to it.
    pub weight: u32,
}
