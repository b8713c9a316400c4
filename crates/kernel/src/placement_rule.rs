//! Rules for the choice of a worker, with which the placement policies are compared.

use {
    crate::{policy::PlacementView, worker::WorkerKey},
    fuchsiatack_derives::key,
};

/// Rule by which workers are chosen for interactive and batch tasks. All rules but `Policy` exist
/// to measure the policies against them; they search every worker. A task that fits nowhere
/// waits under every rule.
#[derive(Default)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum PlacementRule {
    /// The worker with enough free resources that runs the fewest tasks.
    LeastLoaded,
    /// The worker that the task's own policy chooses.
    #[default]
    Policy,
    /// A random worker with enough free resources.
    Random,
    /// Of two random workers with enough free resources, the one that runs fewer tasks.
    TwoChoices,
}

impl PlacementRule {
    /// Chooses among the workers that have enough free resources for the task. `Policy` returns
    /// `None`, since the task's policy chooses instead.
    pub(crate) fn choose(self, view: &PlacementView<'_>) -> Option<WorkerKey> {
        let fitting = view.workers.fitting(view.demand, view.accept);
        if fitting.is_empty() {
            return None;
        }
        let count = fitting.len();
        let first = view.salt as usize % count;
        let second = (view.salt >> 16) as usize % count;
        let load = |position: &usize| view.workers[fitting[*position]].tasks.len();
        let position = match self {
            Self::Policy => return None,
            // Starts at a random worker, so that ties do not always go to the same one.
            Self::LeastLoaded => (0..count)
                .map(|offset| (first + offset) % count)
                .min_by_key(load)?,
            Self::Random => first,
            Self::TwoChoices if load(&second) < load(&first) => second,
            Self::TwoChoices => first,
        };
        Some(fitting[position])
    }
}
