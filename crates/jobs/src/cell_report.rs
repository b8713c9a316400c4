//! Report on what waits in the cell and what is scarce.

use {
    crate::{PriorityBacklog, ServiceRoom, TeamShare, WithheldReason},
    fuchsiatack_derives::value,
    fuchsiatack_model::DataCenter,
    std::collections::BTreeMap,
};

/// An evacuated data centre.
#[value]
pub struct EvacuationReport {
    /// Name of the data centre.
    pub data_center: DataCenter,
    /// Time of the order in milliseconds since the Unix epoch.
    pub ordered_unix_ms: u64,
    /// Number of runs that have not ended there.
    pub runs: usize,
    /// Number of registered workers there.
    pub workers: usize,
}

/// Waiting steps, room on the workers and use of the advice service.
#[derive(Default)]
#[value]
pub struct CellReport {
    /// Number of advice requests without a response.
    pub advice_in_flight: usize,
    /// Waiting steps by priority.
    pub backlog: Vec<PriorityBacklog>,
    /// Number of workers that are slow after their start.
    pub cold_workers: usize,
    /// Evacuated data centres with what still runs there; a bounded number.
    pub evacuations: Vec<EvacuationReport>,
    /// Number of responses of the advice service of which all tickets have expired without a start while the
    /// step waited, since the leadership started.
    pub calls_without_start: u64,
    /// Number of tickets that were requested again since they had expired unused, since the leadership
    /// started.
    pub lapsed_tickets: u64,
    /// Room by service.
    pub rooms: Vec<ServiceRoom>,
    /// The teams with the largest shares of a service, the largest first.
    pub shares: Vec<TeamShare>,
    /// Number of workers that get no new runs, or few, by reason.
    pub withheld_workers: BTreeMap<WithheldReason, usize>,
}
