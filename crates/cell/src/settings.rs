//! Settings of the daemons of a cell.

use {
    crate::ClientLimits,
    fuchsiatack_jobs::PlannerSettings,
    fuchsiatack_session::{CellClient, CellClientSettings},
    fuchsiatack_wire::{CellSecret, PeerClientSettings},
    smol_str::SmolStr,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Longest wait for the response of one store member. It is longer than a commit under load, and shorter
/// than the time after which a silent connection is closed.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings that the entry role and the core role share.
#[derive(Clone, Debug)]
pub struct CellSettings {
    /// Address of the advice service; `None` if the cell has none.
    pub advice_address: Option<SocketAddr>,
    /// Limits on what clients can make the daemon hold.
    pub client_limits: ClientLimits,
    /// Address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// Name of the daemon in logs and announcements.
    pub name: SmolStr,
    /// Address on which this daemon accepts connections of other daemons.
    pub peer_address: SocketAddr,
    /// Timeouts and intervals of connections to other daemons.
    pub peer_client: PeerClientSettings,
    /// Secret with which daemons of the cell authenticate each other.
    pub secret: CellSecret,
    /// Peer addresses of some store members; the others are learned from them.
    pub seeds: Vec<SocketAddr>,
    /// Longest duration of a planned stop.
    pub stop_timeout: Duration,
}

/// Settings of the entry role.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address on which the daemon accepts requests of callers.
    pub caller_address: SocketAddr,
    /// Settings that both roles share.
    pub cell: CellSettings,
    /// Address on which the daemon accepts readiness probes. It responds with 200 while it is ready for
    /// requests of callers, and with 503 otherwise.
    pub readiness_address: SocketAddr,
}

/// Settings of the core role.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Settings that both roles share.
    pub cell: CellSettings,
    /// Address on which the daemon accepts requests of workers and operators.
    pub control_address: SocketAddr,
    /// Folder of the replicated log and its snapshots.
    pub data_folder: PathBuf,
    /// Whether the seeds may form a new cell; set only on the first start of the whole system.
    pub may_form: bool,
    /// Timeouts and limits of the planner.
    pub planner: PlannerSettings,
}

impl CellSettings {
    /// Creates a client that finds the leader of the store through the seeds.
    pub(crate) fn client(&self) -> CellClient {
        CellClient::new(CellClientSettings {
            attempt_limit: ATTEMPT_TIMEOUT,
            members: self.seeds.clone(),
            peer: self.peer_client.clone(),
            secret: self.secret.clone(),
        })
    }
}
