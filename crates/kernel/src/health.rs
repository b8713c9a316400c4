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
const PAUSE_FIRST_US: u64 = 5_000_000;
const PAUSE_LIMIT_US: u64 = 300_000_000;
/// Failure rate above which a worker is compared with its peers.
const RATE_LIMIT: f32 = 0.5;
/// How many times the fleet's failure rate is far above it.
const RATE_RATIO: f32 = 3.0;
const SLOW_START_TASKS: u32 = 2;

/// Whether a worker gets tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Service {
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
    pub(crate) service: Service,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            consecutive: 0,
            pause_us: PAUSE_FIRST_US,
            rate: 0.0,
            samples: 0,
            service: Service::Serving,
        }
    }
}

impl Health {
    /// Returns whether another task may start beside `running` others.
    pub(crate) fn admits(&self, running: usize) -> bool {
        match self.service {
            Service::Ejected | Service::Probing(Some(_)) => false,
            Service::Probing(None) | Service::Serving => true,
            Service::SlowStart(limit) => running < limit as usize,
        }
    }

    /// Notes the end of a task; returns whether the worker should be taken out.
    pub(crate) fn observe(&mut self, failed: bool, fleet_rate: f32) -> bool {
        let value = if failed { 1.0 } else { 0.0 };
        self.rate += GAIN * (value - self.rate);
        self.samples = self.samples.saturating_add(1);
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
        let in_a_row = self.consecutive >= CONSECUTIVE_LIMIT && fleet_rate < FLEET_RATE_LIMIT;
        let far_above = self.rate > RATE_LIMIT && self.rate > RATE_RATIO * fleet_rate;
        match self.service {
            Service::Serving => failed && (in_a_row || (far_above && self.samples >= MINIMUM_SAMPLES)),
            Service::SlowStart(_) => failed,
            Service::Ejected | Service::Probing(_) => false,
        }
    }

    /// Takes the worker out; returns the time until its probe. It doubles with each time.
    pub(crate) fn eject(&mut self) -> u64 {
        let pause_us = self.pause_us;
        self.service = Service::Ejected;
        self.pause_us = (2 * pause_us).min(PAUSE_LIMIT_US);
        pause_us
    }

    /// Brings the worker back after a probe.
    pub(crate) fn recover(&mut self) {
        self.consecutive = 0;
        self.rate = 0.0;
        self.samples = 0;
        self.service = Service::SlowStart(SLOW_START_TASKS);
    }

    /// Doubles the limit of the slow start; returns whether it is over.
    pub(crate) fn grow(&mut self, slots: u32) -> bool {
        match self.service {
            Service::SlowStart(limit) if limit < slots => self.service = Service::SlowStart(2 * limit),
            Service::SlowStart(_) => {
                self.pause_us = PAUSE_FIRST_US;
                self.service = Service::Serving;
            }
            _ => {}
        }
        !matches!(self.service, Service::SlowStart(_))
    }
}
