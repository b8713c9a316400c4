//! State of one team.

use {
    crate::{
        tokens::TokenPool,
        waiting::{GroupKey, LaneKey, Rank},
    },
    fuchsiatack_model::TeamName,
    slotmap::new_key_type,
};

new_key_type! {
    /// Key of a team in its slot map.
    pub(crate) struct TeamKey;
}

/// Number of policies, for arrays that are indexed by policy.
pub(crate) const POLICY_COUNT: usize = 4;

/// A team that has a record, or tasks at this daemon.
pub(crate) struct Team {
    /// Weight that is part of `InteractiveLoad::backlog_weight`; 0 while no interactive task waits.
    pub(crate) backlog_weight: u64,
    /// Running tasks at all daemons according to the last report.
    pub(crate) fleet_running: u32,
    /// Tokens of tasks that ended on workers which are being released. They are not used again
    /// before the new owner of the worker has counted its tasks.
    pub(crate) frozen: u32,
    /// Time in microseconds at which the first gang began to wait or a gang last stopped waiting,
    /// whichever is later.
    pub(crate) gang_wait_start_us: u64,
    /// Whether the team has a record.
    pub(crate) has_record: bool,
    pub(crate) lanes: Vec<(GroupKey, LaneKey)>,
    /// Value of `Kernel::start_count` at the last start of one of its tasks.
    pub(crate) last_start: u64,
    /// Whether each running task needs a token.
    pub(crate) limited: bool,
    /// Value of `running` when `fleet_running` was reported.
    pub(crate) local_running_at_report: u32,
    /// Maximum number of waiting tasks of each policy.
    pub(crate) max_waiting: u32,
    /// Moving average of the run time on an ordinary worker in microseconds; 0 before the first
    /// task has ended.
    pub(crate) mean_run_us: f32,
    pub(crate) name: TeamName,
    /// Whether a lane of the team is parked.
    pub(crate) parked: bool,
    /// Stored rank in the order of teams of each policy; `None` if the team is not in the order.
    pub(crate) ranks: [Option<Rank>; POLICY_COUNT],
    pub(crate) running: u32,
    /// Number of known tasks, also of those that only await the end of their call.
    pub(crate) tasks: u32,
    pub(crate) tokens: TokenPool,
    /// Number of waiting tasks of each policy.
    pub(crate) waiting: [u32; POLICY_COUNT],
    pub(crate) weight_millis: u32,
}

impl Team {
    pub(crate) fn new(name: TeamName) -> Self {
        Self {
            backlog_weight: 0,
            fleet_running: 0,
            frozen: 0,
            gang_wait_start_us: 0,
            has_record: false,
            lanes: Vec::new(),
            last_start: 0,
            limited: false,
            local_running_at_report: 0,
            max_waiting: u32::MAX,
            mean_run_us: 0.0,
            name,
            parked: false,
            ranks: [None; POLICY_COUNT],
            running: 0,
            tasks: 0,
            tokens: TokenPool::default(),
            waiting: [0; POLICY_COUNT],
            weight_millis: 1_000,
        }
    }

    /// Returns the number of tokens that are in use or frozen.
    pub(crate) fn used_tokens(&self) -> u32 {
        self.running + self.frozen
    }

    /// Returns the number of tasks that may start with the free tokens; `u32::MAX` without a limit.
    pub(crate) fn startable(&self) -> u32 {
        if !self.limited {
            return u32::MAX;
        }
        self.tokens.usable().saturating_sub(self.used_tokens())
    }

    /// Returns the running tasks at all daemons: the last report, corrected by the starts and ends at
    /// this daemon since then.
    pub(crate) fn effective_running(&self) -> u64 {
        let others = self.fleet_running.saturating_sub(self.local_running_at_report);
        u64::from(others) + u64::from(self.running)
    }

    /// Returns the running tasks divided by weight, in thousandths. The team with the lowest share is
    /// served first.
    pub(crate) fn share(&self) -> u64 {
        self.effective_running() * 1_000_000 / u64::from(self.weight_millis.max(1))
    }

    /// Returns the present rank in the order of teams.
    pub(crate) fn rank(&self) -> Rank {
        (self.share(), self.last_start)
    }

    pub(crate) fn waiting_count(&self) -> u32 {
        self.waiting.iter().sum()
    }

    /// Returns whether nothing refers to the team any more.
    pub(crate) fn is_unused(&self) -> bool {
        !self.has_record && self.tasks == 0 && self.frozen == 0
    }
}
