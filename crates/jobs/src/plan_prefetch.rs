//! Requests advice for steps before they are ready.
//!
//! Reduces the latency of jobs with several short steps: a response of the advice service takes a
//! large part of the duration of such a step, and half a second for a long step. Advice is
//! requested while the preceding steps still run, so that the tasks start as soon as their step is
//! ready.

use crate::{Planner, StepId, step_view::StepView};

/// Interval between two searches for steps that are ready soon, in milliseconds.
const INTERVAL_MS: u64 = 50;
/// Maximum number of steps after a running one for which advice is requested, since a job may have thousands.
const MAX_FOLLOWING: usize = 64;

impl Planner {
    /// Requests advice for the steps that follow running ones.
    pub(crate) fn prefetch_advice(&mut self) {
        if self.now_ms < self.prefetch_due_ms {
            return;
        }
        self.prefetch_due_ms = self.now_ms + INTERVAL_MS;
        let running = self
            .steps
            .iter()
            .filter(|(_, view)| !view.is_prefetch && view.waiting.is_empty());
        let soon: Vec<_> = running.flat_map(|(step, _)| self.following(*step)).collect();
        for step in soon {
            self.prefetch_step_advice(step);
        }
    }

    /// Returns the steps without advice that depend on `before`, and otherwise only on steps that
    /// are done or running.
    fn following(&self, before: StepId) -> Vec<StepId> {
        let (Some(job), Some(view)) = (self.store.jobs.get(&before.job), self.job_views.get(&before.job))
        else {
            return Vec::new();
        };
        let is_done_or_running = |number: u32| {
            let step = StepId {
                step: number,
                ..before
            };
            let view = self.steps.get(&step);
            job.is_step_done(before.occurrence, number)
                || view.is_some_and(|view| !view.is_prefetch && view.waiting.is_empty())
        };
        let is_ready_soon = |step: &StepId| {
            let spec = job.step(step.step);
            spec.is_some_and(|spec| spec.depends_on.iter().all(|earlier| is_done_or_running(*earlier)))
        };
        view.blocked_by(before)
            .take(MAX_FOLLOWING)
            .filter(is_ready_soon)
            .filter(|step| self.is_unevaluated(*step))
            .collect()
    }

    /// Returns whether there is no advice on a step yet.
    fn is_unevaluated(&self, step: StepId) -> bool {
        let view = self.steps.get(&step);
        view.is_none_or(|view| view.is_prefetch && view.advice.evaluated.is_empty())
    }

    fn prefetch_step_advice(&mut self, step: StepId) {
        let Some(spec) = self
            .store
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.step))
            .cloned()
        else {
            return;
        };
        let Some(queue) = self.queue_of(step.job) else {
            return;
        };
        let (Some(policy), service) = (queue.advice.clone(), queue.service.clone()) else {
            return;
        };
        // Part of the tickets' validity is left when the step is expected to be ready. An urgent step starts
        // at once if it is ready sooner. For others, tickets that expire when it is ready later cost more.
        let early_ms = match Some(queue.priority) == self.top_priority() {
            true => policy.valid_ms / 2,
            false => policy.valid_ms / 4,
        };
        let lead_ms = policy.response_ms(spec.tasks as usize) + early_ms;
        let remaining_ms = spec.depends_on.iter().map(|earlier| {
            self.step_remaining_ms(StepId {
                step: *earlier,
                ..step
            })
        });
        if remaining_ms.max().unwrap_or(0) > lead_ms {
            return;
        }
        let Some(estimate) = self.job_views.get(&step.job).map(|view| view.estimate(step.step)) else {
            return;
        };
        if !self.steps.contains_key(&step) {
            let view = StepView {
                is_prefetch: true,
                ..self.new_step(step, estimate)
            };
            self.steps.insert(step, view);
        }
        if self.advice_pause(step, &policy).is_some() {
            return;
        }
        let candidates = self.candidates_for_advice(step, &spec, &service, 0, 0);
        let _ = self.request_advice(step, &spec, &policy, spec.tasks as usize, &candidates);
    }

    /// Expected time until the last run of a step ends, in milliseconds.
    fn step_remaining_ms(&self, step: StepId) -> u64 {
        let remaining_ms = self
            .runs
            .range(step.tasks())
            .filter_map(|(task, _)| self.expected_remaining_ms(*task));
        remaining_ms.max().unwrap_or(0)
    }
}
