//! Names workers in advice requests by the room that a step is expected to find there.
//!
//! Handles slow advice in a full cell: a request takes a large part of a second, and its tickets are valid
//! for two seconds. A request whose tickets expire before there is room for a task occupies a daemon that
//! other steps wait for. A step therefore asks only for workers that have room, or are expected to have it
//! while the tickets are valid, and for no more of them than it needs.

use {
    crate::{
        AdvicePolicy, Planner, StepId, StepSpec, TaskKey, WaitReason,
        advice_claims::AdviceClaims,
        placement::Candidate,
        plan_advice::{MAX_WORKERS_PER_REQUEST, TICKET_MARGIN_MS},
        plan_advice_choice::PlannedRequest,
        plan_evacuation::STOP_TIME_MS,
        request_size::workers_with_room,
        run_view::RunState,
    },
    fuchsiatack_model::{Resources, WorkerName},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Part of the validity of a ticket within which its room must be expected, in percent. The rest is left for
/// runs that last longer than estimated.
const USABLE_PERCENT: u64 = 50;
/// Interval between two estimates of when the present runs end, in milliseconds. An estimate takes about a
/// millisecond in a cell of hundreds of workers.
const FORECAST_INTERVAL_MS: u64 = 100;
/// Maximum number of tasks of one step that are counted on the same worker.
const MAX_TASKS_PER_WORKER: usize = 100;
/// Maximum number of requests of one step at the same time. It bounds the share of the daemons that one step
/// occupies.
pub(crate) const MAX_REQUESTS: usize = 4;
/// Time after a response for which a step waits for room for all of its waiting tasks before it asks for
/// less, in milliseconds.
const LITTLE_ROOM_PAUSE_MS: u64 = 1_000;
/// Pause after a search that has found no worker with room, in milliseconds.
pub(crate) const NO_ROOM_PAUSE_MS: u64 = 100;
/// Room on known workers from which no others are named, in percent of what the waiting tasks need. Other
/// steps may take part of it before the tickets arrive.
const SPARE_PERCENT: usize = 130;

/// When the present runs are expected to end.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomForecast {
    due_ms: u64,
    /// Expected ends by worker, the soonest first, by the planner's clock in milliseconds.
    ends: BTreeMap<WorkerName, Vec<(u64, TaskKey)>>,
}

/// A worker with room for a step while its tickets are valid.
pub(crate) struct Opening {
    candidate: Candidate<WorkerName>,
    /// Whether it is known that the worker may run the step.
    pub(crate) is_known: bool,
    /// Time until there is room for a task, in milliseconds.
    ready_in_ms: u64,
    /// Number of tasks for which there is room now, or 1 if there will be room.
    pub(crate) tasks: usize,
}

impl Opening {
    pub(crate) fn worker(self) -> WorkerName {
        self.candidate.key
    }
}

impl Planner {
    /// Plans a request for advice on workers that have room for the waiting tasks of a step, or are expected to
    /// have it while the tickets are valid. Returns what the step waits for then.
    pub(crate) fn request_advice_for_room(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
        tasks: usize,
        kept_free_percent: u32,
    ) -> WaitReason {
        if self.has_enough_planned_requests(step, policy) {
            return WaitReason::NoAdviceSender;
        }
        self.update_forecast();
        self.update_claims();
        let openings = self.openings(step, spec, service, policy, kept_free_percent);
        let room: usize = openings.iter().map(|opening| opening.tasks).sum();
        let workers = match self.awaits_more_room(step, tasks, room) {
            true => Vec::new(),
            false => self.chosen_workers(step, policy, tasks, openings),
        };
        let Some(view) = self.steps.get_mut(&step).filter(|_| !workers.is_empty()) else {
            if let Some(view) = self.steps.get_mut(&step) {
                view.advice.request_due_ms = self.now_ms + NO_ROOM_PAUSE_MS;
            }
            return WaitReason::NoCapacity;
        };
        let priority = view.priority;
        let known = workers.iter();
        let known = known
            .filter(|worker| view.advice.eligible.contains_key(*worker))
            .count();
        let share = self.eligible_share(step);
        self.advice_claims
            .add(priority, &spec.reserved(), tasks, share, workers.iter());
        self.planned_requests.push(PlannedRequest {
            expected_thousandths: known as u64 * 1_000 + (workers.len() - known) as u64 * share,
            policy: policy.clone(),
            step,
            workers,
        });
        WaitReason::NoAdviceSender
    }

