//! Reservation of free resources for a gang until all its tasks can start.
//!
//! Without it, smaller work that takes every free slot would keep a gang waiting for ever.

use {
    crate::{
        Decision, Kernel,
        task::{GangKey, Stage, TaskKey},
        timer::Timer,
        worker::WorkerKey,
    },
    fuchsiatack_model::{Policy, Resources},
};

/// Waiting time of a gang after which its reservation also excludes urgent tasks, so that it starts
/// even while interactive tasks alone keep the fleet full.
const ABSOLUTE_AFTER_US: u64 = 600_000_000;
/// Waiting time of a gang after which its reservation also excludes services and interactive tasks,
/// batch tasks are preempted for it, and batch tasks of its team leave their tokens to it.
pub(crate) const FIRM_AFTER_US: u64 = 60_000_000;
/// Time between attempts to place gangs without a reservation.
const GANG_RETRY_US: u64 = 500_000;
/// Divisor of the term of an expired reservation. The quotient is the pause before the next
/// reservation if no other gang is queued.
const PAUSE_DIVISOR: u64 = 4;
/// Time for which the first reservation of a gang lasts at most; doubled after each that expired.
const FIRST_TERM_US: u64 = 10_000_000;
/// Maximum number of doublings of the term. A longer term lets a large gang become complete.
const TERM_DOUBLINGS: u32 = 8;

/// Work that may not use reserved resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Strength {
    /// Excludes batch tasks and other gangs.
    Soft,
    /// Also excludes services, and interactive tasks that are not close to their start bound.
    Firm,
    /// Excludes all other work.
    Absolute,
}

impl Strength {
    /// Returns the strength for a gang that has waited for `waited_us`.
    fn after(waited_us: u64) -> Self {
        match waited_us {
            ABSOLUTE_AFTER_US.. => Self::Absolute,
            FIRM_AFTER_US.. => Self::Firm,
            _ => Self::Soft,
        }
    }
}

/// Reservation of one gang. Only one gang holds a reservation at a time, so that two gangs never
/// block each other.
pub(crate) struct Reservation {
    /// Resources for each task.
    demand: Resources,
    pub(crate) first_task: TaskKey,
    /// Number of tasks for which each worker holds resources, without zeros.
    holds: Vec<(WorkerKey, u32)>,
    /// Number of tasks for which resources are reserved.
    reserved_tasks: u32,
    /// Number of tasks of the gang.
    size: u32,
    strength: Strength,
}

impl Kernel {
    /// Queues a gang for a reservation after it could not be placed.
    pub(crate) fn queue_gang(&mut self, first_task: TaskKey, gang: GangKey) {
        let entry = &mut self.gangs[gang];
        if entry.queued {
            return;
        }
        entry.queued = true;
        if self.gang_queue.len() > 2 * self.gangs.len() {
            let tasks = &self.tasks;
            self.gang_queue
                .retain(|first_task| tasks.get(*first_task).is_some_and(|task| task.gang.is_some()));
        }
        self.gang_queue.push_back(first_task);
        self.set_reserve_timer(GANG_RETRY_US);
    }

    /// Gives the reservation to the first gang in the queue if none holds it, and marks all gangs
    /// as ready.
    pub(crate) fn reserve_next(&mut self, decisions: &mut Vec<Decision>) {
        self.is_reserve_timer_set = false;
        while self.reservation.is_none() {
            let Some(first_task) = self.gang_queue.pop_front() else {
                break;
            };
            if self.waiting_gang(first_task).is_some() {
                self.reserve(first_task, decisions);
            }
        }
        self.waiting.mark_gangs_ready();
        if !self.gang_queue.is_empty() {
            self.set_reserve_timer(GANG_RETRY_US);
        }
    }

    /// Ends a reservation whose term is over. The gang goes to the end of the queue.
    pub(crate) fn reservation_expired(&mut self, first_task: TaskKey) {
        if self
            .reservation
            .as_ref()
            .map(|reservation| reservation.first_task)
            != Some(first_task)
        {
            return;
        }
        self.cancel_reservation();
        let Some(gang) = self.waiting_gang(first_task) else {
            return;
        };
        let term_us = self.term_us(gang);
        self.gangs[gang].attempts += 1;
        self.gang_queue.push_back(first_task);
        self.set_reserve_timer(term_us / PAUSE_DIVISOR);
    }

