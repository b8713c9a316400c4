//! What a team uses, as its limit and its share need it.

use {
    crate::{StepId, TaskKey, run_view::RunView, urgent_room::UrgentRoom},
    fuchsiatack_model::Resources,
    smol_str::SmolStr,
    std::collections::{BTreeMap, BTreeSet},
};

/// Use of a team by its present runs, and what its urgent steps wait for.
#[derive(Clone, Debug)]
pub(crate) struct TeamUse {
    /// Use by service.
    pub(crate) by_service: BTreeMap<SmolStr, Resources>,
    /// Time at which a run last ended, in milliseconds.
    pub(crate) freed_ms: u64,
    /// Time until which no runs are preempted for the limit again, in milliseconds.
    pub(crate) preemption_due_ms: u64,
    pub(crate) room: UrgentRoom,
    pub(crate) runs: BTreeSet<TaskKey>,
    /// Use of all runs.
    pub(crate) total: Resources,
    /// Batch step that may use the room for urgent work, and the time since which it may.
    pub(crate) turn: Option<(StepId, u64)>,
    /// Use of the urgent runs.
    pub(crate) urgent: Resources,
    /// What the waiting urgent tasks need.
    pub(crate) urgent_waiting: Resources,
}

impl Default for TeamUse {
    fn default() -> Self {
        Self {
            by_service: BTreeMap::new(),
            freed_ms: 0,
            preemption_due_ms: 0,
            room: UrgentRoom::default(),
            runs: BTreeSet::new(),
            total: Resources::NONE,
            turn: None,
            urgent: Resources::NONE,
            urgent_waiting: Resources::NONE,
        }
    }
}

impl TeamUse {
    /// Adds a run.
    pub(crate) fn add(&mut self, run: &RunView) {
        self.runs.insert(run.run.task);
        self.total = self.total.saturating_add(&run.demand);
        let of_service = self.by_service.entry(run.service.clone());
        let of_service = of_service.or_insert(Resources::NONE);
        *of_service = of_service.saturating_add(&run.demand);
        if run.is_urgent {
            self.urgent = self.urgent.saturating_add(&run.demand);
        }
    }

    /// Removes a run that was added and has ended now.
    pub(crate) fn remove(&mut self, run: &RunView, now_ms: u64) {
        self.freed_ms = now_ms;
        self.runs.remove(&run.run.task);
        self.total = self.total.saturating_sub(&run.demand);
        if let Some(of_service) = self.by_service.get_mut(&run.service) {
            *of_service = of_service.saturating_sub(&run.demand);
        }
        if run.is_urgent {
            self.urgent = self.urgent.saturating_sub(&run.demand);
        }
    }
}

/// Returns what a number of equal tasks need.
pub(crate) fn demand_of(demand: &Resources, tasks: usize) -> Resources {
    let tasks_u32 = u32::try_from(tasks).unwrap_or(u32::MAX);
    Resources {
        accelerators: demand.accelerators.saturating_mul(tasks_u32),
        memory_bytes: demand.memory_bytes.saturating_mul(tasks as u64),
        processors_millis: demand.processors_millis.saturating_mul(tasks_u32),
        ..Resources::NONE
    }
}
