//! Settings of a daemon of the cell.

use {
    fuchsiatack_jobs::PlannerSettings,
    fuchsiatack_session::{CellClient, CellClientSettings},
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    smol_str::SmolStr,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Longest wait for one store member. It is longer than a commit under load and shorter than the
/// time after which a silent connection is closed.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(500);

/// Settings that both roles share.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// Address of the advice service, if there is one.
    pub advice: Option<SocketAddr>,
    /// Longest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Name of the daemon.
    pub name: SmolStr,
    /// Peer address of this daemon.
    pub peer: SocketAddr,
    /// Times of connections between daemons.
    pub peer_times: PeerClientSettings,
    /// Secret of the cell.
    pub secret: CellSecret,
    /// Peer addresses of some store members.
    pub seeds: Vec<SocketAddr>,
    /// Longest time from the begin of a planned stop to its end.
    pub stop_limit: Duration,
}

/// Settings of the entry role.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Shared settings.
    pub cell: CellSettings,
    /// Address that tells whether callers may be sent here.
    pub ready: SocketAddr,
}

/// Settings of the core role.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Shared settings.
    pub cell: CellSettings,
    /// Address for workers and operators.
    pub control: SocketAddr,
    /// Folder of the replicated log.
    pub data_folder: PathBuf,
    /// Whether the seeds may form a new cell.
    pub may_form: bool,
    /// Times and limits of the planner.
    pub planner: PlannerSettings,
}

impl CellSettings {
    /// Creates a client of the store.
    pub(crate) fn client(&self) -> CellClient {
        CellClient::new(CellClientSettings {
            attempt_limit: ATTEMPT_LIMIT,
            members: self.seeds.clone(),
            peer: self.peer_times.clone(),
            secret: self.secret.clone(),
        })
    }
}
