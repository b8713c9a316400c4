//! Timers of the kernel, which run when an event passes their time.

use crate::{Decision, Kernel, task::TaskKey, worker::WorkerKey};

/// Action of a timer. It has no effect if its worker or task no longer exists. Timers that are
/// due at the same time run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Raises the task limit of a worker in slow start.
    SlowStartStep(WorkerKey),
    /// Tries again to start interactive tasks that are close to their start bound.
    RetryUrgent,
    /// Ends the pause of an ejected worker, which then gets one task as a probe.
    BeginProbe(WorkerKey),
    /// Counts the probe as a success if it still runs.
    EndProbe(WorkerKey, TaskKey),
    /// Lets the next gang reserve resources and tries to place gangs without a reservation.
    Reserve,
    /// Ends the reservation of a gang that has not become complete.
    ReservationEnd(TaskKey),
    /// Ends the pause of a worker that refused a task.
    Resume(WorkerKey),
    /// Handles an interactive task that still waits close to its start bound.
    Urgent(TaskKey),
}

impl Kernel {
    /// Runs the timers that are due, earliest first.
    pub(crate) fn run_timers(&mut self, decisions: &mut Vec<Decision>) {
        while let Some((due_us, timer)) = self.timers.first().copied() {
            if due_us > self.now_us {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::SlowStartStep(worker) => self.grow_slow_start(worker),
                Timer::RetryUrgent => self.retry_urgent(decisions),
                Timer::BeginProbe(worker) => self.begin_probe(worker),
                Timer::EndProbe(worker, task) => self.end_probe(worker, task),
                Timer::Reserve => self.reserve_next(decisions),
                Timer::ReservationEnd(first_task) => self.reservation_expired(first_task),
                Timer::Resume(worker) => self.resume(worker),
                Timer::Urgent(task) => self.handle_urgent(task, decisions),
            }
        }
    }
}