    /// Returns whether a step that has had a response waits for more room before it asks again: the fixed cost
    /// of a request is spent on few workers otherwise.
    fn awaits_more_room(&self, step: StepId, tasks: usize, room: usize) -> bool {
        let Some(advice) = self.steps.get(&step).map(|view| &view.advice) else {
            return false;
        };
        let is_little = room as u64 * self.eligible_share(step) < tasks as u64 * 1_000;
        is_little
            && advice
                .responded_ms
                .is_some_and(|ms| self.now_ms < ms + LITTLE_ROOM_PAUSE_MS)
    }

    /// Chooses among workers with room: known ones first, then those without a response, as many as the step
    /// is expected to need.
    fn chosen_workers(
        &self,
        step: StepId,
        policy: &AdvicePolicy,
        tasks: usize,
        openings: Vec<Opening>,
    ) -> Vec<WorkerName> {
        let (known, others): (Vec<_>, Vec<_>) = openings.into_iter().partition(|opening| opening.is_known);
        let wanted = (tasks * SPARE_PERCENT).div_ceil(100);
        let mut found = 0;
        let mut workers = Vec::new();
        for opening in known {
            if found >= wanted {
                break;
            }
            found += opening.tasks;
            workers.push(opening.candidate.key);
        }
        let missing = tasks.saturating_sub(found);
        if missing > 0 && !others.is_empty() {
            let room = others.iter().map(|opening| opening.tasks);
            let limit = (MAX_WORKERS_PER_REQUEST * MAX_REQUESTS).saturating_sub(workers.len());
            let size = workers_with_room(missing, room, self.eligible_share(step), policy, limit);
            workers.extend(others.into_iter().map(|opening| opening.candidate.key).take(size));
        }
        workers.truncate(MAX_WORKERS_PER_REQUEST * MAX_REQUESTS);
        workers
    }

    /// Returns the workers without a valid ticket that have room for a step while its tickets are valid: those
    /// with room now first, in the order of placement.
    pub(crate) fn openings(
        &self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
        kept_free_percent: u32,
    ) -> Vec<Opening> {
        let Some(view) = self.steps.get(&step) else {
            return Vec::new();
        };
        let reserved = spec.reserved();
        let seeker = self.seeker(step, spec);
        let usable_ms = policy.valid_ms.saturating_sub(TICKET_MARGIN_MS) * USABLE_PERCENT / 100;
        let within_ms = policy.response_ms(1) + usable_ms;
        let mut openings: Vec<_> = self
            .workers
            .iter()
            .filter(|(name, _)| view.advice.needs_advice(name, self.now_ms))
            .filter_map(|(name, worker)| {
                let mut candidate = self.suitable_worker(seeker, spec, service, name, worker)?;
                let claimed = self.advice_claims.claimed(view.priority, name);
                candidate.used = candidate.used.saturating_add(&claimed);
                let ready_in_ms = self.ready_in_ms(&candidate, &reserved, kept_free_percent, within_ms)?;
                let limit = spec.max_per_worker.map_or(usize::MAX, |limit| {
                    (limit as usize).saturating_sub(self.tasks_on(step, name))
                });
                Some(Opening {
                    tasks: room_now(&candidate, &reserved, kept_free_percent).clamp(1, limit),
                    is_known: view.advice.eligible.contains_key(name),
                    candidate,
                    ready_in_ms,
                })
            })
            .collect();
        openings.sort_by_key(|opening| (opening.ready_in_ms, opening.candidate.cost(&reserved)));
        openings
    }

