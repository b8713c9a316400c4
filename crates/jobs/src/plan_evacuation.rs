//! Runs on workers that leave.
//!
//! Answers many workers that are taken away at short notice: what still runs when they go is lost,
//! and its tasks wait until the leases have ended for certain. Runs that cannot end in time are
//! stopped at the notice, keep their checkpoint, and start elsewhere at once.

use {
    crate::{LogEvent, Planner, TaskKey, kind_pace::UNKNOWN_SLOWNESS},
    fuchsiatack_model::WorkerName,
};

/// Time that a stop and its listing take, in milliseconds. Runs are left alone if they are expected
/// to end this long before the worker goes.
const STOP_TIME_MS: u64 = 300;
/// Time that a leaving worker stays if it does not say so, in milliseconds.
const UNKNOWN_STAY_MS: u64 = 2_000;

impl Planner {
    /// Stops the runs on a leaving worker that are not expected to end before it goes.
    pub(crate) fn evacuate(&mut self, worker: &WorkerName, remaining_ms: Option<u64>) {
        let stay_ms = remaining_ms
            .unwrap_or(UNKNOWN_STAY_MS)
            .saturating_sub(STOP_TIME_MS);
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let late: Vec<_> = view
            .runs
            .iter()
            .copied()
            .filter(|task| {
                self.is_confirmed(*task)
                    && self
                        .expected_left_ms(*task)
                        .is_none_or(|left_ms| left_ms > stay_ms)
            })
            .collect();
        if late.is_empty() {
            return;
        }
        self.note(
            LogEvent::new("leaving worker evacuated")
                .with("worker", worker)
                .with("runs", late.len())
                .with("stay_ms", stay_ms),
        );
        for task in late {
            self.stop_run(task);
        }
    }

    /// Expected time to the end of a run in milliseconds; `None` if it does not end by itself.
    pub(crate) fn expected_left_ms(&self, task: TaskKey) -> Option<u64> {
        let view = self.runs.get(&task)?;
        let job = self.book.jobs.get(&task.step.job)?;
        let spec = job.step(task.step.step).filter(|spec| !spec.long_running)?;
        if let Some(left_ms) = view.progress.left_ms() {
            return Some(left_ms);
        }
        let expected_ms = spec.estimated_ms * self.slowness_of(&view.worker) / UNKNOWN_SLOWNESS;
        Some(expected_ms.saturating_sub(self.now_ms.saturating_sub(view.started_ms)))
    }
}
