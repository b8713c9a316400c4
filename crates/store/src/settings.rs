//! Settings of the store role.

use {
    crate::WorkMetrics,
    fuchsiatack_consensus::disk::LogStoreSettings,
    fuchsiatack_jobs::{CellReport, Effect, LogEvent, PlannerSettings},
    fuchsiatack_ledger::AllocatorSettings,
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    smol_str::SmolStr,
    std::{net::SocketAddr, path::PathBuf},
    tokio::sync::{mpsc::UnboundedSender, watch},
};

/// A member listed in the settings for the formation of the cell.
#[derive(Clone, Debug)]
pub struct InitialMember {
    /// Address at which other members connect to it.
    pub address: SocketAddr,
    /// Name, unique in the list.
    pub name: SmolStr,
}

/// How daemons become store members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Membership {
    /// By request: the leader adds every daemon that has the cell's secret and asks to join.
    Joining {
        /// Address at which other members connect to this one.
        address: SocketAddr,
        /// Whether the listed members may form a new cell. Must be false once a cell was formed, so
        /// that members that lost their disks cannot form a second one.
        may_form: bool,
    },
    /// By `store_member` records, which operators write.
    Records,
}

/// Settings of the job planner, and the queues for its output.
#[derive(Clone, Debug)]
pub struct JobsSettings {
    /// Queue for effects to run outside the store.
    pub effects: UnboundedSender<Effect>,
    /// Queue for log events.
    pub log_events: UnboundedSender<LogEvent>,
    /// Intervals and limits of the planner.
    pub planner: PlannerSettings,
    /// Latest report of this daemon as leader on the cell.
    pub reports: watch::Sender<CellReport>,
    /// Durations of the work that may hold up heartbeats.
    pub work: WorkMetrics,
}

/// Settings of a `Store`.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Settings of the allocator. Without it, all renewals fail.
    pub allocator: Option<AllocatorSettings>,
    /// Data folder; created if it is missing.
    pub data_folder: PathBuf,
    /// Longest election timeout in milliseconds.
    pub election_maximum_ms: u64,
    /// Shortest election timeout in milliseconds.
    pub election_minimum_ms: u64,
    /// Interval between heartbeats in milliseconds.
    pub heartbeat_ms: u64,
    /// Settings of the job planner. Without them, `Request::Cell` gets the response `NotLeader`.
    pub jobs: Option<JobsSettings>,
    /// Segment size of the replicated log on disk, and faults that tests inject.
    pub log_store: LogStoreSettings,
    /// Members that form the cell. With `Membership::Records`, `Store::start` fails if this member
    /// is not listed.
    pub members: Vec<InitialMember>,
    /// How members are added once the cell is formed.
    pub membership: Membership,
    /// Name of this member in `members` and in `store_member` records.
    pub name: SmolStr,
    /// Settings of the connections to other members.
    pub peer: PeerClientSettings,
    /// Secret by which the daemons of the cell authenticate each other.
    pub secret: CellSecret,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// Applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
}

impl StoreSettings {
    /// Returns settings with defaults for everything that has no parameter.
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
