//! Settings file of `fuchsiatackd`, as section 9 of the design shows it.

use {
    fuchsiatack_derives::message,
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of one daemon.
#[message]
pub struct DaemonSettings {
    /// Name, unique in the cell.
    pub name: String,
    /// Data centre.
    pub data_center: String,
    /// `entry`, `store` or both.
    pub roles: Vec<String>,
    /// Relative size of the VM.
    pub weight: u32,
    /// File with the secret that all daemons of the cell share.
    pub cell_secret_file: PathBuf,
    /// File with the operator's key.
    pub operator_key_file: PathBuf,
    /// Address for callers and workers.
    pub callers: CallerSettings,
    /// Address for operators.
    pub operators: AddressSettings,
    /// Address for other daemons, TCP and UDP.
    pub peers: AddressSettings,
    /// Choice of workers: `policy` if absent, `least-loaded`, `random` or `two-choices`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement_rule: Option<String>,
    /// Store settings.
    pub store: StoreSettings,
    /// Lease times.
    pub leases: LeaseSettings,
    /// Election times.
    pub election: ElectionSettings,
    /// Log of the daemon.
    pub log: LogSettings,
    /// Traces of the daemon.
    pub traces: TraceSettings,
}

/// Where callers and workers connect.
#[message]
pub struct CallerSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address to give to workers and daemons if it is not the one listened on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
    /// Longest request body in bytes.
    pub max_body_bytes: u64,
    /// Most connections at a time.
    pub max_connections: u32,
}

/// One listening address.
#[message]
pub struct AddressSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Address to give to others if it is not the one listened on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertised_address: Option<SocketAddr>,
}

/// Store of the cell.
#[message]
pub struct StoreSettings {
    /// Folder for the log; only with the store role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// Initial members.
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

/// Lease times in milliseconds.
#[message]
pub struct LeaseSettings {
    /// Length of a daemon's lease.
    pub session_ms: u64,
    /// Interval of its renewal.
    pub session_renewal_ms: u64,
    /// Length of a worker's task lease.
    pub task_ms: u64,
    /// Interval of its renewal.
    pub task_renewal_ms: u64,
    /// Margin for clock drift and delays.
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
    /// Interval of heartbeats.
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

/// Log of a daemon.
#[message]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: String,
    /// File; standard error if absent.
    pub file: Option<PathBuf>,
}

/// Traces of a daemon.
#[message]
pub struct TraceSettings {
    /// File; no traces if absent.
    pub file: Option<PathBuf>,
}
