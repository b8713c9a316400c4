//! Stops runs on workers that are about to leave.
//!
//! Handles the loss of many workers at short notice: what still runs when a worker leaves is lost,
//! and its tasks cannot start again until the leases have certainly expired. Runs that are not
//! expected to end in time are stopped at the notice, keep their checkpoint, and start elsewhere
//! immediately.

use {
    crate::{LogEvent, Planner, TaskKey, kind_speed::NEUTRAL_SLOWNESS_THOUSANDTHS},
    fuchsiatack_model::WorkerName,
};

/// Time that a stop and the report of its end take, in milliseconds. Runs that are expected to end
/// this long before the worker leaves are not stopped.
pub(crate) const STOP_TIME_MS: u64 = 300;
/// Assumed time until a draining worker leaves if it does not report one, in milliseconds.
const UNKNOWN_STAY_MS: u64 = 2_000;

impl Planner {
    /// Stops the confirmed runs on a draining worker that are not expected to end before it leaves
    /// in `remaining_ms`.
    pub(crate) fn evacuate(&mut self, worker: &WorkerName, remaining_ms: Option<u64>) {
        let stay_ms = remaining_ms
            .unwrap_or(UNKNOWN_STAY_MS)
            .saturating_sub(STOP_TIME_MS);
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let unfinished: Vec<_> = view
            .runs
            .iter()
            .copied()
            .filter(|task| {
                self.is_confirmed(*task)
                    && self
                        .expected_remaining_ms(*task)
                        .is_none_or(|run_ms| run_ms > stay_ms)
            })
            .collect();
        if unfinished.is_empty() {
            return;
        }
        self.log(
            LogEvent::new("leaving worker evacuated")
                .with("worker", worker)
                .with("runs", unfinished.len())
                .with("stay_ms", stay_ms),
        );
        for task in unfinished {
            self.stop_run(task);
        }
    }

    /// Expected time to the end of a run in milliseconds; `None` if the run does not end by itself.
    pub(crate) fn expected_remaining_ms(&self, task: TaskKey) -> Option<u64> {
        let view = self.runs.get(&task)?;
        let job = self.store.jobs.get(&task.step.job)?;
        let spec = job.step(task.step.step).filter(|spec| !spec.long_running)?;
        if let Some(remaining_ms) = view.progress.remaining_ms() {
            return Some(remaining_ms);
        }
        let expected_ms = spec.estimated_ms * self.slowness_of(&view.worker) / NEUTRAL_SLOWNESS_THOUSANDTHS;
        Some(expected_ms.saturating_sub(self.now_ms.saturating_sub(view.started_ms)))
    }
}
