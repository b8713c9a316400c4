//! Health of one worker, judged by how its tasks end.

use crate::task::TaskKey;

/// Number of failures in a row after which a worker is ejected.
const CONSECUTIVE_LIMIT: u32 = 5;
/// Fleet failure rate from which on failures in a row are attributed to the tasks, not the worker.
const FLEET_RATE_LIMIT: f32 = 0.5;
/// Weight of a task's end in the failure rate of its worker.
const GAIN: f32 = 0.1;
/// Number of ended tasks from which on the failure rate is used.
const MINIMUM_SAMPLES: u32 = 20;
/// Time from the first ejection to the probe. It doubles with each further ejection, up to
/// `MAX_PAUSE_US`, and is reset when a slow start is over.
const FIRST_PAUSE_US: u64 = 5_000_000;
const MAX_PAUSE_US: u64 = 300_000_000;
/// Failure rate above which a worker is compared with the fleet.
const RATE_LIMIT: f32 = 0.5;
/// Factor by which the failure rate of a worker must also exceed that of the fleet.
const RATE_RATIO: f32 = 3.0;
/// Running tasks allowed at first in a slow start; doubled at each step.
const SLOW_START_TASKS: u32 = 2;

/// Whether a worker receives tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ServiceState {
    /// Receives none until its pause ends.
    Ejected,
    /// Receives one task as a probe, and no other before the probe has succeeded. `None` until the
    /// probe has started.
    Probing(Option<TaskKey>),
    /// Receives as many as fit.
    #[default]
    Serving,
    /// Runs at most this number of tasks at a time.
    SlowStart(u32),
}

/// Failure counts of a worker and the state that follows from them.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    consecutive: u32,
    pause_us: u64,
    rate: f32,
    samples: u32,
    pub(crate) state: ServiceState,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive: 0,
            pause_us: FIRST_PAUSE_US,
            rate: 0.0,
            samples: 0,
            state: ServiceState::Serving,
        }
    }
}

impl Health {
    /// Returns whether another task may start while `running` tasks run.
    pub(crate) fn admits(&self, running: usize) -> bool {
        match self.state {
            ServiceState::Ejected | ServiceState::Probing(Some(_)) => false,
            ServiceState::Probing(None) | ServiceState::Serving => true,
            ServiceState::SlowStart(limit) => running < limit as usize,
        }
    }

    /// Records the end of a task and returns whether the worker should be ejected.
    pub(crate) fn record_end(&mut self, failed: bool, fleet_rate: f32) -> bool {
        let value = if failed { 1.0 } else { 0.0 };
        self.rate += GAIN * (value - self.rate);
        self.samples = self.samples.saturating_add(1);
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
        let in_a_row = self.consecutive >= CONSECUTIVE_LIMIT && fleet_rate < FLEET_RATE_LIMIT;
        let far_above = self.rate > RATE_LIMIT && self.rate > RATE_RATIO * fleet_rate;
        match self.state {
            ServiceState::Serving => failed && (in_a_row || (far_above && self.samples >= MINIMUM_SAMPLES)),
            ServiceState::SlowStart(_) => failed,
            ServiceState::Ejected | ServiceState::Probing(_) => false,
        }
    }

    /// Ejects the worker and returns the time until its probe in microseconds.
    pub(crate) fn eject(&mut self) -> u64 {
        let pause_us = self.pause_us;
        self.state = ServiceState::Ejected;
        self.pause_us = (2 * pause_us).min(MAX_PAUSE_US);
        pause_us
    }

    /// Resets the counts after a successful probe and begins a slow start.
    pub(crate) fn recover(&mut self) {
        self.consecutive = 0;
        self.rate = 0.0;
        self.samples = 0;
        self.state = ServiceState::SlowStart(SLOW_START_TASKS);
    }

    /// Doubles the limit of the slow start and returns whether the slow start is over.
    pub(crate) fn grow_slow_start(&mut self, slots: u32) -> bool {
        match self.state {
            ServiceState::SlowStart(limit) if limit < slots => {
                self.state = ServiceState::SlowStart(2 * limit)
            }
            ServiceState::SlowStart(_) => {
                self.pause_us = FIRST_PAUSE_US;
                self.state = ServiceState::Serving;
            }
            _ => {}
        }
        !matches!(self.state, ServiceState::SlowStart(_))
    }
}
