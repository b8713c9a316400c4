//! Choice of a worker for one task.
//!
//! Answers the load of many small urgent tasks beside few large ones: a task goes where it runs
//! soonest, on a worker of a fast kind near its data, and among equals where most of the
//! processors stay free, since tasks on one worker slow each other down.

use fuchsiatack_model::Resources;

/// A worker that could take the task.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    /// What it holds.
    pub capacity: Resources,
    /// What identifies it to the caller.
    pub key: K,
    /// Whether it is on the rack that the task prefers, or the task prefers none.
    pub is_near_data: bool,
    /// Mean of actual over estimated duration on workers of its kind, in thousandths.
    pub slowness_thousandths: u64,
    /// What is in use.
    pub used: Resources,
}

/// Factor of a task's duration away from its data, in thousandths.
const REMOTE_DATA_THOUSANDTHS: u64 = 3_000;
/// Weight of a full worker against an empty one, in thousandths of the task's duration.
const CROWDING_THOUSANDTHS: u64 = 400;

impl<K> Candidate<K> {
    /// Returns whether the task fits beside what is in use, with a part of the processors kept
    /// free. A worker that is empty takes any task that fits at all.
    pub fn fits(&self, reserved: &Resources, kept_free_percent: u32) -> bool {
        let kept = Resources {
            processors_millis: (u64::from(self.capacity.processors_millis) * u64::from(kept_free_percent)
                / 100) as u32,
            ..Resources::NONE
        };
        let needed = self.used.plus(reserved);
        let is_empty = self.used.processors_millis == 0;
        self.capacity.covers(&needed) && (is_empty || self.capacity.covers(&needed.plus(&kept)))
    }

    /// Returns the expected duration in thousandths of the estimate, crowding included.
    fn cost(&self, reserved: &Resources) -> u64 {
        let distance = if self.is_near_data {
            1_000
        } else {
            REMOTE_DATA_THOUSANDTHS
        };
        let used = u64::from(self.used.processors_millis + reserved.processors_millis);
        let crowding = used * CROWDING_THOUSANDTHS / u64::from(self.capacity.processors_millis.max(1));
        self.slowness_thousandths * distance / 1_000 * (1_000 + crowding) / 1_000
    }
}

/// Returns the position of the best candidate that has room and is wanted.
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

/// Sorts candidates, the best first.
pub fn sort<K>(candidates: &mut [Candidate<K>], reserved: &Resources) {
    candidates.sort_by_key(|candidate| candidate.cost(reserved));
}
