//! Fails the jobs whose tasks have used up their attempts although their last failure did not end them.
//!
//! That happens if the queue of a job was not configured when the run failed, or if the limit is lowered.

use crate::{Job, JobCommand, JobId, LogEvent, Planner};

impl Planner {
    /// Fails the jobs that may start a task no more. To be called after each change of the configuration.
    pub(crate) fn fail_spent_jobs(&mut self) {
        let open = self.store.jobs.values().filter(|job| job.ended.is_none());
        let spent: Vec<JobId> = open
            .filter(|job| self.has_spent_task(job))
            .map(|job| job.id)
            .collect();
        for id in spent {
            self.log(LogEvent::new("job failed: attempts used up under the new configuration").job(id));
            self.propose(JobCommand::GiveUp {
                job: id,
                unix_ms: self.now_unix_ms,
            });
            self.close_job(id);
        }
    }

    /// Returns whether a task of the job has no run and has failed as often as its queue permits.
    fn has_spent_task(&self, job: &Job) -> bool {
        let Some(queue) = self.queue_of(job.id) else {
            return false;
        };
        let limit = queue.max_attempts.max(1);
        let occurrences = job.occurrences.iter();
        let failed = occurrences.flat_map(|(_, occurrence)| occurrence.steps_with_failures());
        let is_lasting = |step: u32| job.step(step).is_some_and(|spec| spec.long_running);
        let mut tasks = failed
            .filter(|(step, _)| !is_lasting(*step))
            .flat_map(|(_, tasks)| tasks);
        tasks.any(|task| !task.done && task.worker.is_none() && task.failures >= limit)
    }
}
