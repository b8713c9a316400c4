//! Counts what the planner looks at to open and close steps, so that the cost of a job shows without a clock.

use {
    crate::{JobId, Planner},
    fuchsiatack_derives::value,
};

/// Work that the planner did at once for a job.
#[derive(Copy)]
#[value]
pub struct JobWork {
    /// Job for which it was done.
    pub job: JobId,
    /// Number of steps and tasks that the planner has looked at. One counts each time that it is looked at.
    pub units: u64,
}

impl Planner {
    /// Returns how many steps and tasks the planner has looked at to open or close steps since it was created.
    pub fn work_units(&self) -> u64 {
        self.work_units
    }

    /// Returns the job with most work at once since the last output.
    pub fn busiest_job(&self) -> Option<JobWork> {
        self.busiest_job
    }

    /// Takes into account that steps and tasks of a job were looked at.
    pub(crate) fn count_work(&mut self, job: JobId, units: usize) {
        let units = units as u64;
        self.work_units += units;
        if self.busiest_job.is_none_or(|busiest| units > busiest.units) {
            self.busiest_job = Some(JobWork { job, units });
        }
    }
}
