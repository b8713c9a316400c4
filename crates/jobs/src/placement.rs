//! Chooses a worker for one task.
//!
//! Balances many small urgent tasks against few large ones: a task goes where it is expected to end
//! soonest, on a worker of a fast kind near its data. Among equals, the worker with the largest
//! free share of its processors is preferred, since tasks on one worker slow each other down.
//!
//! Accelerators are packed instead: a task that needs some goes where the fewest stay free, so that
//! many single ones leave whole workers to the gangs that need them. Work that needs none keeps away
//! from workers that have them.
//!
//! A worker on which a task that serves users and one that uses idle processors would meet is chosen only
//! if no other fits. A worker that is cold, which means slow for a time after its start, is chosen after all
//! warm ones with room.

use fuchsiatack_model::Resources;

/// A worker on which the task may run.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether it is slow for a time after its start.
    pub is_cold: bool,
    /// Identifies the worker to the calling code.
    pub key: K,
    /// Whether the worker is on the task's preferred rack; true if the task prefers none.
    pub is_near_data: bool,
    /// Whether it has a run that slows the task down, or is slowed down by it.
    pub shares_processors: bool,
    /// Mean ratio of actual to estimated duration on workers of its kind, in thousandths.
    pub slowness_thousandths: u64,
    /// Resources that its present runs reserve.
    pub used: Resources,
}

/// Factor on the duration of a task away from its data, in thousandths.
const REMOTE_DATA_THOUSANDTHS: u64 = 3_000;
/// Penalty of a full worker over an empty one, in thousandths of the task's duration.
const CROWDING_THOUSANDTHS: u64 = 400;
/// Penalty of each accelerator that stays free beside a task that needs some, in thousandths of the
/// task's duration.
const FREE_ACCELERATOR_THOUSANDTHS: u64 = 125;
/// Penalty of a worker with accelerators for a task that needs none, in thousandths of the task's
/// duration.
const UNNEEDED_ACCELERATORS_THOUSANDTHS: u64 = 1_000;

impl<K> Candidate<K> {
    /// Returns whether the task fits into the free resources with `kept_free_percent` of the
    /// processors left free. The reserve is ignored on an empty worker, and for a task that could never
    /// leave it, so that a task which needs nearly all of a worker can run.
    pub fn fits(&self, reserved: &Resources, kept_free_percent: u32) -> bool {
        let kept = Resources {
            processors_millis: (u64::from(self.capacity.processors_millis) * u64::from(kept_free_percent)
                / 100) as u32,
            ..Resources::NONE
        };
        let is_empty = self.used.processors_millis == 0;
        let with_kept = reserved.saturating_add(&kept);
        let is_too_large = !self.capacity.covers(&with_kept);
        self.capacity.has_free(&self.used, reserved)
            && (is_empty || is_too_large || self.capacity.has_free(&self.used, &with_kept))
    }

    /// Returns whether the worker is cold, whether the task would share processors, and its expected duration
    /// in thousandths of the estimate, with the penalty for the choice of the worker.
    pub(crate) fn cost(&self, reserved: &Resources) -> (bool, bool, u64) {
        let distance = if self.is_near_data {
            1_000
        } else {
            REMOTE_DATA_THOUSANDTHS
        };
        let duration =
            self.slowness_thousandths * distance / 1_000 * (1_000 + self.penalty(reserved)) / 1_000;
        (self.is_cold, self.shares_processors, duration)
    }

    /// Returns the penalty for load, or for accelerators that stay free, in thousandths of the duration.
    fn penalty(&self, reserved: &Resources) -> u64 {
        let used = self.used.saturating_add(reserved);
        let crowding = u64::from(used.processors_millis) * CROWDING_THOUSANDTHS
            / u64::from(self.capacity.processors_millis.max(1));
        let free_accelerators = self.capacity.saturating_sub(&used).accelerators;
        match reserved.accelerators {
            0 if self.capacity.accelerators > 0 => crowding + UNNEEDED_ACCELERATORS_THOUSANDTHS,
            0 => crowding,
            _ => u64::from(free_accelerators) * FREE_ACCELERATOR_THOUSANDTHS,
        }
    }
}

/// Returns the position of the cheapest candidate that fits the task and passes `is_wanted`.
pub fn choose<K>(
    candidates: &[Candidate<K>],
    reserved: &Resources,
    kept_free_percent: u32,
    is_wanted: impl Fn(&Candidate<K>) -> bool,
) -> Option<usize> {
    let fitting = candidates.iter().enumerate();
    fitting
        .filter(|(_, candidate)| is_wanted(candidate) && candidate.fits(reserved, kept_free_percent))
        .min_by_key(|(_, candidate)| candidate.cost(reserved))
        .map(|(position, _)| position)
}

/// Sorts candidates by expected duration, the shortest first. Workers on which the task would share
/// processors come after the others, and cold workers last.
pub fn sort<K>(candidates: &mut [Candidate<K>], reserved: &Resources) {
    candidates.sort_by_key(|candidate| candidate.cost(reserved));
}
