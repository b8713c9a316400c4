//! Settings of the store role.

use {
    fuchsiatack_consensus::disk::LogStoreSettings,
    fuchsiatack_ledger::AllocatorSettings,
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    smol_str::SmolStr,
    std::{net::SocketAddr, path::PathBuf},
};

/// A member that the settings list for the formation of the cell.
#[derive(Clone, Debug)]
pub struct InitialMember {
    /// Peer address.
    pub address: SocketAddr,
    /// Name.
    pub name: SmolStr,
}

/// Settings of a `Store`.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Times of the allocator. `None` runs no allocator, and renewals fail then.
    pub allocator: Option<AllocatorSettings>,
    /// Folder of the log.
    pub data_folder: PathBuf,
    /// Longest election timeout in milliseconds.
    pub election_maximum_ms: u64,
    /// Shortest election timeout in milliseconds.
    pub election_minimum_ms: u64,
    /// Interval of heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Settings of the log files.
    pub log_store: LogStoreSettings,
    /// Members that form the cell, this one included.
    pub members: Vec<InitialMember>,
    /// Name of this member.
    pub name: SmolStr,
    /// Times of the connections to other members.
    pub peer: PeerClientSettings,
    /// Secret of the cell.
    pub secret: CellSecret,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
}

impl StoreSettings {
    /// Returns the default settings of a member.
    pub fn new(
        name: impl Into<SmolStr>,
        data_folder: impl Into<PathBuf>,
        members: Vec<InitialMember>,
        secret: CellSecret,
    ) -> Self {
        Self {
            allocator: Some(AllocatorSettings::default()),
            data_folder: data_folder.into(),
            election_maximum_ms: 900,
            election_minimum_ms: 450,
            heartbeat_ms: 150,
            log_store: LogStoreSettings::default(),
            members,
            name: name.into(),
            peer: PeerClientSettings::default(),
            secret,
            snapshot_bytes: 8 << 20,
            snapshot_entries: 10_000,
        }
    }
}
