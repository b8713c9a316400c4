//! Reserves room for steps that small work would keep waiting, and asks for their tickets in time.

use {
    crate::{
        AdvicePolicy, LogEvent, Planner, StepId, StepSpec, TaskKey, WaitReason, WorkerEntry,
        plan_advice::MAX_WORKERS_PER_REQUEST,
        plan_evacuation::STOP_TIME_MS,
        plan_preemption::PREEMPTION_MS,
        request_size::request_size,
        reservation::{self, Room, RoomChoice, Seeker, Slot},
        run_view::RunState,
        worker_view::WorkerView,
    },
    fuchsiatack_model::{Resources, WorkerName},
    smol_str::SmolStr,
    std::collections::BTreeSet,
};

/// A task that needs more than one part in this many of a worker needs most of it.
const MOST_DIVISOR: u64 = 2;
/// Factor on the estimated duration of a task until which it has ended in all likelihood, in percent.
const LIKELY_END_PERCENT: u64 = 200;
/// Number of workers that one planning pass searches for room to reserve, after which reservations stay as
/// they are until a later pass.
pub(crate) const ROOM_SEARCHES_PER_PASS: usize = 60;
/// Number of workers for which a step with reserved room asks for tickets, in percent of those that it
/// needs.
const TICKETS_PERCENT: usize = 150;
/// Time that a step waits longer for a worker that it has reserved than for others, in milliseconds.
const RESERVED_PREFERENCE_MS: u64 = 300;
/// Time that a step waits longer for a worker of which it has the ticket than for others, in milliseconds.
const TICKET_PREFERENCE_MS: u64 = 600;
/// Expected wait for reserved room from which further workers are evaluated, in milliseconds.
const LONG_WAIT_MS: u64 = 1_000;

impl Planner {
    /// Returns how reservations treat a step.
    pub(crate) fn seeker(&self, step: StepId, spec: &StepSpec) -> Seeker {
        let likely_ms = spec.estimated_ms.saturating_mul(LIKELY_END_PERCENT) / 100;
        Seeker {
            end_ms: match spec.estimated_ms {
                0 => u64::MAX,
                _ if spec.long_running => u64::MAX,
                _ => self.now_ms.saturating_add(likely_ms),
            },
            priority: self.steps.get(&step).map_or(u32::MAX, |view| view.priority),
            step,
        }
    }

    /// Returns whether small work could keep the tasks of a step waiting for ever: the members of a gang
    /// need room at the same time, and some tasks need most of a worker.
    pub(crate) fn needs_reservation(&self, spec: &StepSpec, service: &SmolStr) -> bool {
        let demand = spec.reserved();
        let is_most = |demand: u64, capacity: u64| demand > capacity / MOST_DIVISOR;
        let needs_most_of = |capacity: &Resources| {
            is_most(demand.accelerators.into(), capacity.accelerators.into())
                || is_most(demand.memory_bytes, capacity.memory_bytes)
                || is_most(demand.processors_millis.into(), capacity.processors_millis.into())
        };
        let of_service = |entry: &&WorkerEntry| entry.service == *service;
        let workers = || self.store.workers.values().filter(of_service);
        spec.gang
            || workers()
                .filter(|entry| entry.capacity.covers(&demand))
                .all(|entry| needs_most_of(&entry.capacity))
    }

