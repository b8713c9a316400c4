//! Ends the probation of workers on which a trial run works.
//!
//! Handles tasks that last: they are never done, so that the end of a run cannot show that a worker which
//! had failed its runs is sound again.

use {
    crate::{LogEvent, Planner, TaskKey, worker_health::TRIAL_LIMIT_MS},
    fuchsiatack_model::WorkerName,
};

/// Time for which a trial run has to work until it shows that its worker is sound, in milliseconds.
const TRIAL_MS: u64 = 1_500;

impl Planner {
    /// Ends the probations that trial runs have proved needless, and requests reports on those that are about
    /// to.
    pub(crate) fn end_probations(&mut self) {
        let now_ms = self.now_ms;
        let trials: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.is_reachable())
            .filter_map(|(worker, view)| Some((worker.clone(), view.health.trial_task()?)))
            .collect();
        for (worker, task) in trials {
            if self.proves_worker_sound(task) {
                self.end_probation(&worker, task);
            } else if self.is_trial_report_due(task)
                && let Some(view) = self.workers.get_mut(&worker)
            {
                view.schedule_check(now_ms);
            }
        }
    }

    fn end_probation(&mut self, worker: &WorkerName, task: TaskKey) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.health.record_success();
        self.needs_placement = true;
        self.log(
            LogEvent::new("probation of a worker ended")
                .job(task.step.job)
                .with("worker", worker)
                .with("task", task)
                .with("proved_ms", self.proved_ms(task)),
        );
    }

    /// Returns whether a trial run has worked for long enough. One whose progress can be measured has to have
    /// made some, unless it is too long for its percentage to show it.
    fn proves_worker_sound(&self, task: TaskKey) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let job = self.store.jobs.get(&task.step.job);
        let spec = job.and_then(|job| job.step(task.step.step));
        let is_measured = spec.is_some_and(|spec| spec.estimated_ms > 0 && !spec.long_running);
        match self.proved_ms(task) {
            proved_ms if proved_ms < TRIAL_MS => false,
            proved_ms if proved_ms < TRIAL_LIMIT_MS && is_measured => run.progress.total_ms().is_some(),
            _ => true,
        }
    }

    fn is_trial_report_due(&self, task: TaskKey) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let due_ms = run.started_ms + TRIAL_MS;
        let last_ms = self.workers.get(&run.worker).map(|view| view.last_response_ms);
        self.now_ms >= due_ms && last_ms.is_some_and(|last_ms| last_ms < due_ms)
    }
}
