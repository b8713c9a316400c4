//! Report on what waits in the cell and what is scarce.

use {
    crate::{PriorityBacklog, ServiceRoom},
    fuchsiatack_derives::value,
};

/// Waiting steps, room on the workers and use of the advice service.
#[derive(Default)]
#[value]
pub struct CellReport {
    /// Number of advice requests without a response.
    pub advice_in_flight: usize,
    /// Waiting steps by priority.
    pub backlog: Vec<PriorityBacklog>,
    /// Number of responses of the advice service of which all tickets have expired without a start while the
    /// step waited, since the leadership started.
    pub calls_without_start: u64,
    /// Number of tickets that were requested again since they had expired unused, since the leadership
    /// started.
    pub lapsed_tickets: u64,
    /// Room by service.
    pub rooms: Vec<ServiceRoom>,
}
