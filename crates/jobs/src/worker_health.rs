//! Ejects workers that fail or delay their runs while they report that they are healthy.
//!
//! A worker that fails every task immediately looks empty, so that the least-loaded rule sends it
//! ever more tasks, and jobs use up their attempts there within a second.

use {crate::JobId, std::collections::BTreeSet};

/// Number of jobs with failed runs, without a run done between them, after which a worker is
/// ejected. The runs of a single job may fail everywhere through a fault of the job.
const FAILING_JOBS: usize = 2;
/// Duration of the first ejection in milliseconds.
const EJECTION_MS: u64 = 1_500;
/// Maximum duration of an ejection in milliseconds.
const EJECTION_LIMIT_MS: u64 = 12_000;

/// Health of a worker, judged by the ends of its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerHealth {
    ejections: u32,
    failed_jobs: BTreeSet<JobId>,
    ejected_until_ms: u64,
}

impl WorkerHealth {
    /// Records a run that is done; it clears all earlier failures and ejections.
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

    /// Ejects the worker. Each ejection lasts longer than the one before until a run is done on the
    /// worker.
    pub fn eject(&mut self, now_ms: u64) {
        let ejection_ms = EJECTION_MS.saturating_mul(1 << self.ejections.min(8));
        self.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_LIMIT_MS);
        self.ejections += 1;
    }

    /// Returns whether the worker is ejected and gets no runs.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Returns whether the worker was ejected and no run has been done on it since. Such a worker
    /// gets one run at a time.
    pub fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }
}
