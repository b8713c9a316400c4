//! Settings file of `fuchsiatackd`, in the form that the daemon reads.

use {
    fuchsiatack_derives::message,
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of one daemon.
#[message]
pub struct DaemonSettings {
    /// Name, unique in the cell.
    pub name: String,
    /// Data centre that the daemon runs in.
    pub data_center: String,
    /// `entry`, `store` or both.
    pub roles: Vec<String>,
    /// Size of the VM relative to the other daemons' VMs.
    pub weight: u32,
    /// File with the secret that all daemons of the cell share.
    pub cell_secret_file: PathBuf,
    /// File with the operator's key.
    pub operator_key_file: PathBuf,
    /// Listener for callers and workers.
    pub callers: CallerSettings,
    /// Listener for operators.
    pub operators: AddressSettings,
    /// Listener for other daemons, TCP and UDP.
    pub peers: AddressSettings,
    /// Placement rule: `policy` (if absent), `least-loaded`, `random` or `two-choices`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement_rule: Option<String>,
    /// Members and data folder of the store.
    pub store: StoreSettings,
    /// Durations of leases and their renewal intervals.
    pub leases: LeaseSettings,
    /// Election time-outs and the heartbeat interval.
    pub election: ElectionSettings,
    /// Level and destination of the daemon's log.
    pub log: LogSettings,
    /// Destination of the daemon's traces.
    pub traces: TraceSettings,
}

/// Listener for callers and workers, with its limits.
#[message]
pub struct CallerSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address that workers and daemons use, if it differs from `address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// Longest request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
}

/// One listening address.
#[message]
pub struct AddressSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address that others use, if it differs from `address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
}

/// Settings of the replicated store.
#[message]
pub struct StoreSettings {
    /// Folder for the log; present only with the store role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// Initial members, the same on all daemons of the cell.
    pub members: Vec<MemberSettings>,
}

/// One initial store member.
#[message]
pub struct MemberSettings {
    /// Name of the daemon.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Lease durations in milliseconds.
#[message]
pub struct LeaseSettings {
    /// Duration of a daemon's session lease.
    pub session_ms: u64,
    /// Interval between renewals of the session lease.
    pub session_renewal_ms: u64,
    /// Duration of a worker's task lease.
    pub task_ms: u64,
    /// Interval between renewals of the task lease.
    pub task_renewal_ms: u64,
    /// Safety margin for clock drift and delays.
    pub margin_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            session_ms: 3_000,
            session_renewal_ms: 750,
            task_ms: 10_000,
            task_renewal_ms: 3_000,
            margin_ms: 1_000,
        }
    }
}

/// Election times in milliseconds.
#[message]
pub struct ElectionSettings {
    /// Shortest election timeout.
    pub minimum_ms: u64,
    /// Longest election timeout.
    pub maximum_ms: u64,
    /// Interval between the leader's heartbeats.
    pub heartbeat_ms: u64,
}

impl Default for ElectionSettings {
    fn default() -> Self {
        Self {
            minimum_ms: 450,
            maximum_ms: 900,
            heartbeat_ms: 150,
        }
    }
}

/// Log settings of a daemon.
#[message]
pub struct LogSettings {
    /// Lowest level that is logged, e.g. `info`.
    pub level: String,
    /// Log file; standard error if absent.
    pub file: Option<PathBuf>,
}

/// Trace settings of a daemon.
#[message]
pub struct TraceSettings {
    /// Trace file; no traces are written if absent.
    pub file: Option<PathBuf>,
}
