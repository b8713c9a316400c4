//! Room that is kept for steps which small work would keep from ever finding enough of it.
//!
//! Answers gangs and tasks that need most of a worker beside a stream of small tasks. The small ones
//! take each piece of a worker as it becomes free, so that a whole worker, or many at once, never are.
//! A step that waits for such room reserves it on workers that may run it, and what becomes free there
//! is kept for it. Tasks that are expected to end before the reserved room is complete may still run.

use {
    crate::StepId,
    fuchsiatack_model::{Resources, WorkerName},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Interval between two choices of the reserved workers, in milliseconds.
const RENEWAL_MS: u64 = 200;
/// Time after which a reservation that its step does not renew ends, in milliseconds.
const LIFETIME_MS: u64 = 1_000;
/// Maximum time for which a step keeps reservations without a start, in milliseconds.
const MAX_HOLD_MS: u64 = 12_000;
/// Time by which a step keeps reservations longer if they are expected to be complete by then, in
/// milliseconds. It covers the request for the tickets and part of their validity.
const COMPLETION_MS: u64 = 2_000;
/// Time after that for which the step makes no reservation, in milliseconds.
const RELEASE_MS: u64 = 2_000;
/// Maximum share of a service's workers on which room is reserved, in percent.
const MAX_WORKERS_PERCENT: usize = 50;

/// A worker with what its present runs use and when they end.
#[derive(Clone, Debug)]
pub struct Room<K> {
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Times until its runs are expected to end in milliseconds, with what they use. Runs that do not end
    /// by themselves are missing.
    pub ends: Vec<(u64, Resources)>,
    /// Identifies the worker to the calling code.
    pub key: K,
    /// Maximum number of the step's tasks on it.
    pub max_tasks: usize,
    /// Time by which other workers must have room sooner to be preferred, in milliseconds.
    pub preference_ms: u64,
    /// What its runs and the reservations of others use.
    pub used: Resources,
}

/// Room for one task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot<K> {
    /// Identifies the worker to the calling code.
    pub key: K,
    /// Expected time until the task fits, in milliseconds.
    pub ready_in_ms: u64,
}

/// Returns room for up to `tasks` tasks that need `demand` each, what is expected to be free first in
/// front, but for the preference of some workers.
pub fn choose_slots<K: Clone>(rooms: &[Room<K>], demand: &Resources, tasks: usize) -> Vec<Slot<K>> {
    let longest_ms = rooms.iter().map(|room| room.preference_ms).max().unwrap_or(0);
    let mut slots: Vec<_> = rooms
        .iter()
        .flat_map(|room| {
            let ready = slots_of(room, demand, tasks).into_iter();
            let penalty_ms = longest_ms - room.preference_ms;
            ready.map(move |slot| (slot.ready_in_ms + penalty_ms, slot))
        })
        .collect();
    slots.sort_by_key(|(cost_ms, _)| *cost_ms);
    slots.truncate(tasks);
    slots.into_iter().map(|(_, slot)| slot).collect()
}

fn slots_of<K: Clone>(room: &Room<K>, demand: &Resources, tasks: usize) -> Vec<Slot<K>> {
    let mut ends = room.ends.clone();
    ends.sort_unstable();
    let mut used = room.used;
    let mut slots = Vec::new();
    let steps = std::iter::once((0, Resources::NONE)).chain(ends);
    for (ready_in_ms, freed) in steps {
        used = used.saturating_sub(&freed);
        while slots.len() < tasks.min(room.max_tasks) && room.capacity.has_free(&used, demand) {
            used = used.saturating_add(demand);
            slots.push(Slot {
                key: room.key.clone(),
                ready_in_ms,
            });
        }
    }
    slots
}

/// What a step reserves on one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Hold {
    priority: u32,
    /// Expected time at which the room is complete.
    ready_ms: u64,
    resources: Resources,
}

/// The workers that a step chooses for its waiting tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomChoice {
    /// What one task needs.
    pub(crate) demand: Resources,
    /// Service of the workers.
    pub(crate) service: SmolStr,
    /// Room to reserve; empty if none is to be reserved now.
    pub(crate) slots: Vec<Slot<WorkerName>>,
    /// The workers of the room, and others that may take their place.
    pub(crate) workers: Vec<WorkerName>,
}

/// Room that a step reserves. Times are by the planner's clock in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Time from which the workers are chosen again.
    due_ms: u64,
    /// Time at which the step began to reserve.
    since_ms: u64,
    /// Expected time at which all of the room is complete; `None` if none is reserved.
    pub(crate) ready_ms: Option<u64>,
    service: SmolStr,
    /// The workers of the room, and others that may take their place.
    pub(crate) workers: Vec<WorkerName>,
}

/// A step for which workers are sought, as reservations treat it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seeker {
    /// Time by which its tasks have ended in all likelihood; `u64::MAX` if they do not end by themselves or
    /// have no estimate.
    pub(crate) end_ms: u64,
    pub(crate) priority: u32,
    pub(crate) step: StepId,
}

/// All reservations of a leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    by_step: BTreeMap<StepId, Reservation>,
    holds: BTreeMap<WorkerName, BTreeMap<StepId, Hold>>,
}

impl Reservations {
    /// Returns the reservation of a step.
    pub(crate) fn get(&self, step: StepId) -> Option<&Reservation> {
        self.by_step.get(&step)
    }

