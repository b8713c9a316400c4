//! One team.

use {
    crate::{
        tokens::TokenPool,
        waiting::{GroupKey, LaneKey, Rank},
    },
    fuchsiatack_model::TeamName,
    slotmap::new_key_type,
};

new_key_type! {
    /// Address of a team in its arena.
    pub(crate) struct TeamKey;
}

/// Number of policies, which bounds the counters kept for each.
pub(crate) const POLICY_COUNT: usize = 4;

/// A team with work here, or with a record.
pub(crate) struct Team {
    /// Weight counted while interactive tasks wait, else 0.
    pub(crate) backlog_weight: u64,
    /// Running tasks over the fleet at the last report.
    pub(crate) fleet_running: u32,
    /// Arrival of the first gang since none waited, in microseconds.
    pub(crate) gang_wait_start_us: u64,
    /// Tokens of ended tasks on workers that are being released.
    pub(crate) frozen: u32,
    pub(crate) lanes: Vec<(GroupKey, LaneKey)>,
    pub(crate) limited: bool,
    /// Local running tasks when `fleet_running` was reported.
    pub(crate) local_running_at_report: u32,
    pub(crate) max_waiting: u32,
    /// Measured run time on an ordinary worker in microseconds; 0 before the first end.
    pub(crate) mean_run_us: f32,
    pub(crate) name: TeamName,
    /// Whether the team has a record.
    /// Whether a lane waits for tokens.
    pub(crate) parked: bool,
    pub(crate) has_record: bool,
    /// Ranks by which it stands in the orders of the policies.
    pub(crate) ranks: [Option<Rank>; POLICY_COUNT],
    pub(crate) running: u32,
    /// Number of its last start.
    pub(crate) last_start: u64,
    /// Tasks known here, also those that only await the end of their call.
    pub(crate) tasks: u32,
    pub(crate) tokens: TokenPool,
    /// Waiting tasks by policy.
    pub(crate) waiting: [u32; POLICY_COUNT],
    pub(crate) weight_millis: u32,
}

impl Team {
    pub(crate) fn new(name: TeamName) -> Self {
        Self {
            backlog_weight: 0,
            fleet_running: 0,
            gang_wait_start_us: 0,
            frozen: 0,
            lanes: Vec::new(),
            limited: false,
            local_running_at_report: 0,
            max_waiting: u32::MAX,
            mean_run_us: 0.0,
            name,
            parked: false,
            has_record: false,
            ranks: [None; POLICY_COUNT],
            running: 0,
            last_start: 0,
            tasks: 0,
            tokens: TokenPool::default(),
            waiting: [0; POLICY_COUNT],
            weight_millis: 1_000,
        }
    }

    /// Tokens that running tasks or frozen ones take up.
    pub(crate) fn used_tokens(&self) -> u32 {
        self.running + self.frozen
    }

    /// Number of tasks that may start by the team's tokens.
    pub(crate) fn startable(&self) -> u32 {
        if !self.limited {
            return u32::MAX;
        }
        self.tokens.usable().saturating_sub(self.used_tokens())
    }

    /// Running tasks over the fleet: the last report and what changed here since.
    pub(crate) fn effective_running(&self) -> u64 {
        let others = self.fleet_running.saturating_sub(self.local_running_at_report);
        u64::from(others) + u64::from(self.running)
    }

    /// Running work divided by weight. The team with the lowest share is served first.
    pub(crate) fn share(&self) -> u64 {
        self.effective_running() * 1_000_000 / u64::from(self.weight_millis.max(1))
    }

    /// Place in the order of teams.
    pub(crate) fn rank(&self) -> Rank {
        (self.share(), self.last_start)
    }

    pub(crate) fn waiting_count(&self) -> u32 {
        self.waiting.iter().sum()
    }

    /// Whether nothing refers to the team any more.
    pub(crate) fn is_unused(&self) -> bool {
        !self.has_record && self.tasks == 0 && self.frozen == 0
    }
}
