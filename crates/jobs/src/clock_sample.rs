//! Bounds on a worker's monotonic clock, from its last reading.

use fuchsiatack_derives::value;

/// Slowest assumed rate of a worker's clock, in thousandths of the rate of the planner's clock.
pub(crate) const SLOWEST_RATE_THOUSANDTHS: u64 = 980;

/// A reading of a worker's monotonic clock.
#[derive(Copy)]
#[value]
pub(crate) struct ClockSample {
    /// Time at which the reading arrived, by the planner's clock.
    pub(crate) received_ms: u64,
    /// Reading in milliseconds.
    pub(crate) worker_ms: u64,
}

impl ClockSample {
    /// Lower bound of the worker's clock at `now_ms`, unless the worker has restarted.
    pub(crate) fn lower_bound_ms(self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.received_ms);
        self.worker_ms + elapsed_ms * SLOWEST_RATE_THOUSANDTHS / 1_000
    }

    /// Time by the planner's clock at which the worker's clock has reached `deadline_ms` even at
    /// its slowest rate.
    pub(crate) fn latest_reach_ms(self, deadline_ms: u64) -> u64 {
        let remaining_ms = deadline_ms.saturating_sub(self.worker_ms);
        self.received_ms + (remaining_ms * 1_000).div_ceil(SLOWEST_RATE_THOUSANDTHS) + 1
    }
}