    /// Returns what is kept on a worker from a step: the reservations of other steps, but for those of a
    /// later priority and those that begin after the step's tasks have ended.
    pub(crate) fn kept_from(&self, seeker: Seeker, worker: &WorkerName) -> Resources {
        let holds = self.holds.get(worker).into_iter().flatten();
        holds
            .filter(|(step, hold)| {
                **step != seeker.step && hold.priority <= seeker.priority && seeker.end_ms > hold.ready_ms
            })
            .fold(Resources::NONE, |sum, (_, hold)| {
                sum.saturating_add(&hold.resources)
            })
    }

    /// Returns whether a step has reserved room on a worker.
    pub(crate) fn is_reserved(&self, step: StepId, worker: &WorkerName) -> bool {
        let holds = self.holds.get(worker);
        holds.is_some_and(|holds| holds.contains_key(&step))
    }

    /// Returns what a step has reserved on each worker.
    pub(crate) fn holds_of(&self, step: StepId) -> Vec<(WorkerName, Resources)> {
        let holds = self.holds.iter();
        let of_step = holds.filter_map(|(worker, holds)| Some((worker, holds.get(&step)?)));
        of_step
            .map(|(worker, hold)| (worker.clone(), hold.resources))
            .collect()
    }

    /// Returns whether any step has reserved room on a worker.
    pub(crate) fn has_holds(&self, worker: &WorkerName) -> bool {
        self.holds.contains_key(worker)
    }

    /// Returns whether a step may choose its workers now.
    pub(crate) fn may_renew(&self, step: StepId, now_ms: u64) -> bool {
        self.get(step).is_none_or(|present| now_ms >= present.due_ms)
    }

    /// Replaces the reservation of a step. Returns whether the step has begun or ceased to reserve room.
    pub(crate) fn renew(&mut self, now_ms: u64, seeker: Seeker, choice: RoomChoice) -> bool {
        let before = self.by_step.get(&seeker.step);
        let since_ms = before.map_or(now_ms, |before| before.since_ms);
        let had_room = before.is_some_and(|before| before.ready_ms.is_some());
        self.release_room(seeker.step);
        // A step of which the room never becomes complete lets others pass for a while.
        let ready_in_ms = choice.slots.iter().map(|slot| slot.ready_in_ms).max();
        let is_nearly_complete = ready_in_ms
            .is_some_and(|ready_in_ms| now_ms + ready_in_ms < since_ms + MAX_HOLD_MS + COMPLETION_MS);
        let is_over = now_ms >= since_ms + MAX_HOLD_MS && !is_nearly_complete;
        let slots = if is_over { Vec::new() } else { choice.slots };
        let ready_in_ms = ready_in_ms.filter(|_| !is_over);
        for slot in slots {
            let holds = self.holds.entry(slot.key).or_default();
            let hold = holds.entry(seeker.step).or_insert(Hold {
                priority: seeker.priority,
                ready_ms: 0,
                resources: Resources::NONE,
            });
            hold.ready_ms = hold.ready_ms.max(now_ms + slot.ready_in_ms);
            hold.resources = hold.resources.saturating_add(&choice.demand);
        }
        let reservation = Reservation {
            due_ms: now_ms + if is_over { RELEASE_MS } else { RENEWAL_MS },
            ready_ms: ready_in_ms.map(|ready_in_ms| now_ms + ready_in_ms),
            service: choice.service,
            since_ms: if is_over { now_ms + RELEASE_MS } else { since_ms },
            workers: choice.workers,
        };
        self.by_step.insert(seeker.step, reservation);
        had_room != ready_in_ms.is_some()
    }

    /// Ends the reservation of a step.
    pub(crate) fn end(&mut self, step: StepId) {
        if self.by_step.remove(&step).is_some() {
            self.release_room(step);
        }
    }

    /// Ends the reservations of all steps that have chosen a worker.
    pub(crate) fn end_on(&mut self, worker: &WorkerName) {
        let by_step = self.by_step.iter();
        let choosing = by_step.filter(|(_, present)| present.workers.contains(worker));
        let choosing: Vec<_> = choosing.map(|(step, _)| *step).collect();
        for step in choosing {
            self.end(step);
        }
    }

    /// Ends the reservations that were not renewed in time.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let is_old = |present: &Reservation| now_ms > present.due_ms + LIFETIME_MS;
        let old = self.by_step.iter().filter(|(_, present)| is_old(present));
        let old: Vec<_> = old.map(|(step, _)| *step).collect();
        for step in old {
            self.end(step);
        }
    }

    /// Returns whether a service of `workers` workers bears reservations on `more` further ones.
    pub(crate) fn may_grow(&self, step: StepId, service: &SmolStr, workers: usize, more: usize) -> bool {
        let others = self.by_step.iter().filter(|(other, present)| {
            **other != step && present.service == *service && present.ready_ms.is_some()
        });
        let held = others
            .flat_map(|(other, _)| self.holds.values().filter(|holds| holds.contains_key(other)))
            .count();
        held == 0 || (held + more) * 100 <= workers * MAX_WORKERS_PERCENT
    }

    fn release_room(&mut self, step: StepId) {
        self.holds.retain(|_, holds| {
            holds.remove(&step);
            !holds.is_empty()
        });
    }
}
