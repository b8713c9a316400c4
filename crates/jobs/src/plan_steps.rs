//! Opens steps that are ready and closes those that are done.
//!
//! A planning pass looks at every open step. A job may have thousands that are ready at the same time, so that
//! only some of them are open; the others follow as the tasks of these are started. What one pass opens is
//! bounded too, because heartbeats wait for it.

use {
    crate::{
        JobId, Planner, StepId, TaskKey, WaitTimes,
        fair_share::Standing,
        job_view::{JobView, ReadyStep, StepEstimate},
        step_view::{StepAdvice, StepView},
    },
    fuchsiatack_model::Resources,
    std::{
        collections::BTreeSet,
        ops::{Bound, RangeInclusive},
    },
};

/// Maximum number of waiting steps of one job that are open.
const MAX_WAITING_STEPS_OF_JOB: usize = 256;
/// Number of waiting steps that jobs with further ones share, if there are many such jobs.
const MAX_WAITING_STEPS: usize = 8_192;
/// Minimum number of waiting steps of one job that may be open.
const MIN_WAITING_STEPS_OF_JOB: usize = 4;
/// Number of steps and tasks that one planning pass looks at to open steps, after which the jobs that are left
/// wait for the next pass.
const MAX_UNITS_PER_PASS: usize = 20_000;
/// Time after which an open step that found no room makes way for others of its job, in milliseconds.
const PUT_BACK_MS: u64 = 250;

impl Planner {
    /// Lets the next passes open the steps of a job.
    pub(crate) fn begin_job(&mut self, id: JobId) {
        self.unopened_jobs.insert(id);
        self.needs_placement = true;
    }

    /// Opens steps with present runs, which the planner needs to know of whatever else waits.
    pub(crate) fn open_running_steps(&mut self, id: JobId, running: BTreeSet<StepId>) {
        if running.is_empty() {
            return;
        }
        let (Some(view), mut units) = self.take_job_view(id) else {
            return;
        };
        for step in running {
            let ready = ReadyStep {
                since_ms: self.now_ms,
                step,
            };
            units += 1 + self.open_step(ready, view.estimate(step.step));
        }
        self.job_views.insert(id, view);
        self.count_work(id, units);
    }

    /// Takes the view of a job out of the planner, or creates it; `None` if the job has ended. Returns it with
    /// the number of steps looked at.
    fn take_job_view(&mut self, id: JobId) -> (Option<JobView>, usize) {
        let job = self.store.jobs.get(&id).filter(|job| job.ended.is_none());
        match (self.job_views.remove(&id), job) {
            (Some(view), _) => (Some(view), 0),
            (None, Some(job)) => (Some(JobView::new(job)), job.spec.steps.len()),
            (None, None) => (None, 0),
        }
    }

    /// Closes the steps of a job that has ended.
    pub(crate) fn close_steps(&mut self, id: JobId) {
        self.job_views.remove(&id);
        self.unopened_jobs.remove(&id);
        let steps: Vec<_> = self.steps.range(steps_of(id)).map(|(step, _)| *step).collect();
        for step in &steps {
            self.reservations.end(*step);
            self.steps.remove(step);
        }
        self.count_work(id, steps.len());
        self.needs_placement = true;
    }

    /// Closes a step that is done, and makes those ready that waited for it only.
    pub(crate) fn close_done_step(&mut self, step: StepId) {
        self.reservations.end(step);
        self.steps.remove(&step);
        self.needs_placement = true;
        let (Some(job), Some(view)) = (self.store.jobs.get(&step.job), self.job_views.get_mut(&step.job))
        else {
            return;
        };
        let units = view.end_step(job, step, self.now_ms);
        self.unopened_jobs.insert(step.job);
        self.count_work(step.job, 1 + units);
    }

    /// Opens steps that are ready, job by job, until the pass has looked at enough.
    pub(crate) fn open_ready_steps(&mut self) {
        let jobs = self.unopened_jobs.len().max(1);
        let limit = (MAX_WAITING_STEPS / jobs).clamp(MIN_WAITING_STEPS_OF_JOB, MAX_WAITING_STEPS_OF_JOB);
        let mut units_left = MAX_UNITS_PER_PASS;
        for id in self.unopened_in_turn() {
            if units_left == 0 {
                return;
            }
            let units = self.open_steps_of(id, limit, units_left);
            self.count_work(id, units);
            units_left = units_left.saturating_sub(units);
            self.last_opened_job = Some(id);
        }
    }

    /// Returns the jobs with steps to open, beginning after the one at which the last pass ended.
    fn unopened_in_turn(&self) -> Vec<JobId> {
        let Some(last) = self.last_opened_job else {
            return self.unopened_jobs.iter().copied().collect();
        };
        let after = self
            .unopened_jobs
            .range((Bound::Excluded(last), Bound::Unbounded));
        after.chain(self.unopened_jobs.range(..=last)).copied().collect()
    }

    /// Opens steps of a job until `limit` open ones wait, or it has looked at `units` further steps and tasks.
    /// Returns how many it has looked at in all.
    fn open_steps_of(&mut self, id: JobId, limit: usize, units: usize) -> usize {
        let (Some(mut view), created) = self.take_job_view(id) else {
            self.unopened_jobs.remove(&id);
            return 0;
        };
        let (mut waiting, open) = self.count_waiting_steps(id);
        let mut looked_at = 0;
        if waiting >= limit && view.has_ready() {
            waiting -= self.put_back_steps(id, &mut view);
        }
        let mut has_more = true;
        while has_more && waiting < limit && looked_at < units {
            match view.take_ready() {
                Some(ready) => {
                    let tasks = self.open_step(ready, view.estimate(ready.step.step));
                    waiting += usize::from(tasks > 0);
                    looked_at += 1 + tasks;
                }
                None => match self.begin_due_occurrence(id, &mut view) {
                    Some(steps) => looked_at += steps,
                    None => has_more = false,
                },
            }
        }
        if !has_more {
            self.unopened_jobs.remove(&id);
        }
        self.job_views.insert(id, view);
        created + open + looked_at
    }

