//! Workers on which tasks stand still or take many times as long as elsewhere.
//!
//! Answers a worker that turns slow or hangs while it answers its renewals: its runs would hold up
//! their jobs until it recovers, and its free room would attract more. Single overdue runs are left
//! alone, since declared durations are rough.

use {
    crate::{Note, Planner, TaskKey, plan_runs::UNKNOWN_SLOWNESS, worker_view::WorkerView},
    fuchsiatack_model::WorkerName,
    std::collections::BTreeSet,
};

/// Interval of the check in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// A run is overdue after this many times its expected duration.
const OVERDUE_FACTOR: u64 = 3;
/// Time beyond that which an overdue run has taken, in milliseconds.
const OVERDUE_MS: u64 = 500;
/// Jobs with overdue runs on a worker from which it counts as stalled.
const STALLED_JOBS: usize = 2;

impl Planner {
    /// Takes overdue runs off stalled workers.
    pub(crate) fn watch_stalls(&mut self) {
        if self.now_ms < self.stalls_due_ms {
            return;
        }
        self.stalls_due_ms = self.now_ms + CHECK_INTERVAL_MS;
        let stalled: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.runs.len() >= stalled_jobs(view) && view.failures == 0)
            .filter_map(|(worker, view)| {
                let overdue: Vec<_> = view
                    .runs
                    .iter()
                    .copied()
                    .filter(|task| self.is_overdue(*task))
                    .collect();
                let jobs: BTreeSet<_> = overdue.iter().map(|task| task.step.job).collect();
                (jobs.len() >= stalled_jobs(view)).then(|| (worker.clone(), overdue))
            })
            .collect();
        for (worker, overdue) in stalled {
            self.leave_stalled(&worker, overdue);
        }
    }

    fn leave_stalled(&mut self, worker: &WorkerName, overdue: Vec<TaskKey>) {
        let now_ms = self.now_ms;
        if let Some(view) = self.workers.get_mut(worker) {
            view.health.eject(now_ms);
        }
        self.note(
            Note::new("worker stalled")
                .with("worker", worker)
                .with("overdue_runs", overdue.len()),
        );
        for task in overdue {
            self.stop_run(task);
        }
    }

    fn is_overdue(&self, task: TaskKey) -> bool {
        let Some(view) = self.runs.get(&task) else {
            return false;
        };
        let job = self.book.jobs.get(&task.step.job);
        let Some(spec) = job.and_then(|job| job.step(task.step.step)) else {
            return false;
        };
        let kind = self.book.workers.get(&view.worker).map(|entry| entry.kind());
        let slowness = kind
            .and_then(|kind| self.kinds.get(kind))
            .copied()
            .unwrap_or(UNKNOWN_SLOWNESS);
        let expected_ms = spec.estimated_ms * slowness.max(UNKNOWN_SLOWNESS) / UNKNOWN_SLOWNESS;
        let limit_ms = expected_ms * OVERDUE_FACTOR + OVERDUE_MS;
        let is_timed = spec.estimated_ms > 0 && !spec.long_running && !spec.fills_idle;
        is_timed && self.now_ms.saturating_sub(view.started_ms) > limit_ms
    }
}

/// Jobs with overdue runs from which a worker counts as stalled. One is enough for a worker that has
/// done nothing since it was taken out.
fn stalled_jobs(view: &WorkerView) -> usize {
    match view.health.is_on_trial() {
        true => 1,
        false => STALLED_JOBS,
    }
}