    /// Releases the reserved resources for other work.
    pub(crate) fn cancel_reservation(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        for (worker, _) in reservation.holds {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.reserved = Resources::NONE;
                self.offer_changed(worker);
            }
        }
        if !self.gang_queue.is_empty() {
            self.set_reserve_timer(GANG_RETRY_US);
        }
    }

    /// Updates the reservation after the offer of a worker has changed.
    pub(crate) fn adjust_reservation(&mut self, key: WorkerKey) {
        let Some(reservation) = &mut self.reservation else {
            return;
        };
        let worker = &mut self.workers[key];
        let free = worker.offer().unwrap_or(Resources::NONE);
        let position = reservation.holds.iter().position(|(other, _)| *other == key);
        let old = position.map_or(0, |position| reservation.holds[position].1);
        let open = reservation.size - reservation.reserved_tasks + old;
        let (count, reserved) = count_fitting(&free, &reservation.demand, open, worker.offer().is_some());
        worker.reserved = reserved;
        reservation.reserved_tasks = reservation.reserved_tasks - old + count;
        match position {
            Some(position) if count == 0 => {
                reservation.holds.swap_remove(position);
            }
            Some(position) => reservation.holds[position].1 = count,
            None if count > 0 => reservation.holds.push((key, count)),
            None => {}
        }
    }

    /// Starts the gang if its reservation is complete and its team has enough tokens. Returns
    /// whether the reservation ended.
    pub(crate) fn start_reserved(&mut self, decisions: &mut Vec<Decision>) -> bool {
        let complete = self
            .reservation
            .as_ref()
            .filter(|reservation| reservation.reserved_tasks == reservation.size);
        let Some(reservation) = complete else {
            return false;
        };
        let first_task = reservation.first_task;
        let size = reservation.size;
        let workers: Vec<WorkerKey> = reservation
            .holds
            .iter()
            .flat_map(|(worker, count)| std::iter::repeat_n(*worker, *count as usize))
            .collect();
        let team = self.tasks[first_task].team;
        let may_start = self.teams[team].startable() >= size;
        self.cancel_reservation();
        match may_start {
            true => self.start_gang(first_task, &workers, decisions),
            false => self.requeue_gang(first_task),
        }
        true
    }

    /// Returns whether a task may start on a worker in spite of resources reserved there.
    pub(crate) fn may_use(&self, key: TaskKey, worker: WorkerKey) -> bool {
        let entry = &self.workers[worker];
        if entry.reserved == Resources::NONE {
            return true;
        }
        let task = &self.tasks[key];
        let strength = self
            .reservation
            .as_ref()
            .map_or(Strength::Soft, |reservation| reservation.strength);
        match task.policy {
            Policy::Interactive | Policy::Service if strength == Strength::Soft => true,
            Policy::Interactive if strength == Strength::Firm && self.is_close_to_bound(key) => true,
            _ => entry.free().saturating_sub(&entry.reserved).covers(&task.demand),
        }
    }

    fn reserve(&mut self, first_task: TaskKey, decisions: &mut Vec<Decision>) {
        let Some(gang) = self.waiting_gang(first_task) else {
            return;
        };
        let task = &self.tasks[first_task];
        let strength = Strength::after(self.now_us - task.submitted_us);
        let demand = task.demand;
        let size = self.gangs[gang].members.len() as u32;
        self.reservation = Some(Reservation {
            demand,
            first_task,
            holds: Vec::new(),
            reserved_tasks: 0,
            size,
            strength,
        });
        self.reserve_free_resources(&demand, size);
        let term_us = self.term_us(gang);
        self.timers
            .insert((self.now_us + term_us, Timer::ReservationEnd(first_task)));
        if strength >= Strength::Firm {
            let missing = self
                .reservation
                .as_ref()
                .map_or(0, |reservation| size - reservation.reserved_tasks);
            for _ in 0..missing {
                if !self.preempt_for(&demand, decisions) {
                    break;
                }
            }
        }
    }

    /// Reserves free resources of workers, fastest first, until they suffice for the gang.
    fn reserve_free_resources(&mut self, demand: &Resources, size: u32) {
        for _ in 0..size {
            let complete = self
                .reservation
                .as_ref()
                .is_none_or(|reservation| reservation.reserved_tasks == size);
            if complete {
                return;
            }
            let workers = &self.workers;
            let untouched = |worker: WorkerKey| workers[worker].reserved == Resources::NONE;
            let Some(worker) = workers.fastest(demand, &untouched) else {
                return;
            };
            self.adjust_reservation(worker);
        }
    }

    fn requeue_gang(&mut self, first_task: TaskKey) {
        if self.waiting_gang(first_task).is_some() {
            self.gang_queue.push_back(first_task);
            self.set_reserve_timer(GANG_RETRY_US);
        }
    }

    fn set_reserve_timer(&mut self, delay_us: u64) {
        if !self.is_reserve_timer_set {
            self.is_reserve_timer_set = true;
            self.timers.insert((self.now_us + delay_us, Timer::Reserve));
        }
    }

    fn term_us(&self, gang: GangKey) -> u64 {
        FIRST_TERM_US << self.gangs[gang].attempts.min(TERM_DOUBLINGS)
    }

    /// Returns the gang of a waiting first task, or `None` if it no longer waits.
    fn waiting_gang(&self, first_task: TaskKey) -> Option<GangKey> {
        let task = self.tasks.get(first_task)?;
        match task.stage {
            Stage::Waiting(_) => task.gang,
            _ => None,
        }
    }
}

/// Returns how many tasks fit in the free resources, at most `limit`, and their total demand.
fn count_fitting(free: &Resources, demand: &Resources, limit: u32, usable: bool) -> (u32, Resources) {
    let mut count = 0;
    let mut taken = Resources::NONE;
    while usable && count < limit && free.covers(&taken.saturating_add(demand)) {
        taken = taken.saturating_add(demand);
        count += 1;
    }
    (count, taken)
}
