//! Settings of the store role.

use {
    fuchsiatack_consensus::disk::LogStoreSettings,
    fuchsiatack_jobs::{Effect, LogEvent, PlannerSettings},
    fuchsiatack_ledger::AllocatorSettings,
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    smol_str::SmolStr,
    std::{net::SocketAddr, path::PathBuf},
    tokio::sync::mpsc::UnboundedSender,
};

/// A member that the settings list for the formation of the cell.
#[derive(Clone, Debug)]
pub struct InitialMember {
    /// Peer address.
    pub address: SocketAddr,
    /// Name.
    pub name: SmolStr,
}

/// Who decides which daemons are store members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Membership {
    /// Every daemon with the cell's secret that asks for it is taken in.
    Joining {
        /// Peer address of this member.
        address: SocketAddr,
        /// Whether the listed members may form a new cell. It must be false once a cell was
        /// formed, so that members that lost their disks do not form a second one.
        may_form: bool,
    },
    /// Operators, by `store_member` records.
    Records,
}

/// The store's part of the scheduling of jobs. Effects and lines for the log go to these queues.
#[derive(Clone, Debug)]
pub struct JobsSettings {
    /// Effects that the leader wants carried out.
    pub effects: UnboundedSender<Effect>,
    /// Lines for the log.
    pub notes: UnboundedSender<LogEvent>,
    /// Times and limits of the planner.
    pub planner: PlannerSettings,
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
    /// Scheduling of jobs; `None` refuses calls to the cell.
    pub jobs: Option<JobsSettings>,
    /// Settings of the log files.
    pub log_store: LogStoreSettings,
    /// Members that form the cell, this one included.
    pub members: Vec<InitialMember>,
    /// Who decides on the members.
    pub membership: Membership,
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
            jobs: None,
            log_store: LogStoreSettings::default(),
            members,
            membership: Membership::Records,
            name: name.into(),
            peer: PeerClientSettings::default(),
            secret,
            snapshot_bytes: 8 << 20,
            snapshot_entries: 10_000,
        }
    }
}
