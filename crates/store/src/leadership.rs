//! State that a store member keeps only while it leads.

use {
    fuchsiatack_consensus::Term,
    fuchsiatack_ledger::{Allocator, Renewal},
    fuchsiatack_model::{LogIndex, SessionId, TeamName},
    std::collections::HashMap,
};

/// Part of a session's renewal that makes a new plan necessary when it changes.
#[derive(PartialEq)]
pub(crate) struct ReportedDemand {
    stopping: bool,
    waiting: Vec<(TeamName, u32)>,
}

impl ReportedDemand {
    pub(crate) fn from_renewal(renewal: &Renewal) -> Self {
        let waiting = renewal
            .usage
            .iter()
            .map(|usage| (usage.team.clone(), usage.waiting));
        Self {
            stopping: renewal.stopping,
            waiting: waiting.collect(),
        }
    }
}

/// State of a leader; discarded when its term of leadership ends.
pub(crate) struct Leadership {
    pub(crate) allocator: Option<Allocator>,
    /// Demand in the last renewal of each session.
    pub(crate) demand: HashMap<SessionId, ReportedDemand>,
    /// Time at which a confirmation is requested if only renewals wait for one.
    pub(crate) confirmation_due_ms: u64,
    /// Time of the next removal of expired journal entries.
    pub(crate) expiry_due_ms: u64,
    pub(crate) member_check_due_ms: u64,
    pub(crate) plan_due_ms: u64,
    pub(crate) last_plan_ms: u64,
    /// Index of the last planned command; the next plan waits until it is applied.
    pub(crate) plan_after: LogIndex,
    pub(crate) term: Term,
}
