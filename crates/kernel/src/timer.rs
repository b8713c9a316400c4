//! What is due at a time.

use crate::{Decision, Kernel, task::TaskKey, worker::WorkerKey};

/// Kind of a timer. One whose subject is gone has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Next step of a worker's slow start.
    Grow(WorkerKey),
    /// End of an ejected worker's pause.
    Probe(WorkerKey),
    /// The task has run long enough to speak for its worker.
    Probed(WorkerKey, TaskKey),
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
                Timer::Grow(worker) => self.grow_slow_start(worker),
                Timer::Probe(worker) => self.begin_probe(worker),
                Timer::Probed(worker, task) => self.end_probe(worker, task),
                Timer::Reserve => self.reserve_next(decisions),
                Timer::ReservationEnd(leader) => self.reservation_expired(leader),
                Timer::Resume(worker) => self.resume(worker),
                Timer::Urgent(task) => self.urgent(task, decisions),
            }
        }
    }
}
