//! Decides at which share of its speed a task that uses idle processors runs beside tasks that serve users.
//!
//! Such a task slows the tasks that serve users on its worker by an amount that changes within seconds.
//! It is paused when it joins them, and then speeds up in steps while their tail latencies stay well
//! below their targets.

use crate::{OrderResult, WorkerCallError, plan_late_starts::LATE_ORDER_MS};

/// Full speed, in percent.
const FULL_PERCENT: u32 = 100;
/// Tail latency from which the task slows down, in percent of the target.
const SLOW_DOWN_PERCENT: u64 = 75;
/// Tail latency up to which the task speeds up, in percent of the target.
const SPEED_UP_PERCENT: u64 = 50;
/// Amount by which the task speeds up, in percent of its full speed.
const STEP_PERCENT: u32 = 20;
/// Minimum time between two steps, in milliseconds. Workers report the tail latency of the last half
/// second.
const STEP_MS: u64 = 1_000;
/// Minimum time from a slowdown to the next step, in milliseconds.
const RECOVERY_MS: u64 = 4_000;
/// Pause before an order without a response is sent again, in milliseconds.
const RETRY_MS: u64 = 300;
/// Pause before a rejected order is sent again, in milliseconds.
const REJECTION_PAUSE_MS: u64 = 1_000;
/// Interval at which a pace is sent again while an earlier order may still be carried out, in milliseconds.
const REPEAT_MS: u64 = 2_000;

/// The pace of a run, and the orders that set it. Times are by the planner's clock in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pacing {
    /// Pace that the worker has confirmed; `None` if it is not known.
    confirmed_percent: Option<u32>,
    is_in_flight: bool,
    /// Whether it runs beside tasks that serve users.
    is_sharing: bool,
    /// An order without a response may be carried out until this time.
    late_until_ms: u64,
    /// No order that only repeats the confirmed pace is sent before this time.
    repeat_due_ms: u64,
    /// No order is sent before this time.
    retry_due_ms: u64,
    /// No step to a higher pace is made before this time.
    step_due_ms: u64,
    wanted_percent: u32,
}

impl Pacing {
    /// Creates the pacing of a run that this leader starts, at full speed.
    pub(crate) fn started() -> Self {
        Self {
            confirmed_percent: Some(FULL_PERCENT),
            ..Self::inherited()
        }
    }

    /// Creates the pacing of a run that an earlier leader may have paced.
    pub(crate) fn inherited() -> Self {
        Self {
            confirmed_percent: None,
            is_in_flight: false,
            is_sharing: false,
            late_until_ms: 0,
            repeat_due_ms: 0,
            retry_due_ms: 0,
            step_due_ms: 0,
            wanted_percent: FULL_PERCENT,
        }
    }

    /// Records whether tasks that serve users run on the worker.
    pub(crate) fn set_sharing(&mut self, now_ms: u64, is_sharing: bool) {
        match (self.is_sharing, is_sharing) {
            (false, true) => {
                self.wanted_percent = 0;
                self.step_due_ms = now_ms + STEP_MS;
            }
            (true, false) => self.wanted_percent = FULL_PERCENT,
            (false, false) | (true, true) => {}
        }
        self.is_sharing = is_sharing;
    }

    /// Handles a report of the worker. `tail_percent` is the highest tail latency of the tasks beside it
    /// that serve users, in percent of the target.
    pub(crate) fn observe(&mut self, now_ms: u64, tail_percent: u64) {
        let before = self.wanted_percent;
        match tail_percent {
            _ if !self.is_sharing => {}
            100.. => self.wanted_percent = 0,
            SLOW_DOWN_PERCENT.. => self.wanted_percent /= 2,
            ..=SPEED_UP_PERCENT if now_ms >= self.step_due_ms && self.is_confirmed() => {
                self.wanted_percent = (before + STEP_PERCENT).min(FULL_PERCENT);
                self.step_due_ms = now_ms + STEP_MS;
            }
            _ => {}
        }
        if self.wanted_percent < before {
            self.step_due_ms = now_ms + RECOVERY_MS;
        }
    }

    fn is_confirmed(&self) -> bool {
        self.confirmed_percent == Some(self.wanted_percent)
    }

    /// Returns the pace to order now, in percent; `None` if no order is due.
    pub(crate) fn next_order(&mut self, now_ms: u64) -> Option<u32> {
        let is_repeat_due = now_ms < self.late_until_ms && now_ms >= self.repeat_due_ms;
        let is_due = now_ms >= self.retry_due_ms && (!self.is_confirmed() || is_repeat_due);
        if self.is_in_flight || !is_due {
            return None;
        }
        self.is_in_flight = true;
        Some(self.wanted_percent)
    }

    /// Handles the result of the order in flight.
    pub(crate) fn handle_result(&mut self, now_ms: u64, percent: u32, result: OrderResult) {
        self.is_in_flight = false;
        match result {
            Ok(_) => {
                self.confirmed_percent = Some(percent);
                self.repeat_due_ms = now_ms + REPEAT_MS;
            }
            Err(WorkerCallError::Unanswered) => {
                self.confirmed_percent = None;
                self.late_until_ms = now_ms + LATE_ORDER_MS;
                self.retry_due_ms = now_ms + RETRY_MS;
            }
            Err(
                WorkerCallError::Rejected(_) | WorkerCallError::Unreachable | WorkerCallError::WrongWorker,
            ) => self.retry_due_ms = now_ms + REJECTION_PAUSE_MS,
        }
    }
}
