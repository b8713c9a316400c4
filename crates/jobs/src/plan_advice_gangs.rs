//! Requests advice for gangs, and for tasks that need most of a worker.
//!
//! Handles gangs that are wider than one request, and those whose tickets never are valid at the same time.
//! Such a step first learns which workers may run it, as many as it needs in one round, through several
//! daemons if need be. It then reserves room on them. It asks for tickets again only if the workers that
//! may run it have room for all of its members, and then for all tickets at once.

use {
    crate::{
        AdvicePolicy, Planner, StepId, StepSpec, WaitReason,
        plan_advice::MAX_WORKERS_PER_REQUEST,
        plan_advice_room::{MAX_REQUESTS, NO_ROOM_PAUSE_MS},
        request_size::request_size,
    },
    fuchsiatack_model::{Resources, WorkerName},
    smol_str::SmolStr,
};

/// Room on workers that may run a step up to which further ones are evaluated, in percent of the room that
/// all of its tasks need. They need room at the same time, and other steps use those workers too.
const EVALUATED_ROOM_PERCENT: usize = 200;
/// Time after the last response from which the eligible workers of a step that can neither start nor reserve
/// room count as unusable, in milliseconds.
const UNUSABLE_WORKERS_MS: u64 = 1_000;
/// Pause of a step that cannot run on any more workers, in milliseconds.
const NO_WORKERS_PAUSE_MS: u64 = 500;

impl Planner {
    /// Asks for the tickets of a step whose workers have room for all of its waiting tasks, or for advice on
    /// further workers. Returns what the step waits for then.
    pub(crate) fn request_advice_for_gang(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
        tasks: usize,
        kept_free_percent: u32,
    ) -> WaitReason {
        self.update_forecast();
        self.update_claims();
        let openings = self.openings(step, spec, service, policy, kept_free_percent);
        let known = openings.into_iter().filter(|opening| opening.is_known);
        let valid = self.room_with_tickets(step, spec, service);
        let needed = if spec.gang { tasks.saturating_sub(valid) } else { 1 };
        let mut found = 0;
        let mut renewed = Vec::new();
        for opening in known {
            if found >= needed {
                break;
            }
            found += opening.tasks;
            renewed.push(opening.worker());
        }
        if found >= needed && !renewed.is_empty() {
            return self.send_advice_request(step, policy, renewed);
        }
        let workers = self.workers_to_evaluate(step, spec, service, policy, tasks);
        let pause_ms = if workers.is_empty() {
            NO_WORKERS_PAUSE_MS
        } else {
            NO_ROOM_PAUSE_MS
        };
        if let Some(view) = self.steps.get_mut(&step) {
            view.advice.request_due_ms = self.now_ms + pause_ms;
        }
        if workers.is_empty() {
            return WaitReason::NoCapacity;
        }
        match self.send_advice_requests(step, policy, workers, false) {
            0 => WaitReason::NoAdviceSender,
            _ => WaitReason::AwaitsAdvice,
        }
    }

    /// Returns the number of tasks for which workers have room now of which the step has a valid ticket.
    fn room_with_tickets(&self, step: StepId, spec: &StepSpec, service: &SmolStr) -> usize {
        let demand = spec.reserved();
        let candidates = self.advised_candidates(step, spec, service).into_iter();
        candidates
            .map(|candidate| {
                let free = candidate.capacity.saturating_sub(&candidate.used);
                self.limited(step, spec, &candidate.key, tasks_within(&free, &demand, spec))
            })
            .sum()
    }

    fn limited(&self, step: StepId, spec: &StepSpec, worker: &WorkerName, tasks: usize) -> usize {
        let limit = spec.max_per_worker.map_or(usize::MAX, |limit| {
            (limit as usize).saturating_sub(self.tasks_on(step, worker))
        });
        tasks.min(limit)
    }

    /// Returns the workers without a response to name in the next requests for a step, the best first; none
    /// if those that may run it suffice.
    fn workers_to_evaluate(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
        tasks: usize,
    ) -> Vec<WorkerName> {
        let Some(advice) = self.steps.get(&step).map(|view| &view.advice) else {
            return Vec::new();
        };
        let demand = spec.reserved();
        let capacity_for = |worker: &WorkerName| {
            let entry = self.store.workers.get(worker);
            entry.map_or(0, |entry| tasks_within(&entry.capacity, &demand, spec))
        };
        let seeker = self.seeker(step, spec);
        let suitable = |name: &WorkerName| {
            let view = self.workers.get(name)?;
            self.suitable_worker(seeker, spec, service, name, view)
        };
        // A step whose eligible workers have all left would otherwise wait for them for ever.
        let eligible = advice.eligible.keys().filter(|name| suitable(name).is_some());
        let known: usize = eligible.map(capacity_for).sum();
        let missing = match (tasks * EVALUATED_ROOM_PERCENT / 100).saturating_sub(known) {
            // Lasting runs may hold the room of all eligible workers.
            0 if advice.is_response_older_than(self.now_ms, UNUSABLE_WORKERS_MS) => tasks,
            missing => missing,
        };
        let unevaluated = self
            .workers
            .keys()
            .filter(|name| !advice.evaluated.contains(*name));
        let mut candidates: Vec<_> = unevaluated.filter_map(suitable).collect();
        if missing == 0 || candidates.is_empty() {
            return Vec::new();
        }
        candidates.sort_by_key(|candidate| (!candidate.fits(&demand, 0), candidate.cost(&demand)));
        let room: usize = candidates
            .iter()
            .map(|candidate| capacity_for(&candidate.key))
            .sum();
        let needed = (missing * candidates.len()).div_ceil(room.max(1));
        let limit = MAX_WORKERS_PER_REQUEST * MAX_REQUESTS;
        let size = request_size(needed, self.eligible_share(step), policy, limit);
        let names = candidates.into_iter().map(|candidate| candidate.key);
        names.take(size).collect()
    }
}

/// Returns the number of a step's tasks that fit into some resources.
fn tasks_within(free: &Resources, demand: &Resources, spec: &StepSpec) -> usize {
    let limit = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks) as usize;
    let mut used = Resources::NONE;
    let mut tasks = 0;
    while tasks < limit && free.has_free(&used, demand) {
        used = used.saturating_add(demand);
        tasks += 1;
    }
    tasks
}
