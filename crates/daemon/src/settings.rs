//! Settings of a daemon, read from a YAML file.

use {
    crate::{SettingsError, client_limits::ClientSettings},
    fuchsiatack_kernel::PlacementRule,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// Role of a daemon. A daemon may have both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests of callers and runs them on workers.
    Entry,
    /// Stores a copy of the replicated log.
    Store,
}

/// Settings of the server for callers and workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on; required.
    pub address: Option<SocketAddr>,
    /// Address under which workers and daemons reach the server; `address` if absent.
    pub advertised_address: Option<SocketAddr>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            address: None,
            advertised_address: None,
            max_body_bytes: 1 << 20,
            max_connections: 4_096,
        }
    }
}

/// Settings of the server for operators.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on; required.
    pub address: Option<SocketAddr>,
}

/// Settings of the peer port, which uses TCP and UDP.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on; required.
    pub address: Option<SocketAddr>,
    /// Address under which other daemons reach the port; `address` if absent.
    pub advertised_address: Option<SocketAddr>,
}

/// Initial member of the store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Peer address of the member.
    pub address: SocketAddr,
    /// Name of the member's daemon.
    pub name: String,
}

/// Settings of the store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Folder for the log and the snapshots; required with the store role.
    pub data_folder: Option<PathBuf>,
    /// Initial members; at least one is required, also without the store role.
    pub members: Vec<MemberSettings>,
}

/// Settings of the leases of sessions and workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Time after the end of a lease until it counts as expired everywhere, in milliseconds.
    pub margin_ms: u64,
    /// Duration of a session lease in milliseconds.
    pub session_ms: u64,
    /// Time between renewals of a session in milliseconds.
    pub session_renewal_ms: u64,
    /// Duration of a worker's task lease in milliseconds.
    pub task_ms: u64,
    /// Time between renewals of a worker's task lease in milliseconds.
    pub task_renewal_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            margin_ms: 1_000,
            session_ms: 3_000,
            session_renewal_ms: 750,
            task_ms: 10_000,
            task_renewal_ms: 3_000,
        }
    }
}

/// Settings of the leader election.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ElectionSettings {
    /// Time between heartbeats of the leader in milliseconds.
    pub heartbeat_ms: u64,
    /// Longest election timeout in milliseconds.
    pub maximum_ms: u64,
    /// Shortest election timeout in milliseconds.
    pub minimum_ms: u64,
}

impl Default for ElectionSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 150,
            maximum_ms: 900,
            minimum_ms: 450,
        }
    }
}

/// Settings of the log, which is written as JSON lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Log file; standard error if absent.
    pub file: Option<PathBuf>,
    /// Least severe level that is logged: `critical`, `error`, `warn`, `info`, `debug`, `trace` or `off`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            file: None,
            level: "info".into(),
        }
    }
}

/// Settings of the traces, which are written as JSON lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// Trace file; traces are off if absent.
    pub file: Option<PathBuf>,
    /// Share of the requests without a parent trace that are traced, in thousandths.
    pub sample_millis: u32,
}

impl Default for TraceSettings {
    fn default() -> Self {
        Self {
            file: None,
            sample_millis: 1_000,
        }
    }
}

/// Settings of a planned stop.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time for which new requests are still accepted after `/ready` reports false, in milliseconds.
    pub grace_ms: u64,
}

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Settings of the server for callers and workers.
    pub callers: CallerSettings,
    /// File with the secret that all daemons of the cell share.
    pub cell_secret_file: PathBuf,
    /// Settings of the limits on clients.
    pub clients: ClientSettings,
    /// Data centre of the daemon's VM.
    pub data_center: String,
    /// Settings of the leader election.
    pub election: ElectionSettings,
    /// Settings of the leases of sessions and workers.
    pub leases: LeaseSettings,
    /// Settings of the log.
    pub log: LogSettings,
    /// Name of the daemon, unique in the cell.
    pub name: String,
    /// File with the key that all operators share.
    pub operator_key_file: PathBuf,
    /// Settings of the server for operators.
    pub operators: OperatorSettings,
    /// Settings of the peer port.
    pub peers: PeerSettings,
    /// Rule for choosing workers. Rules other than `policy` are for measurements.
    pub placement_rule: PlacementRule,
    /// Roles of the daemon; `entry` by default.
    pub roles: Vec<Role>,
    /// Settings of a planned stop.
    pub stop: StopSettings,
    /// Settings of the store.
    pub store: StoreSettings,
    /// Settings of the traces.
    pub traces: TraceSettings,
    /// Relative size of the daemon's VM; at least 1.
    pub weight: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            callers: CallerSettings::default(),
            cell_secret_file: PathBuf::new(),
            clients: ClientSettings::default(),
            data_center: String::new(),
            election: ElectionSettings::default(),
            leases: LeaseSettings::default(),
            log: LogSettings::default(),
            name: String::new(),
            operator_key_file: PathBuf::new(),
            operators: OperatorSettings::default(),
            peers: PeerSettings::default(),
            placement_rule: PlacementRule::default(),
            roles: vec![Role::Entry],
            stop: StopSettings::default(),
            store: StoreSettings::default(),
            traces: TraceSettings::default(),
            weight: 1,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file. Returns the first error with its line and key.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| SettingsError::unreadable(file, &error))?;
        let settings =
            serde_saphyr::from_str(&text).map_err(|error| SettingsError::parse(file, &text, &error))?;
        crate::settings_check::check(&settings, file, &text)?;
        Ok(settings)
    }

    /// Returns whether the daemon has a role.
    pub fn has_role(&self, role: Role) -> bool {
        self.roles.contains(&role)
    }

    /// Reads a secret file. White space at the start and end is ignored.
    pub(crate) fn read_secret(file: &Path) -> std::io::Result<String> {
        std::fs::read_to_string(file).map(|text| text.trim().to_owned())
    }
}
