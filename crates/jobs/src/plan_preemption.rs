//! Stops runs of a later priority whose room a reserved step needs.
//!
//! Handles gangs that wait beside longer runs which save checkpoints: those lose almost nothing by a stop,
//! and continue on another worker, while the gang would wait until all of them have ended.

use {
    crate::{
        LogEvent, Planner, StepId, StepSpec, TaskKey,
        reservation::Seeker,
        run_view::{RunState, RunView},
    },
    fuchsiatack_model::{Resources, WorkerName},
    std::cmp::Reverse,
};

/// Time from the decision to stop a run until its room is used in preference to room that becomes free by
/// itself, in milliseconds.
pub(crate) const PREEMPTION_MS: u64 = 600;
/// Number of runs of one task from which it is not preempted any more.
pub(crate) const MAX_RUNS: u32 = 4;

impl Planner {
    /// Returns whether a step may have a run stopped: its job has a later priority, and it continues from
    /// its checkpoint elsewhere.
    pub(crate) fn is_preemptible(&self, seeker: Seeker, run: &RunView) -> bool {
        let view = self.steps.get(&run.run.task.step);
        view.is_some_and(|view| view.priority > seeker.priority) && self.continues_elsewhere(run)
    }

    /// Returns whether a run may be stopped since it continues from its checkpoint elsewhere.
    pub(crate) fn continues_elsewhere(&self, run: &RunView) -> bool {
        let step = run.run.task.step;
        let Some(spec) = self.store.jobs.get(&step.job).and_then(|job| job.step(step.step)) else {
            return false;
        };
        spec.checkpoints
            && !spec.gang
            && !spec.long_running
            && spec.max_unavailable.is_none()
            && run.run.number < MAX_RUNS
            && matches!(run.state, RunState::Confirmed { .. })
            && !self.store.crashes.contains_key(&run.run.task)
    }

    /// Stops the runs whose room a step has reserved, as far as they do not end by themselves in time.
    pub(crate) fn preempt_for(&mut self, step: StepId, spec: &StepSpec) {
        let seeker = self.seeker(step, spec);
        for (worker, needed) in self.reservations.holds_of(step) {
            let victims = self.victims(seeker, &worker, &needed);
            for task in &victims {
                self.stop_run(*task);
            }
            if !victims.is_empty() {
                self.log(
                    LogEvent::new("runs preempted")
                        .job(step.job)
                        .with("step", step)
                        .with("worker", &worker)
                        .with("runs", victims.len()),
                );
            }
        }
    }

    /// Returns the runs on a worker to stop for `needed` room, those that would last longest first. Returns
    /// none if the room is about to be free, or if their stop would not suffice.
    fn victims(&self, seeker: Seeker, worker: &WorkerName, needed: &Resources) -> Vec<TaskKey> {
        let (Some(view), Some(entry)) = (self.workers.get(worker), self.store.workers.get(worker)) else {
            return Vec::new();
        };
        let kept = self.reservations.kept_from(seeker, worker);
        let mut used = view.used.saturating_add(&kept);
        let mut preemptible = Vec::new();
        for run in view.runs.iter().filter_map(|task| self.runs.get(task)) {
            let remaining_ms = self.expected_remaining_ms(run.run.task);
            let is_ending = remaining_ms.is_some_and(|ms| ms <= PREEMPTION_MS);
            if is_ending || matches!(run.state, RunState::Stopping { .. }) {
                used = used.saturating_sub(&run.reserved);
            } else if self.is_preemptible(seeker, run) {
                preemptible.push((Reverse(remaining_ms), run.run.task, run.reserved));
            }
        }
        preemptible.sort_unstable();
        let mut victims = Vec::new();
        for (_, task, reserved) in preemptible {
            if entry.capacity.has_free(&used, needed) {
                break;
            }
            used = used.saturating_sub(&reserved);
            victims.push(task);
        }
        match entry.capacity.has_free(&used, needed) {
            true => victims,
            false => Vec::new(),
        }
    }
}
