//! Stops runs of teams that use more than is theirs, for a team whose share they have been lent.
//!
//! Handles a service that long runs of some teams fill while another team waits for its share. It is the
//! last resort: in general a share comes back as runs end, since the steps of the team come first.

use {
    crate::{LogEvent, Planner, StepId, StepSpec, TaskKey, worker_view::WorkerView},
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::cmp::Reverse,
};

impl Planner {
    /// Stops checkpointed runs of teams with a weaker standing for one task of a step that has waited for
    /// long, on the worker where the fewest have to be stopped. Gangs are left out: they reserve room.
    pub(crate) fn reclaim_for(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        kept_free_percent: u32,
    ) {
        if spec.gang || !self.may_reclaim(step) {
            return;
        }
        let choices = self.workers.iter().filter_map(|(name, view)| {
            let victims = self.lent_runs(step, spec, service, kept_free_percent, name, view)?;
            Some((victims.len(), name, victims))
        });
        let Some((_, worker, victims)) = choices.min() else {
            // The search looks at all runs of the service, so it is made once in a turn.
            self.shares.end_reclaim(step);
            return;
        };
        let event = LogEvent::new("runs stopped to reclaim a share")
            .job(step.job)
            .with("step", step)
            .with("worker", worker)
            .with("runs", victims.len());
        self.log(event);
        self.extend_turn(step);
        for task in victims {
            self.stop_run(task);
        }
    }

    /// Returns the runs to stop on a worker for one task of a step, those that would last longest first;
    /// `None` if there is room already, if their stop would not suffice, or if the worker is not known to be
    /// eligible.
    fn lent_runs(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        kept_free_percent: u32,
        name: &WorkerName,
        view: &WorkerView,
    ) -> Option<Vec<TaskKey>> {
        let of_step = self.steps.get(&step)?;
        let needs_advice = self.queue_of(step.job)?.advice.is_some();
        if needs_advice && !of_step.advice.eligible.contains_key(name) {
            return None;
        }
        let mut candidate = self.suitable_worker(self.seeker(step, spec), spec, service, name, view)?;
        let reserved = spec.reserved();
        if candidate.fits(&reserved, kept_free_percent) {
            return None;
        }
        let runs = view.runs.iter().filter_map(|task| self.runs.get(task));
        let mut lent: Vec<_> = runs
            .filter(|run| {
                let of_run = self.steps.get(&run.run.task.step);
                of_run.is_some_and(|of_run| {
                    of_run.priority == of_step.priority && of_run.standing > of_step.standing
                }) && self.continues_elsewhere(run)
            })
            .map(|run| {
                let remaining_ms = self.expected_remaining_ms(run.run.task);
                (Reverse(remaining_ms), run.run.task, run.reserved)
            })
            .collect();
        lent.sort_unstable();
        let mut victims = Vec::new();
        for (_, task, freed) in lent {
            candidate.used = candidate.used.saturating_sub(&freed);
            victims.push(task);
            if candidate.fits(&reserved, kept_free_percent) {
                return Some(victims);
            }
        }
        None
    }
}