    /// Returns the time until a task fits on a worker, if that is within `within_ms`, in milliseconds.
    fn ready_in_ms(
        &self,
        candidate: &Candidate<WorkerName>,
        reserved: &Resources,
        kept_free_percent: u32,
        within_ms: u64,
    ) -> Option<u64> {
        let mut candidate = candidate.clone();
        if candidate.fits(reserved, kept_free_percent) {
            return Some(0);
        }
        for (ready_in_ms, freed) in self.forecast_ends(&candidate.key, within_ms) {
            candidate.used = candidate.used.saturating_sub(&freed);
            if candidate.fits(reserved, kept_free_percent) {
                return Some(ready_in_ms);
            }
        }
        None
    }

    /// Returns the expected ends of present runs on a worker within `within_ms`, as time until the end in
    /// milliseconds and what becomes free.
    fn forecast_ends(&self, worker: &WorkerName, within_ms: u64) -> impl Iterator<Item = (u64, Resources)> {
        let until_ms = self.now_ms + within_ms;
        let ends = self.room_forecast.ends.get(worker);
        let ends = ends.into_iter().flatten();
        ends.take_while(move |(end_ms, _)| *end_ms <= until_ms)
            .filter_map(|(end_ms, task)| {
                let run = self.runs.get(task)?;
                Some((end_ms.saturating_sub(self.now_ms), run.reserved))
            })
    }

    /// Estimates when the present runs end, unless the last estimate is recent.
    pub(crate) fn update_forecast(&mut self) {
        if self.now_ms < self.room_forecast.due_ms {
            return;
        }
        let mut ends: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (task, run) in &self.runs {
            let remaining_ms = match run.state {
                RunState::Stopping { .. } => Some(STOP_TIME_MS),
                _ => self.expected_remaining_ms(*task),
            };
            if let Some(remaining_ms) = remaining_ms {
                let of_worker = ends.entry(run.worker.clone()).or_default();
                of_worker.push((self.now_ms.saturating_add(remaining_ms), *task));
            }
        }
        for of_worker in ends.values_mut() {
            of_worker.sort_unstable();
        }
        self.room_forecast = RoomForecast {
            due_ms: self.now_ms + FORECAST_INTERVAL_MS,
            ends,
        };
    }

    /// Computes the claims of all steps that have tickets or await them, once in a planning pass.
    pub(crate) fn update_claims(&mut self) {
        if self.claims_ms == Some(self.now_ms) {
            return;
        }
        self.claims_ms = Some(self.now_ms);
        let mut claims = AdviceClaims::default();
        for (step, view) in self.steps.iter().filter(|(_, view)| !view.waiting.is_empty()) {
            let job = self.store.jobs.get(&step.job);
            // The room of a gang is reserved.
            let Some(spec) = job.and_then(|job| job.step(step.step)).filter(|spec| !spec.gang) else {
                continue;
            };
            let (demand, tasks) = (spec.reserved(), view.waiting.len());
            let with_ticket = view.advice.eligible.keys();
            let valid: Vec<_> = with_ticket
                .filter(|worker| view.advice.ticket(worker, self.now_ms).is_some())
                .collect();
            claims.add(view.priority, &demand, tasks, 1_000, valid.into_iter());
            let awaited: Vec<_> = view.advice.requested_workers().collect();
            let share = self.eligible_share(*step);
            claims.add(view.priority, &demand, tasks, share, awaited.into_iter());
        }
        self.advice_claims = claims;
    }
}

/// Returns the number of tasks for which a worker has room now.
pub(crate) fn room_now(
    candidate: &Candidate<WorkerName>,
    reserved: &Resources,
    kept_free_percent: u32,
) -> usize {
    let mut candidate = candidate.clone();
    let mut tasks = 0;
    while tasks < MAX_TASKS_PER_WORKER && candidate.fits(reserved, kept_free_percent) {
        candidate.used = candidate.used.saturating_add(reserved);
        tasks += 1;
    }
    tasks
}