    /// Keeps room for the waiting tasks of a step, and asks for tickets shortly before it is complete. A step
    /// of small tasks only reserves room that is free soon, or that runs of a later priority have. Returns
    /// what the step waits for; `None` if too few workers are known that may run it, or if too much
    /// is reserved already.
    pub(crate) fn reserve_room(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: Option<&AdvicePolicy>,
        tasks: usize,
    ) -> Option<WaitReason> {
        if self.reservations.may_renew(step, self.now_ms) && self.room_searches_left > 0 {
            self.renew_reservation(step, spec, service, policy.is_some(), tasks);
        }
        let present = self.reservations.get(step)?;
        let ready_ms = present.ready_ms?;
        let workers = present.workers.clone();
        let Some(policy) = policy else {
            self.preempt_for(step, spec);
            return Some(WaitReason::AwaitsRoom);
        };
        let advice = self.steps.get(&step).map(|view| &view.advice);
        let has_ticket = |worker: &WorkerName| {
            let ticket = advice.and_then(|advice| advice.ticket(worker, ready_ms.max(self.now_ms)));
            ticket.is_some()
        };
        let has_tickets = workers
            .iter()
            .filter(|worker| self.reservations.is_reserved(step, worker))
            .all(has_ticket);
        let without: Vec<_> = workers.into_iter().filter(|worker| !has_ticket(worker)).collect();
        if has_tickets {
            self.preempt_for(step, spec);
        }
        if let Some(reason) = self.advice_pause(step, policy) {
            return Some(reason);
        }
        let wait_ms = ready_ms.saturating_sub(self.now_ms);
        // Runs are preempted once the tickets are there, so that their room is due at any time.
        let response_ms = policy.response_ms(without.len());
        let is_due = wait_ms <= response_ms.max(PREEMPTION_MS)
            && (self.unused_rounds(step) == 0 || self.is_room_complete(step, response_ms));
        Some(match has_tickets {
            false if is_due => self.send_advice_request(step, policy, without),
            _ if wait_ms >= LONG_WAIT_MS => self.evaluate_more(step, spec, service, policy),
            _ => WaitReason::AwaitsRoom,
        })
    }

    fn unused_rounds(&self, step: StepId) -> u32 {
        let view = self.steps.get(&step);
        view.map_or(0, |view| view.advice.unused_rounds)
    }

    /// Returns whether the room that a step has reserved is free now, but for runs that are expected to end
    /// within `within_ms`. Runs that last longer than estimated may do so for any time. A step that has
    /// relied on their ends once, and whose tickets have expired, does not do so again.
    fn is_room_complete(&self, step: StepId, within_ms: u64) -> bool {
        let is_ending = |task: &TaskKey| {
            let remaining_ms = self.expected_remaining_ms(*task);
            remaining_ms.is_some_and(|ms| (1..=within_ms).contains(&ms))
        };
        let holds = self.reservations.holds_of(step);
        holds.iter().all(|(worker, needed)| {
            let (Some(view), Some(entry)) = (self.workers.get(worker), self.store.workers.get(worker)) else {
                return false;
            };
            let lasting = view.runs.iter().filter(|task| !is_ending(task));
            let used = lasting
                .filter_map(|task| self.runs.get(task))
                .fold(Resources::NONE, |used, run| used.saturating_add(&run.reserved));
            entry.capacity.has_free(&used, needed)
        })
    }

    /// Asks for advice on workers that were not evaluated for a step, so that it finds room sooner.
    fn evaluate_more(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        policy: &AdvicePolicy,
    ) -> WaitReason {
        let seeker = self.seeker(step, spec);
        let advice = self.steps.get(&step).map(|view| &view.advice);
        let is_unevaluated =
            |worker: &WorkerName| advice.is_some_and(|advice| !advice.evaluated.contains(worker));
        let unevaluated = self.workers.keys().filter(|worker| is_unevaluated(worker));
        let rooms = self.rooms(seeker, spec, service, unevaluated);
        let slots = reservation::choose_slots(&rooms, &spec.reserved(), MAX_WORKERS_PER_REQUEST);
        let mut workers = distinct_workers(&slots);
        let needed = (spec.tasks as usize * workers.len()).div_ceil(slots.len().max(1));
        let share = self.eligible_share(step);
        workers.truncate(request_size(needed, share, policy, MAX_WORKERS_PER_REQUEST));
        if workers.is_empty() {
            return WaitReason::AwaitsRoom;
        }
        self.send_advice_request(step, policy, workers)
    }

    /// Chooses the workers on which a step reserves room.
    fn renew_reservation(
        &mut self,
        step: StepId,
        spec: &StepSpec,
        service: &SmolStr,
        needs_advice: bool,
        tasks: usize,
    ) {
        let view = self.steps.get(&step).filter(|_| needs_advice);
        let searched = view.map_or(self.workers.len(), |view| view.advice.eligible.len());
        self.room_searches_left = self.room_searches_left.saturating_sub(searched);
        let seeker = self.seeker(step, spec);
        let choice = self.choose_room(seeker, spec, service, needs_advice, tasks);
        let (reserved, workers) = (choice.slots.len(), choice.workers.len());
        let ready_in_ms = choice.slots.iter().map(|slot| slot.ready_in_ms).max();
        let has_changed = self.reservations.renew(self.now_ms, seeker, choice);
        if has_changed && self.needs_reservation(spec, service) {
            let event = LogEvent::new("reservation changed")
                .job(step.job)
                .with("step", step)
                .with("tasks", tasks)
                .with("reserved", reserved)
                .with("workers", workers)
                .with("ready_in_ms", ready_in_ms.unwrap_or_default());
            self.log(event);
        }
    }

