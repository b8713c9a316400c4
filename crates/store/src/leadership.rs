//! State that a store member has only while it leads.

use {
    fuchsiatack_consensus::Term,
    fuchsiatack_ledger::{Allocator, Renewal},
    fuchsiatack_model::{LogIndex, SessionId, TeamName},
    std::collections::HashMap,
};

/// What a new plan depends on in a renewal.
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

/// State of a member that leads.
pub(crate) struct Leadership {
    pub(crate) allocator: Option<Allocator>,
    /// What each session reported last.
    pub(crate) demand: HashMap<SessionId, ReportedDemand>,
    /// When renewals that wait alone ask for a confirmation.
    pub(crate) confirmation_due_ms: u64,
    /// When expired journal entries are looked for next.
    pub(crate) expiry_due_ms: u64,
    pub(crate) member_check_due_ms: u64,
    pub(crate) plan_due_ms: u64,
    pub(crate) last_plan_ms: u64,
    /// No plan is made before this index is applied.
    pub(crate) plan_after: LogIndex,
    pub(crate) term: Term,
}
