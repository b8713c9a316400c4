//! Workers of this daemon, with searches by speed and free resources.

use {
    crate::{
        capacity_tree::CapacityTree,
        worker::{SPEED_CLASSES, Worker, WorkerKey, is_in_class, speed_class},
    },
    fuchsiatack_model::{Resources, WorkerName},
    slotmap::SlotMap,
    std::{
        collections::HashMap,
        ops::{Index, IndexMut},
    },
};

/// All workers by key and by name. A change of a worker takes effect in searches after `refresh`.
pub(crate) struct Workers {
    arena: SlotMap<WorkerKey, Worker>,
    by_name: HashMap<WorkerName, WorkerKey>,
    /// Capacities of the workers while they are idle.
    capacities: CapacityTree,
    capacity_positions: HashMap<WorkerKey, u32>,
    /// Offers of the workers of each speed class, fastest class first.
    classes: [CapacityTree; SPEED_CLASSES],
}

impl Workers {
    pub(crate) fn new() -> Self {
        Self {
            arena: SlotMap::with_key(),
            by_name: HashMap::new(),
            capacities: CapacityTree::default(),
            capacity_positions: HashMap::new(),
            classes: std::array::from_fn(|_| CapacityTree::default()),
        }
    }

    pub(crate) fn insert(&mut self, worker: Worker) -> WorkerKey {
        let name = worker.name.clone();
        let capacity = worker.capacity;
        let offer = worker.offer();
        let class = worker.class;
        let key = self.arena.insert(worker);
        let position = self.classes[class].insert(key, offer);
        self.arena[key].position = position;
        self.by_name.insert(name, key);
        let capacity_position = self.capacities.insert(key, Some(capacity));
        self.capacity_positions.insert(key, capacity_position);
        key
    }

    pub(crate) fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.arena.remove(key)?;
        self.by_name.remove(&worker.name);
        self.classes[worker.class].remove(worker.position);
        if let Some(position) = self.capacity_positions.remove(&key) {
            self.capacities.remove(position);
        }
        Some(worker)
    }

    pub(crate) fn key(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.arena.get_mut(key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.arena.iter()
    }

    /// Returns whether a worker has enough resources for `demand` while it is idle.
    pub(crate) fn could_fit(&self, demand: &Resources) -> bool {
        self.capacities.find(0, demand, &|_| true).is_some()
    }

    /// Returns whether the workers of at least one speed class offer enough of each resource, though
    /// perhaps not on the same worker.
    pub(crate) fn may_fit(&self, demand: &Resources) -> bool {
        self.classes.iter().any(|class| class.may_fit(demand))
    }

    /// Returns what the worker that comes closest to `demand` lacks: the one with the fewest kinds of
    /// missing resources, then with the smallest amounts.
    pub(crate) fn missing(&self, demand: &Resources) -> Resources {
        self.arena
            .values()
            .map(|worker| demand.saturating_sub(&worker.capacity))
            .min_by_key(|missing| {
                let Resources {
                    accelerators,
                    connections,
                    memory_bytes,
                    processors_millis,
                    slots,
                } = *missing;
                let lacking = [accelerators, connections, processors_millis, slots];
                let kinds = lacking.iter().filter(|amount| **amount > 0).count();
                (kinds + usize::from(memory_bytes > 0), *missing)
            })
            .unwrap_or(*demand)
    }

    /// Returns how many tasks the workers could run at once while idle, at most `limit`.
    pub(crate) fn count_fitting(&self, demand: &Resources, limit: usize) -> usize {
        let mut count = 0;
        for worker in self.arena.values() {
            let mut taken = *demand;
            while count < limit && worker.capacity.covers(&taken) {
                taken = taken.saturating_add(demand);
                count += 1;
            }
        }
        count
    }

    /// Updates the searches with a worker's present offer and speed class.
    pub(crate) fn refresh(&mut self, key: WorkerKey) {
        let worker = &mut self.arena[key];
        let offer = worker.offer();
        let class = speed_class(worker.slowdown);
        if is_in_class(worker.slowdown, worker.class) || class == worker.class {
            self.classes[worker.class].set(worker.position, offer);
            return;
        }
        self.classes[worker.class].remove(worker.position);
        worker.class = class;
        worker.position = self.classes[class].insert(key, offer);
    }

    /// Returns the first accepted worker whose offer covers `demand`, fastest class first.
    pub(crate) fn fastest(
        &self,
        demand: &Resources,
        accept: &dyn Fn(WorkerKey) -> bool,
    ) -> Option<WorkerKey> {
        self.classes
            .iter()
            .find_map(|class| class.find(0, demand, accept))
            .map(|(worker, _)| worker)
    }

    /// Returns the first accepted worker whose offer covers `demand`, slowest class first.
    pub(crate) fn slowest(
        &self,
        demand: &Resources,
        accept: &dyn Fn(WorkerKey) -> bool,
    ) -> Option<WorkerKey> {
        self.classes
            .iter()
            .rev()
            .find_map(|class| class.find(0, demand, accept))
            .map(|(worker, _)| worker)
    }

    /// Returns all accepted workers whose offer covers `demand`. Searches every worker.
    pub(crate) fn fitting(&self, demand: &Resources, accept: &dyn Fn(WorkerKey) -> bool) -> Vec<WorkerKey> {
        self.arena
            .iter()
            .filter(|(_, worker)| worker.offer().is_some_and(|offer| offer.covers(demand)))
            .map(|(key, _)| key)
            .filter(|key| accept(*key))
            .collect()
    }

    /// Returns up to `count` accepted workers whose offer covers `demand`, fastest class first. The
    /// search of each class starts at a position that depends on `salt`, so that repeated calls
    /// return different workers.
    pub(crate) fn sample(
        &self,
        demand: &Resources,
        salt: u32,
        count: usize,
        accept: &dyn Fn(WorkerKey) -> bool,
    ) -> Vec<WorkerKey> {
        let mut found = Vec::with_capacity(count);
        for class in &self.classes {
            let start = salt % class.positions().max(1);
            let mut next = start;
            while found.len() < count {
                let Some((worker, after)) = class.find(next, demand, accept) else {
                    break;
                };
                found.push(worker);
                next = after;
            }
            let mut next = 0;
            while found.len() < count {
                let Some((worker, after)) = class.find(next, demand, accept) else {
                    break;
                };
                if after > start {
                    break;
                }
                found.push(worker);
                next = after;
            }
        }
        found
    }
}

impl Index<WorkerKey> for Workers {
    type Output = Worker;

    fn index(&self, key: WorkerKey) -> &Worker {
        &self.arena[key]
    }
}

impl IndexMut<WorkerKey> for Workers {
    fn index_mut(&mut self, key: WorkerKey) -> &mut Worker {
        &mut self.arena[key]
    }
}
