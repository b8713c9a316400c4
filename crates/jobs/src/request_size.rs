//! Chooses how many workers an advice request names.
//!
//! Handles queues whose requests have a large fixed cost. A request that names too few workers has to be
//! followed by another one, and each further worker costs time at the service. The size with the least
//! expected time until enough workers are found is chosen.

use crate::AdvicePolicy;

/// Lowest share of eligible workers that a request expects, in thousandths. It bounds the size after a few
/// responses without an eligible worker.
const MIN_ELIGIBLE_THOUSANDTHS: u64 = 50;
/// Highest share of eligible workers that a request expects, in thousandths.
const MAX_ELIGIBLE_THOUSANDTHS: u64 = 990;

/// Room of the named workers, in percent of what the tasks need. Other steps take part of it before the
/// response arrives, and a second request costs far more than more workers in the first.
const ROOM_PERCENT: u64 = 150;

/// Returns how many workers a request for `tasks` tasks names, given the number of tasks for which each worker
/// has room, the preferred ones first. Each is eligible with the given share.
pub fn workers_with_room(
    tasks: usize,
    room: impl IntoIterator<Item = usize>,
    eligible_thousandths: u64,
    policy: &AdvicePolicy,
    limit: usize,
) -> usize {
    let share = eligible_thousandths.max(MIN_ELIGIBLE_THOUSANDTHS);
    let needed_thousandths = tasks as u64 * 10 * ROOM_PERCENT;
    let mut found_thousandths = 0;
    let mut workers = 0;
    for tasks_on_worker in room {
        if found_thousandths >= needed_thousandths || workers >= limit {
            break;
        }
        found_thousandths += tasks_on_worker as u64 * share;
        workers += 1;
    }
    let needed = (workers as u64 * share * 100 / ROOM_PERCENT / 1_000) as usize;
    workers.max(request_size(needed, eligible_thousandths, policy, limit))
}

/// Returns the number of workers, at most `limit`, at which a request is expected to take the least time at
/// the service until `needed` eligible workers are found. Each worker is eligible with the given share.
pub fn request_size(needed: usize, eligible_thousandths: u64, policy: &AdvicePolicy, limit: usize) -> usize {
    let needed = needed.clamp(1, limit.max(1));
    let share = eligible_thousandths.clamp(MIN_ELIGIBLE_THOUSANDTHS, MAX_ELIGIBLE_THOUSANDTHS);
    let share = share as f64 / 1_000.0;
    // Probabilities that exactly 0, 1, ... of the workers so far are eligible, up to `needed - 1`.
    let mut too_few = vec![0.0; needed];
    too_few[0] = 1.0;
    let mut best = (f64::INFINITY, limit);
    for workers in 1..=limit {
        for count in (0..needed).rev() {
            let fewer = if count > 0 { too_few[count - 1] } else { 0.0 };
            too_few[count] = too_few[count] * (1.0 - share) + fewer * share;
        }
        let is_enough = 1.0 - too_few.iter().sum::<f64>();
        let cost_us = policy.base_us + policy.per_worker_us * workers as u64;
        // A request that finds too few is repeated for the rest. The square weighs the wait of the step beside
        // the time of the service.
        let expected_us = cost_us as f64 / (is_enough * is_enough);
        if expected_us < best.0 {
            best = (expected_us, workers);
        }
    }
    best.1
}
