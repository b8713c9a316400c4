//! What is known of a worker's steady clock.

use fuchsiatack_derives::value;

/// Slowest rate of a worker's clock, in thousandths of the planner's.
pub(crate) const SLOWEST_RATE_THOUSANDTHS: u64 = 980;

/// A reading of a worker's clock.
#[derive(Copy)]
#[value]
pub(crate) struct ClockSample {
    /// When the reading arrived, by the planner's clock.
    pub(crate) received_ms: u64,
    /// The reading.
    pub(crate) worker_ms: u64,
}

impl ClockSample {
    /// The worker's clock at `now_ms` is at least this, unless it started again.
    pub(crate) fn lower_bound_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.received_ms);
        self.worker_ms + elapsed_ms * SLOWEST_RATE_THOUSANDTHS / 1_000
    }

    /// When the worker's clock has reached `deadline_ms` for certain, by the planner's clock.
    pub(crate) fn latest_reach_ms(self, deadline_ms: u64) -> u64 {
        let left_ms = deadline_ms.saturating_sub(self.worker_ms);
        self.received_ms + (left_ms * 1_000).div_ceil(SLOWEST_RATE_THOUSANDTHS) + 1
    }
}
