//! What is due at a time.

use crate::{Decision, Kernel, task::TaskKey, worker::WorkerKey};

/// Kind of a timer. One whose subject is gone has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Next step of a worker's slow start.
    SlowStartStep(WorkerKey),
    /// Urgent tasks still wait.
    RetryUrgent,
    /// End of an ejected worker's pause.
    BeginProbe(WorkerKey),
    /// The task has run long enough to speak for its worker.
    EndProbe(WorkerKey, TaskKey),
    /// A gang may reserve room, and smaller ones are tried again.
    Reserve,
    /// End of a gang's reservation.
    ReservationEnd(TaskKey),
    /// End of a worker's pause after it refused a task.
    Resume(WorkerKey),
    /// A waiting task is close to its start bound.
    Urgent(TaskKey),
}

impl Kernel {
    /// Runs the timers that are due.
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
