//! Moves runs out of evacuated data centres.
//!
//! Handles what would keep a data centre in use for long after the order to empty it: batch tasks with a long
//! remaining time, which lose almost nothing by a stop if they save checkpoints, and lasting tasks, which never
//! end by themselves. Both are stopped only if another data centre has free capacity for them. All other runs
//! stay until they end.

use {
    crate::{
        LogEvent, Planner, StepId, StepSpec, TaskKey,
        placement::Candidate,
        plan_preemption::MAX_RUNS,
        run_view::{RunState, RunView},
    },
    fuchsiatack_model::WorkerName,
    std::collections::{BTreeMap, BTreeSet},
};

/// Interval between two searches for runs to move, in milliseconds.
const INTERVAL_MS: u64 = 500;
/// Expected remaining time from which a checkpointed run is moved, in milliseconds. A stop, a start elsewhere
/// and the restoring of the checkpoint take about 1.3 s.
const LONG_REMAINING_MS: u64 = 10_000;
/// Maximum number of runs that one search stops. It bounds the work that waits if others take the room.
const MAX_MOVES: usize = 8;
/// Maximum number of steps that one search looks for room for, which bounds its processor time.
const MAX_STEPS: usize = 16;
/// Time after which a moved task that does not run again no longer keeps others from being moved, in
/// milliseconds.
const MOVE_TIMEOUT_MS: u64 = 10_000;

/// Moves out of evacuated data centres. Times are by the planner's clock in milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DataCenterMoves {
    /// Time of the next search.
    due_ms: u64,
    /// Step with which the last search ended; the next one goes on behind it.
    last_step: Option<StepId>,
    /// Tasks that were stopped and do not run elsewhere yet, with the time of the stop.
    moving: BTreeMap<TaskKey, u64>,
}

impl Planner {
    /// Stops runs in evacuated data centres that can continue elsewhere.
    pub(crate) fn move_out_of_evacuated(&mut self) {
        if self.store.extension.evacuations.is_empty() || self.now_ms < self.data_center_moves.due_ms {
            return;
        }
        self.data_center_moves.due_ms = self.now_ms + INTERVAL_MS;
        self.forget_ended_moves();
        // The room that was found for these tasks is not taken yet.
        if !self.data_center_moves.moving.is_empty() {
            return;
        }
        let mut stopped = 0;
        for (step, tasks) in self.movable_steps() {
            self.data_center_moves.last_step = Some(step);
            stopped += self.move_tasks(step, tasks, MAX_MOVES - stopped);
            if stopped >= MAX_MOVES {
                return;
            }
        }
    }

    fn forget_ended_moves(&mut self) {
        let (now_ms, runs, steps) = (self.now_ms, &self.runs, &self.steps);
        let is_pending = |task: &TaskKey| {
            let is_unconfirmed = |view: &RunView| !matches!(view.state, RunState::Confirmed { .. });
            let is_waiting = steps
                .get(&task.step)
                .is_some_and(|view| view.waiting.contains(&task.index));
            runs.get(task).map_or(is_waiting, is_unconfirmed)
        };
        self.data_center_moves
            .moving
            .retain(|task, since_ms| now_ms < *since_ms + MOVE_TIMEOUT_MS && is_pending(task));
    }

    /// Returns the next steps with runs that may be moved, and these runs.
    fn movable_steps(&self) -> Vec<(StepId, Vec<TaskKey>)> {
        let mut by_step: BTreeMap<StepId, Vec<TaskKey>> = BTreeMap::new();
        let workers = self.workers.iter();
        let evacuated = workers.filter(|(worker, _)| self.is_worker_evacuated(worker));
        let runs = evacuated.flat_map(|(_, view)| &view.runs);
        for task in runs.filter(|task| self.is_movable(**task)) {
            by_step.entry(task.step).or_default().push(*task);
        }
        let last = self.data_center_moves.last_step;
        let is_behind = |step: &StepId| last.is_none_or(|last| *step > last);
        let (behind, before): (Vec<_>, Vec<_>) = by_step.into_iter().partition(|(step, _)| is_behind(step));
        behind.into_iter().chain(before).take(MAX_STEPS).collect()
    }

    fn is_movable(&self, task: TaskKey) -> bool {
        let job = self.store.jobs.get(&task.step.job);
        let Some(spec) = job.and_then(|job| job.step(task.step.step)) else {
            return false;
        };
        let Some(view) = self.runs.get(&task) else {
            return false;
        };
        let is_fit = self.is_confirmed(task) && !spec.gang && !self.store.crashes.contains_key(&task);
        let is_long = || {
            let remaining_ms = self.expected_remaining_ms(task);
            remaining_ms.is_some_and(|ms| ms >= LONG_REMAINING_MS)
        };
        let is_batch = spec.checkpoints && view.run.number < MAX_RUNS && is_long();
        is_fit && (spec.long_running || is_batch)
    }

