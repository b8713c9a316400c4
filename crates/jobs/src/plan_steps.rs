//! Opens steps that are ready and closes those that are done.

use {
    crate::{
        JobId, Planner, StepId, TaskKey, WaitTimes,
        fair_share::Standing,
        step_view::{StepAdvice, StepView},
    },
    fuchsiatack_model::Resources,
    std::collections::BTreeSet,
};

impl Planner {
    /// Opens the ready steps of a job and closes the others.
    pub(crate) fn refresh_job(&mut self, id: JobId) {
        let Some(job) = self.store.jobs.get(&id) else {
            return;
        };
        let mut open = BTreeSet::new();
        if job.ended.is_none() {
            for occurrence in 0..job.occurrence_count() {
                let due_unix_ms = job.due_unix_ms(occurrence);
                match job.spec.schedule {
                    Some(_) if due_unix_ms > self.now_unix_ms => {
                        self.scheduled.insert((due_unix_ms, id, occurrence));
                        break;
                    }
                    _ => open.extend(job.open_steps(occurrence)),
                }
            }
        }
        let first = StepId {
            job: id,
            occurrence: 0,
            step: 0,
        };
        let last = StepId {
            job: id,
            occurrence: u32::MAX,
            step: u32::MAX,
        };
        let has_ended = job.ended.is_some();
        let steps = job.spec.steps.len();
        let occurrences = if has_ended {
            0
        } else {
            job.occurrence_count() as usize
        };
        let mut examined = occurrences * steps;
        let closed: Vec<_> = self
            .steps
            .range(first..=last)
            .filter(|(step, view)| !open.contains(step) && (has_ended || !view.is_prefetch))
            .map(|(step, _)| *step)
            .collect();
        for step in closed {
            self.reservations.end(step);
            self.steps.remove(&step);
        }
        for step in open {
            let advice = match self.steps.get(&step) {
                Some(view) if !view.is_prefetch => continue,
                Some(view) => view.advice.clone(),
                None => StepAdvice::default(),
            };
            // The chain of the job and its later steps.
            examined += 2 * steps;
            let view = StepView {
                advice,
                waiting: self.waiting_tasks(step),
                ..self.new_step(step)
            };
            self.steps.insert(step, view);
        }
        self.count_examined(id, examined);
        self.needs_placement = true;
    }

    /// Creates the view of a step, without waiting tasks.
    pub(crate) fn new_step(&self, step: StepId) -> StepView {
        let queue = self.queue_of(step.job);
        let (stretch, target_ms, priority) = queue.map_or((1.0, 0, u32::MAX), |queue| {
            (queue.stretch, queue.target_latency_ms, queue.priority)
        });
        let job = self.store.jobs.get(&step.job);
        let (chain_ms, due_unix_ms, remaining_ms) = job.map_or((0, 0, 0), |job| {
            let remaining_ms = job
                .spec
                .steps
                .iter()
                .skip(step.step as usize)
                .map(|spec| spec.estimated_ms);
            (
                job.chain_ms(),
                job.due_unix_ms(step.occurrence),
                remaining_ms.sum::<u64>(),
            )
        });
        let objective_ms = target_ms + (chain_ms as f64 * stretch) as u64;
        let age_ms = self.now_unix_ms.saturating_sub(due_unix_ms);
        let spec = job.and_then(|job| job.step(step.step));
        let mut view = StepView {
            advice: StepAdvice::default(),
            demand: spec.map_or(Resources::NONE, |spec| spec.demand),
            due_ms: (self.now_ms + objective_ms).saturating_sub(age_ms),
            durations_ms: Vec::new(),
            failed_on: Default::default(),
            paused_until_ms: 0,
            is_long_running: spec.is_some_and(|spec| spec.long_running),
            is_prefetch: false,
            priority,
            remaining_ms: remaining_ms.min(chain_ms),
            service: queue.map(|queue| queue.service.clone()).unwrap_or_default(),
            standing: Standing::default(),
            team: job.and_then(|job| job.team.clone()).unwrap_or_default(),
            tried_ms: self.now_ms,
            turn_ms: 0,
            wait_reason: None,
            waiting: BTreeSet::new(),
            waiting_since_ms: None,
            waits: WaitTimes::default(),
        };
        view.standing = self.shares.standing_of(&view);
        view
    }

    fn waiting_tasks(&self, step: StepId) -> BTreeSet<u32> {
        let Some(job) = self.store.jobs.get(&step.job) else {
            return BTreeSet::new();
        };
        let tasks = job.step(step.step).map_or(0, |spec| spec.tasks);
        let is_waiting = |index: &u32| {
            let task = job.task(TaskKey { index: *index, step });
            task.is_none_or(|task| !task.done && task.worker.is_none())
        };
        (0..tasks).filter(is_waiting).collect()
    }

    /// Opens the steps of occurrences that have become due.
    pub(crate) fn open_due_occurrences(&mut self) {
        while let Some((due_unix_ms, job, occurrence)) = self.scheduled.first().copied() {
            if due_unix_ms > self.now_unix_ms {
                break;
            }
            self.scheduled.remove(&(due_unix_ms, job, occurrence));
            self.refresh_job(job);
        }
    }
}
