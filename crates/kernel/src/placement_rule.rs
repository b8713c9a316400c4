//! Rules of comparison for the choice of a worker.

use {
    crate::{policy::PlacementView, worker::WorkerKey},
    fuchsiatack_derives::key,
};

/// How workers are chosen for interactive and batch tasks. All but `Policy` exist for
/// measurements of the policies; they look at every worker. Tasks that fit nowhere wait under
/// every rule.
#[derive(Default)]
#[key]
#[serde(rename_all = "kebab-case")]
pub enum PlacementRule {
    /// The worker with room that runs the fewest tasks.
    LeastLoaded,
    /// The policy of the kind of work.
    #[default]
    Policy,
    /// Any worker with room.
    Random,
    /// Of two random workers with room, the one that runs fewer tasks.
    TwoChoices,
}

impl PlacementRule {
    /// Chooses among the workers with room for the task. `Policy` chooses none.
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