    /// Stops up to `limit` of some runs of a step for which there is free capacity elsewhere, and returns how
    /// many were stopped.
    fn move_tasks(&mut self, step: StepId, tasks: Vec<TaskKey>, limit: usize) -> usize {
        let job = self.store.jobs.get(&step.job);
        let Some(spec) = job.and_then(|job| job.step(step.step)).cloned() else {
            return 0;
        };
        let limit = limit.min(self.stops_allowed(step, &spec));
        if limit == 0 {
            return 0;
        }
        let targets = self.targets(step, &spec, limit);
        let moved: Vec<_> = tasks.into_iter().take(targets).collect();
        for task in &moved {
            if let Some(view) = self.runs.get(task) {
                let event = LogEvent::new("run moved out of an evacuated data centre")
                    .job(step.job)
                    .with("run", view.run)
                    .with("worker", &view.worker)
                    .with("is_lasting", spec.long_running)
                    .with(
                        "remaining_ms",
                        self.expected_remaining_ms(*task).unwrap_or_default(),
                    );
                self.log(event);
            }
            self.data_center_moves.moving.insert(*task, self.now_ms);
            self.stop_run(*task);
        }
        moved.len()
    }

    /// Returns how many tasks of a step may be stopped now: none while others of it wait, since those take the
    /// free capacity first. Lasting tasks are moved one at a time, and only while all others of their step run.
    fn stops_allowed(&self, step: StepId, spec: &StepSpec) -> usize {
        let unconfirmed = self
            .runs
            .range(step.tasks())
            .filter(|(task, _)| !self.is_confirmed(**task))
            .count();
        let is_waiting = self.steps.get(&step).is_none_or(|view| !view.waiting.is_empty());
        let max_unavailable = spec.max_unavailable.map_or(usize::MAX, |limit| limit as usize);
        match spec.long_running {
            _ if is_waiting => 0,
            true if unconfirmed > 0 => 0,
            true => max_unavailable.min(1),
            false => max_unavailable.saturating_sub(unconfirmed),
        }
    }

    /// Returns for how many tasks of a step, up to `limit`, other data centres have free capacity. Requests
    /// advice if the step needs it and no worker with free capacity is known that may run it.
    fn targets(&mut self, step: StepId, spec: &StepSpec, limit: usize) -> usize {
        let Some(queue) = self.queue_of(step.job) else {
            return 0;
        };
        let (policy, service) = (queue.advice.clone(), queue.service.clone());
        let kept_free_percent = self.settings.urgent_reserve_percent;
        let mut candidates = self.all_candidates(step, spec, &service);
        candidates.retain(|candidate| !candidate.is_cold);
        let Some(policy) = policy else {
            return self.room_for(step, spec, candidates, kept_free_percent, limit);
        };
        let advice = self.steps.get(&step).map(|view| &view.advice);
        let eligible: BTreeSet<WorkerName> = advice
            .into_iter()
            .flat_map(|advice| advice.eligible.keys().cloned())
            .collect();
        candidates.retain(|candidate| eligible.contains(&candidate.key));
        let room = self.room_for(step, spec, candidates, kept_free_percent, limit);
        if room == 0 && self.advice_pause(step, &policy).is_none() {
            let unknown = self.candidates_for_advice(step, spec, &service, kept_free_percent, 0);
            let _ = self.request_advice(step, spec, &policy, limit, &unknown);
        }
        room
    }

    /// Returns how many further tasks of a step, up to `limit`, fit into the free capacity of some workers.
    fn room_for(
        &self,
        step: StepId,
        spec: &StepSpec,
        candidates: Vec<Candidate<WorkerName>>,
        kept_free_percent: u32,
        limit: usize,
    ) -> usize {
        let reserved = spec.reserved();
        let mut room = 0;
        for mut candidate in candidates {
            let mut left = spec.max_per_worker.map_or(usize::MAX, |limit| {
                (limit as usize).saturating_sub(self.tasks_on(step, &candidate.key))
            });
            while room < limit && left > 0 && candidate.fits(&reserved, kept_free_percent) {
                candidate.used = candidate.used.saturating_add(&reserved);
                room += 1;
                left -= 1;
            }
        }
        room
    }
}
