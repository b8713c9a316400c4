//! Workers that fail what they start, or hold it up, while they report to be well.
//!
//! Answers a worker that fails every task at once: it looks empty, so the least loaded rule sends
//! it ever more work, and jobs use up their attempts there within a second.

use {crate::JobId, std::collections::BTreeSet};

/// Jobs whose runs fail in a row, without one done between them, before a worker is taken out. A
/// single job may fail everywhere through its own fault.
const FAILING_JOBS: usize = 2;
/// First time for which a failing worker is taken out, in milliseconds.
const EJECTION_MS: u64 = 1_500;
/// Longest time for which a failing worker is taken out, in milliseconds.
const EJECTION_LIMIT_MS: u64 = 12_000;

/// What the ends of runs tell of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerHealth {
    ejections: u32,
    failed_jobs: BTreeSet<JobId>,
    until_ms: u64,
}

impl WorkerHealth {
    /// Notes a run that did its work.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failed run. Returns whether the worker is taken out with it.
    pub fn record_failure(&mut self, now_ms: u64, job: JobId) -> bool {
        self.failed_jobs.insert(job);
        let is_failing = self.failed_jobs.len() >= FAILING_JOBS;
        if !is_failing || self.is_ejected(now_ms) {
            return false;
        }
        self.eject(now_ms);
        true
    }

    /// Takes the worker out, each time for longer until a run does its work there.
    pub fn eject(&mut self, now_ms: u64) {
        let ejection_ms = EJECTION_MS.saturating_mul(1 << self.ejections.min(8));
        self.until_ms = now_ms + ejection_ms.min(EJECTION_LIMIT_MS);
        self.ejections += 1;
    }

    /// Returns whether the worker is taken out.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether the worker was taken out and has not yet done anything since. It gets one
    /// run at a time then.
    pub fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }
}
