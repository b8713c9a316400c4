//! Counts the steps that the planner looks at, so that the cost of a job shows without a clock.

use {
    crate::{JobId, Planner},
    fuchsiatack_derives::value,
};

/// A job with the steps that the planner has looked at for it in one piece of work.
#[derive(Copy)]
#[value]
pub struct ExaminedSteps {
    /// Job that the steps belong to.
    pub job: JobId,
    /// Number of steps. A step counts each time that it is looked at.
    pub steps: u64,
}

impl Planner {
    /// Returns how many steps the planner has looked at to open or close steps since it was created.
    pub fn steps_examined(&self) -> u64 {
        self.steps_examined
    }

    /// Returns the job for which most steps were looked at in one piece of work since the last output.
    pub fn busiest_job(&self) -> Option<ExaminedSteps> {
        self.busiest_job
    }

    /// Takes into account that steps of a job were looked at.
    pub(crate) fn count_examined(&mut self, job: JobId, steps: usize) {
        let steps = steps as u64;
        self.steps_examined += steps;
        if self.busiest_job.is_none_or(|busiest| steps > busiest.steps) {
            self.busiest_job = Some(ExaminedSteps { job, steps });
        }
    }
}