    fn choose_room(
        &self,
        seeker: Seeker,
        spec: &StepSpec,
        service: &SmolStr,
        needs_advice: bool,
        tasks: usize,
    ) -> RoomChoice {
        let demand = spec.reserved();
        let view = self.steps.get(&seeker.step);
        let rooms = match view.filter(|_| needs_advice) {
            None => self.rooms(seeker, spec, service, self.workers.keys()),
            Some(view) => self.rooms(seeker, spec, service, view.advice.eligible.keys()),
        };
        let with_spare = (tasks * TICKETS_PERCENT).div_ceil(100);
        let mut slots = reservation::choose_slots(&rooms, &demand, with_spare);
        let workers = distinct_workers(&slots);
        slots.truncate(tasks);
        if !self.needs_reservation(spec, service) {
            slots.retain(|slot| slot.ready_in_ms <= PREEMPTION_MS);
        }
        let is_enough = slots.len() == tasks || !spec.gang;
        let may_grow = || {
            let entries = self.store.workers.values();
            let of_service = entries.filter(|entry| entry.service == *service).count();
            let step = seeker.step;
            self.reservations.may_grow(step, service, of_service, slots.len())
        };
        if !is_enough || !may_grow() {
            slots.clear();
        }
        RoomChoice {
            demand,
            service: service.clone(),
            slots,
            workers,
        }
    }

    /// Returns those of some workers that may run the tasks of a step.
    fn rooms<'a>(
        &self,
        seeker: Seeker,
        spec: &StepSpec,
        service: &SmolStr,
        workers: impl Iterator<Item = &'a WorkerName>,
    ) -> Vec<Room<WorkerName>> {
        workers
            .filter_map(|name| {
                let view = self.workers.get(name)?;
                let candidate = self.suitable_worker(seeker, spec, service, name, view)?;
                Some(Room {
                    capacity: candidate.capacity,
                    ends: self.expected_ends(seeker, view),
                    key: candidate.key,
                    max_tasks: spec.max_per_worker.map_or(usize::MAX, |limit| {
                        (limit as usize).saturating_sub(self.tasks_on(seeker.step, name))
                    }),
                    preference_ms: self.preference_ms(seeker.step, name),
                    used: candidate.used,
                })
            })
            .collect()
    }

    /// Returns by how much longer a step waits for a worker that it has reserved, or of which it has the
    /// ticket, than for others, in milliseconds.
    fn preference_ms(&self, step: StepId, worker: &WorkerName) -> u64 {
        let advice = self.steps.get(&step).map(|view| &view.advice);
        let has_ticket = advice.is_some_and(|advice| advice.ticket(worker, self.now_ms).is_some());
        let is_reserved = self.reservations.is_reserved(step, worker);
        u64::from(is_reserved) * RESERVED_PREFERENCE_MS + u64::from(has_ticket) * TICKET_PREFERENCE_MS
    }

    /// Returns the times until the runs on a worker are expected to end, or may be preempted by a step, with
    /// what they reserve.
    fn expected_ends(&self, seeker: Seeker, view: &WorkerView) -> Vec<(u64, Resources)> {
        let runs = view.runs.iter().filter_map(|task| self.runs.get(task));
        runs.filter_map(|run| {
            let remaining_ms = self.expected_remaining_ms(run.run.task);
            let end_ms = match run.state {
                RunState::Stopping { .. } => Some(STOP_TIME_MS),
                _ if self.is_preemptible(seeker, run) => remaining_ms.map(|ms| ms.min(PREEMPTION_MS)),
                _ => remaining_ms,
            };
            Some((end_ms?, run.reserved))
        })
        .collect()
    }
}

/// Returns the workers of some slots, each once, in the order of the slots.
fn distinct_workers(slots: &[Slot<WorkerName>]) -> Vec<WorkerName> {
    let mut seen = BTreeSet::new();
    let workers = slots.iter().map(|slot| &slot.key);
    workers.filter(|worker| seen.insert(*worker)).cloned().collect()
}