    /// Returns the number of open steps of a job with waiting tasks, and that of all its open steps.
    fn count_waiting_steps(&self, id: JobId) -> (usize, usize) {
        let mut waiting = 0;
        let mut all = 0;
        for (_, view) in self.steps.range(steps_of(id)) {
            waiting += usize::from(!view.waiting.is_empty());
            all += 1;
        }
        (waiting, all)
    }

    /// Makes the steps of the next occurrence of a job ready if it is due. Returns how many it has looked at;
    /// `None` if no occurrence is due.
    fn begin_due_occurrence(&mut self, id: JobId, view: &mut JobView) -> Option<usize> {
        let job = self.store.jobs.get(&id)?;
        let occurrence = view.next_occurrence(job)?;
        let due_unix_ms = job.due_unix_ms(occurrence);
        if job.spec.schedule.is_some() && due_unix_ms > self.now_unix_ms {
            self.scheduled.insert((due_unix_ms, id, occurrence));
            return None;
        }
        Some(view.begin_occurrence(job, self.now_ms))
    }

    /// Opens a step that is ready. Returns the number of its waiting tasks; 0 if it is open already. A step that
    /// had runs before it was looked at may be done by now.
    pub(crate) fn open_step(&mut self, ready: ReadyStep, estimate: StepEstimate) -> usize {
        let step = ready.step;
        let job = self.store.jobs.get(&step.job);
        if job.is_none_or(|job| job.is_step_done(step.occurrence, step.step)) {
            return 0;
        }
        let advice = match self.steps.get(&step) {
            Some(view) if !view.is_prefetch => return 0,
            Some(view) => view.advice.clone(),
            None => StepAdvice::default(),
        };
        let waiting = self.waiting_tasks(step);
        let tasks = waiting.len();
        let view = StepView {
            advice,
            waiting,
            waiting_since_ms: (tasks > 0).then_some(ready.since_ms),
            ..self.new_step(step, estimate)
        };
        self.steps.insert(step, view);
        tasks
    }

    /// Closes open steps of a job that have been tried and found no room, and puts them behind its ready ones.
    /// Otherwise steps that no worker can run would keep the others from being tried. Returns their number.
    fn put_back_steps(&mut self, id: JobId, job_view: &mut JobView) -> usize {
        let unplaced: Vec<_> = self
            .steps
            .range(steps_of(id))
            .filter(|(step, view)| self.may_put_back(**step, view))
            .map(|(step, view)| ReadyStep {
                since_ms: view.waiting_since_ms.unwrap_or(self.now_ms),
                step: *step,
            })
            .take(job_view.ready_count())
            .collect();
        for unplaced in &unplaced {
            self.steps.remove(&unplaced.step);
            job_view.put_back(*unplaced);
        }
        unplaced.len()
    }

    /// Returns whether a step has found no room for a while, and nothing was requested or reserved for it.
    fn may_put_back(&self, step: StepId, view: &StepView) -> bool {
        let now_ms = self.now_ms;
        !view.waiting.is_empty()
            && view.wait_reason.is_some()
            && now_ms >= view.opened_ms + PUT_BACK_MS
            && view.advice.requests.is_empty()
            && !view.advice.has_ticket(now_ms)
            && self.reservations.get(step).is_none()
            && self.runs.range(step.tasks()).next().is_none()
    }

    /// Creates the view of a step, without waiting tasks.
    pub(crate) fn new_step(&self, step: StepId, estimate: StepEstimate) -> StepView {
        let queue = self.queue_of(step.job);
        let (stretch, target_ms, priority) = queue.map_or((1.0, 0, u32::MAX), |queue| {
            (queue.stretch, queue.target_latency_ms, queue.priority)
        });
        let job = self.store.jobs.get(&step.job);
        let due_unix_ms = job.map_or(0, |job| job.due_unix_ms(step.occurrence));
        let objective_ms = target_ms + (estimate.chain_ms as f64 * stretch) as u64;
        let age_ms = self.now_unix_ms.saturating_sub(due_unix_ms);
        let spec = job.and_then(|job| job.step(step.step));
        let mut view = StepView {
            advice: StepAdvice::default(),
            demand: spec.map_or(Resources::NONE, |spec| spec.demand),
            due_ms: (self.now_ms + objective_ms).saturating_sub(age_ms),
            durations_ms: Vec::new(),
            failed_on: Default::default(),
            opened_ms: self.now_ms,
            paused_until_ms: 0,
            is_long_running: spec.is_some_and(|spec| spec.long_running),
            is_prefetch: false,
            priority,
            remaining_ms: estimate.remaining_ms,
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
            self.unopened_jobs.insert(job);
            self.needs_placement = true;
        }
    }
}

/// Returns the range of all possible identifiers of a job's steps.
fn steps_of(job: JobId) -> RangeInclusive<StepId> {
    let step = |number| StepId {
        job,
        occurrence: number,
        step: number,
    };
    step(0)..=step(u32::MAX)
}
