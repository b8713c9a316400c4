//! Starts on workers that are slow for a time after their own start.
//!
//! Handles a data centre that comes back while there is a backlog: its workers are all free, and would get
//! more tasks at once than they can begin while they are cold.

use {crate::PlannerSettings, fuchsiatack_derives::message};

/// Unit of rates and factors that are stored in thousandths.
const THOUSAND: u64 = 1_000;
/// Microseconds of a second, in thousandths. A rate in starts per 1,000 s divides it to the interval between
/// two starts in microseconds.
const MICROS_PER_1000_S: u64 = 1_000_000_000;
/// Part of the tolerated starts beyond the rate that may be ordered at once. The rest covers orders that are
/// delayed and arrive together.
const BURST_DIVISOR: u64 = 2;

/// Behaviour of the workers of a service after their start.
#[message]
pub struct ColdStart {
    /// Time for which a worker is cold after its start, in milliseconds; 0 if it is not known.
    pub cold_ms: u64,
    /// Number of tasks that a cold worker can begin in 1,000 s; 0 for no limit.
    pub starts_per_1000_s: u64,
}

/// What the leader knows of a worker's cold period. Times are by the planner's clock in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdPeriod {
    /// Time at which the leader learned of the period.
    since_ms: u64,
    /// Number of starts that were ordered in the period.
    starts: u64,
    /// Time from which a start no longer exceeds the rate, in microseconds. It stays over a restart of the
    /// worker, since the tolerance holds in any span.
    due_us: u64,
    /// End of the period; 0 if the worker is warm.
    until_ms: u64,
}

impl ColdPeriod {
    /// Ends the period of an earlier incarnation.
    pub(crate) fn reset(&mut self) {
        self.until_ms = 0;
    }

    /// Records how much longer the worker is cold, from its heartbeat; 0 if it is warm.
    pub(crate) fn observe(&mut self, now_ms: u64, remaining_ms: u64) {
        if !self.is_cold(now_ms) {
            self.since_ms = now_ms;
            self.starts = 0;
        }
        self.until_ms = match remaining_ms {
            0 => 0,
            _ => now_ms.saturating_add(remaining_ms),
        };
    }

    /// Returns whether the worker is still slow.
    pub(crate) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns how many tasks may be started on the worker now: as many as the rate allows, and in total not
    /// more than it allows in the elapsed part of the period, but one.
    pub(crate) fn starts_left(
        &self,
        now_ms: u64,
        cold_start: Option<&ColdStart>,
        settings: &PlannerSettings,
    ) -> usize {
        let limit = cold_start.filter(|limit| limit.starts_per_1000_s > 0 && self.is_cold(now_ms));
        let Some(limit) = limit else {
            return usize::MAX;
        };
        let interval_us = interval_us(limit, settings);
        let elapsed_ms = match limit.cold_ms {
            0 => now_ms - self.since_ms,
            cold_ms => cold_ms.saturating_sub(self.until_ms - now_ms),
        };
        let in_total = (elapsed_ms * THOUSAND / interval_us).max(1);
        let now_us = now_ms * THOUSAND;
        let burst = (settings.cold_slack / BURST_DIVISOR).max(1);
        let ahead_us = self.due_us.saturating_sub(now_us);
        let at_once = (burst * interval_us).saturating_sub(ahead_us) / interval_us;
        at_once.min(in_total.saturating_sub(self.starts)) as usize
    }

    /// Records the order of a start.
    pub(crate) fn record_start(
        &mut self,
        now_ms: u64,
        cold_start: Option<&ColdStart>,
        settings: &PlannerSettings,
    ) {
        if !self.is_cold(now_ms) {
            return;
        }
        self.starts += 1;
        if let Some(limit) = cold_start.filter(|limit| limit.starts_per_1000_s > 0) {
            self.due_us = self.due_us.max(now_ms * THOUSAND) + interval_us(limit, settings);
        }
    }
}

/// Returns the interval between two starts in microseconds, at most the rate of the service and at most the
/// tolerated one.
fn interval_us(limit: &ColdStart, settings: &PlannerSettings) -> u64 {
    let factor = settings.cold_overage_thousandths.clamp(1, THOUSAND);
    let rate = (limit.starts_per_1000_s.saturating_mul(factor) / THOUSAND).max(1);
    (MICROS_PER_1000_S / rate).max(1)
}
