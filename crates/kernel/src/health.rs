//! Health of one worker, from the ends of its tasks.

use crate::task::TaskKey;

/// Failures in a row after which a worker is taken out.
const CONSECUTIVE_LIMIT: u32 = 5;
/// Failure rate of the whole fleet above which failures are blamed on the tasks.
const FLEET_RATE_LIMIT: f32 = 0.5;
/// Weight of a new end in the failure rate.
const GAIN: f32 = 0.1;
/// Ends after which the failure rate is meaningful.
const MINIMUM_SAMPLES: u32 = 20;
const FIRST_PAUSE_US: u64 = 5_000_000;
const MAX_PAUSE_US: u64 = 300_000_000;
/// Failure rate above which a worker is compared with its peers.
const RATE_LIMIT: f32 = 0.5;
/// How many times the fleet's failure rate is far above it.
const RATE_RATIO: f32 = 3.0;
const SLOW_START_TASKS: u32 = 2;

/// Whether a worker gets tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ServiceState {
    /// Gets none until its pause ends.
    Ejected,
    /// Gets one task, and no other before that one has ended well.
    Probing(Option<TaskKey>),
    /// Gets as many as fit.
    #[default]
    Serving,
    /// Runs at most this number of tasks.
    SlowStart(u32),
}

/// Failure counts and the state that follows from them.
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
    /// Returns whether another task may start beside `running` others.
    pub(crate) fn admits(&self, running: usize) -> bool {
        match self.state {
            ServiceState::Ejected | ServiceState::Probing(Some(_)) => false,
            ServiceState::Probing(None) | ServiceState::Serving => true,
            ServiceState::SlowStart(limit) => running < limit as usize,
        }
    }

    /// Notes the end of a task; returns whether the worker should be taken out.
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

    /// Takes the worker out; returns the time until its probe. It doubles with each time.
    pub(crate) fn eject(&mut self) -> u64 {
        let pause_us = self.pause_us;
        self.state = ServiceState::Ejected;
        self.pause_us = (2 * pause_us).min(MAX_PAUSE_US);
        pause_us
    }

    /// Brings the worker back after a probe.
    pub(crate) fn recover(&mut self) {
        self.consecutive = 0;
        self.rate = 0.0;
        self.samples = 0;
        self.state = ServiceState::SlowStart(SLOW_START_TASKS);
    }

    /// Doubles the limit of the slow start; returns whether it is over.
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
