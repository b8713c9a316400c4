//! Ejection of workers that fail, and their return by a probe and a slow start.

use crate::{Kernel, TaskEnd, health::ServiceState, task::TaskKey, timer::Timer, worker::WorkerKey};

/// The number of ejected workers is limited to that of all workers divided by this, rounded up.
const EJECTED_DIVISOR: usize = 5;
/// Weight of a task's end in the moving average of failures over all workers of this daemon.
const FLEET_GAIN: f32 = 0.02;
/// Run time after which a probe counts as a success although it has not ended.
const PROBE_LIMIT_US: u64 = 30_000_000;
/// Pause of a worker that refused a task, so that the task is not sent there again at once.
const REFUSAL_PAUSE_US: u64 = 100_000;
/// Time between two steps of a slow start.
const SLOW_START_STEP_US: u64 = 2_000_000;

impl Kernel {
    /// Records how a task ended on a worker, and ejects or recovers the worker accordingly.
    pub(crate) fn record_end(&mut self, task: TaskKey, key: WorkerKey, end: TaskEnd) {
        let failed = end != TaskEnd::Done;
        let value = if failed { 1.0 } else { 0.0 };
        self.fleet_failure_rate += FLEET_GAIN * (value - self.fleet_failure_rate);
        if end == TaskEnd::Refused {
            self.workers[key].paused = true;
            self.timers
                .insert((self.now_us + REFUSAL_PAUSE_US, Timer::Resume(key)));
        }
        let probed = self.workers[key].health.state == ServiceState::Probing(Some(task));
        // The failures of the only worker say nothing about the tasks. Measured by them, it would never be
        // ejected once it had failed more than half of its tasks while no peer had free slots.
        let fleet_rate = match self.workers.len() {
            1 => 0.0,
            _ => self.fleet_failure_rate,
        };
        let health = &mut self.workers[key].health;
        let should_eject = health.record_end(failed, fleet_rate);
        match probed {
            true if failed => self.eject(key),
            true => self.recover_worker(key),
            false if should_eject && self.may_eject() => self.eject(key),
            false => {}
        }
    }

    /// Makes a started task the probe of a worker that awaits one.
    pub(crate) fn assign_probe(&mut self, task: TaskKey, key: WorkerKey) {
        let health = &mut self.workers[key].health;
        if health.state == ServiceState::Probing(None) {
            health.state = ServiceState::Probing(Some(task));
            self.timers
                .insert((self.now_us + PROBE_LIMIT_US, Timer::EndProbe(key, task)));
        }
    }

    /// Lets another task be the probe if this one ended without a result about the worker.
    pub(crate) fn clear_probe(&mut self, task: TaskKey, key: WorkerKey) {
        let health = &mut self.workers[key].health;
        if health.state == ServiceState::Probing(Some(task)) {
            health.state = ServiceState::Probing(None);
        }
    }

    /// Ends the pause of an ejected worker. Its next task is the probe.
    pub(crate) fn begin_probe(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.health.state == ServiceState::Ejected {
            self.ejected_count -= 1;
            worker.health.state = ServiceState::Probing(None);
            self.offer_changed(key);
        }
    }

    /// Counts a probe as a success that still runs after `PROBE_LIMIT_US`.
    pub(crate) fn end_probe(&mut self, key: WorkerKey, task: TaskKey) {
        let state = self.workers.get_mut(key).map(|worker| worker.health.state);
        if state == Some(ServiceState::Probing(Some(task))) {
            self.recover_worker(key);
            self.offer_changed(key);
        }
    }

    /// Takes the next step of a slow start.
    pub(crate) fn grow_slow_start(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let slots = worker.capacity.slots;
        if !worker.health.grow_slow_start(slots) {
            self.timers
                .insert((self.now_us + SLOW_START_STEP_US, Timer::SlowStartStep(key)));
        }
        self.offer_changed(key);
    }

    /// Ends the pause of a worker that refused a task.
    pub(crate) fn resume(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.paused = false;
            self.offer_changed(key);
        }
    }

    fn recover_worker(&mut self, key: WorkerKey) {
        self.workers[key].health.recover();
        self.timers
            .insert((self.now_us + SLOW_START_STEP_US, Timer::SlowStartStep(key)));
    }

    fn eject(&mut self, key: WorkerKey) {
        let pause_us = self.workers[key].health.eject();
        self.ejected_count += 1;
        self.timers
            .insert((self.now_us + pause_us, Timer::BeginProbe(key)));
    }

    /// Returns whether one more worker may be ejected. The last one is ejected only while peers
    /// have free slots, since a failing worker is better than none.
    fn may_eject(&self) -> bool {
        let limit = self.workers.len().div_ceil(EJECTED_DIVISOR);
        let oldest_us = self.now_us.saturating_sub(self.settings.peer_load_max_age_us);
        let leaves_some =
            self.ejected_count + 1 < self.workers.len() || self.peers.have_free_slots(oldest_us);
        self.ejected_count < limit && leaves_some
    }
}
