//! Ejects workers that fail or delay their runs while they report that they are healthy.
//!
//! A worker that fails every task immediately looks empty, so that the least-loaded rule sends it
//! ever more tasks, and jobs use up their attempts there within a second.
//!
//! After its ejection a worker is on probation: it gets one trial run at a time, whatever else still runs
//! there, until a run is done or a trial run has worked for a time.

use {
    crate::{JobId, TaskKey},
    std::collections::BTreeSet,
};

/// Number of jobs with failed runs, without a run done between them, after which a worker is
/// ejected. The runs of a single job may fail everywhere through a fault of the job.
const FAILING_JOBS: usize = 2;
/// Duration of the first ejection in milliseconds.
const EJECTION_MS: u64 = 1_500;
/// Maximum duration of an ejection in milliseconds. A sound worker may be the only one for a task.
const EJECTION_LIMIT_MS: u64 = 6_000;
/// Time after which a worker on probation may get another run although the trial run has neither ended nor
/// proved the worker sound, in milliseconds.
pub(crate) const TRIAL_LIMIT_MS: u64 = 5_000;

/// Run that shows whether a worker on probation is sound.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Trial {
    /// Time of the start order by the planner's clock in milliseconds.
    since_ms: u64,
    task: TaskKey,
}

/// Health of a worker, judged by the ends of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerHealth {
    ejections: u32,
    failed_jobs: BTreeSet<JobId>,
    ejected_until_ms: u64,
    trial: Option<Trial>,
}

impl WorkerHealth {
    /// Records that the worker is sound: a run is done, or a trial run works. It clears all earlier failures
    /// and ejections.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run. Returns whether it causes an ejection.
    pub fn record_failure(&mut self, now_ms: u64, job: JobId) -> bool {
        self.failed_jobs.insert(job);
        let is_failing = self.failed_jobs.len() >= FAILING_JOBS;
        if !is_failing || self.is_ejected(now_ms) {
            return false;
        }
        self.eject(now_ms);
        true
    }

    /// Ejects the worker. Each ejection lasts longer than the one before until the worker proves sound.
    pub fn eject(&mut self, now_ms: u64) {
        let ejection_ms = EJECTION_MS.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_LIMIT_MS);
        self.ejections += 1;
        self.trial = None;
    }

    /// Takes into account that a run starts on the worker. While it is on probation this is its trial run.
    pub fn record_start(&mut self, now_ms: u64, task: TaskKey) {
        if self.is_on_probation() {
            let since_ms = now_ms;
            self.trial = Some(Trial { since_ms, task });
        }
    }

    /// Takes into account that a run on the worker has ended, however it did.
    pub fn record_end(&mut self, task: TaskKey) {
        if self.trial_task() == Some(task) {
            self.trial = None;
        }
    }

    /// Returns the task of the present trial run.
    pub fn trial_task(&self) -> Option<TaskKey> {
        self.trial.map(|trial| trial.task)
    }

    /// Returns whether the worker is ejected and gets no runs.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether the worker was ejected and has not proved sound since.
    pub fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// Returns whether another run may start on the worker now.
    pub fn accepts_run(&self, now_ms: u64) -> bool {
        let has_trial = self
            .trial
            .is_some_and(|trial| now_ms < trial.since_ms + TRIAL_LIMIT_MS);
        !self.is_ejected(now_ms) && !has_trial
    }
}
