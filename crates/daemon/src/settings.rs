//! Settings file.

use {
    crate::SettingsError,
    fuchsiatack_kernel::PlacementRule,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests of callers and places them on workers.
    Entry,
    /// Keeps a copy of the replicated log.
    Store,
}

/// Server for callers and workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub address: Option<SocketAddr>,
    /// Address that workers and daemons are given, if it is not the one listened on.
    pub advertised_address: Option<SocketAddr>,
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Most open connections.
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

/// Server for operators.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address to listen on.
    pub address: Option<SocketAddr>,
}

/// Port for other daemons, TCP and UDP.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on.
    pub address: Option<SocketAddr>,
    /// Address that other daemons are given, if it is not the one listened on.
    pub advertised_address: Option<SocketAddr>,
}

/// An initial store member.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Peer address of the member.
    pub address: SocketAddr,
    /// Name of the member's daemon.
    pub name: String,
}

/// The store.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Folder of all files. Required with the store role.
    pub data_folder: Option<PathBuf>,
    /// Initial members.
    pub members: Vec<MemberSettings>,
}

/// Leases of sessions and workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Time past a lease after which it has certainly ended, in milliseconds.
    pub margin_ms: u64,
    /// Session lease in milliseconds.
    pub session_ms: u64,
    /// Time between renewals of the session in milliseconds.
    pub session_renewal_ms: u64,
    /// Task lease of a worker in milliseconds.
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

/// Times of leader elections.
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

/// Logs, as JSON lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// File; none means standard error.
    pub file: Option<PathBuf>,
    /// Lowest level that is logged: `critical`, `error`, `warn`, `info`, `debug`, `trace` or `off`.
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

/// Traces, as JSON lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TraceSettings {
    /// File; none turns traces off.
    pub file: Option<PathBuf>,
    /// Part of the requests without a sampled parent that is traced, in thousandths.
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

/// Planned stop.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time in which new requests are still taken after readiness went false, in milliseconds.
    pub grace_ms: u64,
}

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Server for callers and workers.
    pub callers: CallerSettings,
    /// File with the secret that all daemons of the cell share.
    pub cell_secret_file: PathBuf,
    /// Data centre of the VM.
    pub data_center: String,
    /// Times of leader elections.
    pub election: ElectionSettings,
    /// Leases of sessions and workers.
    pub leases: LeaseSettings,
    /// Logs.
    pub log: LogSettings,
    /// Name of the daemon, unique in the cell.
    pub name: String,
    /// File with the key of the operators.
    pub operator_key_file: PathBuf,
    /// Server for operators.
    pub operators: OperatorSettings,
    /// Port for other daemons.
    pub peers: PeerSettings,
    /// Choice of workers. Rules other than `policy` are for measurements.
    pub placement_rule: PlacementRule,
    /// What the daemon does.
    pub roles: Vec<Role>,
    /// Planned stop.
    pub stop: StopSettings,
    /// The store.
    pub store: StoreSettings,
    /// Traces.
    pub traces: TraceSettings,
    /// Relative size of the VM.
    pub weight: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            callers: CallerSettings::default(),
            cell_secret_file: PathBuf::new(),
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
    /// Reads and checks a settings file.
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

    /// Reads a secret file; white space at the ends is ignored.
    pub(crate) fn read_secret(file: &Path) -> std::io::Result<String> {
        std::fs::read_to_string(file).map(|text| text.trim().to_owned())
    }
}
