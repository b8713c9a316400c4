//! Search for workers whose offer covers a demand.

use {crate::worker::WorkerKey, fuchsiatack_model::Resources};

/// Binary tree over worker positions. Each node holds, for each resource, the largest offer below
/// it, so a search skips every subtree in which no worker can cover the demand.
#[derive(Default)]
pub(crate) struct CapacityTree {
    free_positions: Vec<u32>,
    leaves: usize,
    nodes: Vec<Option<Resources>>,
    workers: Vec<Option<WorkerKey>>,
}

impl CapacityTree {
    /// Adds a worker and returns its position, which stays until it is removed.
    pub(crate) fn insert(&mut self, worker: WorkerKey, offer: Option<Resources>) -> u32 {
        let position = self.free_positions.pop().unwrap_or(self.workers.len() as u32);
        if position as usize == self.workers.len() {
            self.workers.push(None);
        }
        self.workers[position as usize] = Some(worker);
        self.grow();
        self.set(position, offer);
        position
    }

    /// Removes the worker at a position.
    pub(crate) fn remove(&mut self, position: u32) {
        self.set(position, None);
        self.workers[position as usize] = None;
        self.free_positions.push(position);
    }

    /// Sets the offer at a position; `None` if no task may start there.
    pub(crate) fn set(&mut self, position: u32, offer: Option<Resources>) {
        let mut node = self.leaves + position as usize;
        self.nodes[node] = offer;
        while node > 1 {
            node /= 2;
            let largest = larger(self.nodes[2 * node], self.nodes[2 * node + 1]);
            if self.nodes[node] == largest {
                return;
            }
            self.nodes[node] = largest;
        }
    }

    /// Returns the first accepted worker from position `start` on whose offer covers `demand`, and
    /// the position after it.
    pub(crate) fn find(
        &self,
        start: u32,
        demand: &Resources,
        accept: &dyn Fn(WorkerKey) -> bool,
    ) -> Option<(WorkerKey, u32)> {
        if self.leaves == 0 {
            return None;
        }
        let position = self.search(1, self.leaves, start as usize, demand, accept)?;
        let worker = self.workers[position]?;
        Some((worker, position as u32 + 1))
    }

    /// Returns whether the workers offer enough of each resource, though perhaps not on the same
    /// worker.
    pub(crate) fn may_fit(&self, demand: &Resources) -> bool {
        self.nodes
            .get(1)
            .is_some_and(|root| root.is_some_and(|offer| offer.covers(demand)))
    }

    /// Returns the number of positions, unused ones included.
    pub(crate) fn positions(&self) -> u32 {
        self.workers.len() as u32
    }

    fn search(
        &self,
        node: usize,
        width: usize,
        start: usize,
        demand: &Resources,
        accept: &dyn Fn(WorkerKey) -> bool,
    ) -> Option<usize> {
        let first = node * width - self.leaves;
        let covered = self.nodes[node].is_some_and(|offer| offer.covers(demand));
        if !covered || first + width <= start {
            return None;
        }
        if width == 1 {
            let worker = self.workers[first]?;
            return accept(worker).then_some(first);
        }
        self.search(2 * node, width / 2, start, demand, accept)
            .or_else(|| self.search(2 * node + 1, width / 2, start, demand, accept))
    }

    fn grow(&mut self) {
        if self.workers.len() <= self.leaves {
            return;
        }
        let old = std::mem::take(&mut self.nodes);
        let old_leaves = self.leaves;
        self.leaves = self.workers.len().next_power_of_two();
        self.nodes = vec![None; 2 * self.leaves];
        self.nodes[self.leaves..self.leaves + old_leaves].copy_from_slice(&old[old_leaves..]);
        for node in (1..self.leaves).rev() {
            self.nodes[node] = larger(self.nodes[2 * node], self.nodes[2 * node + 1]);
        }
    }
}

fn larger(left: Option<Resources>, right: Option<Resources>) -> Option<Resources> {
    match (left, right) {
        (Some(left), Some(right)) => Some(Resources {
            accelerators: left.accelerators.max(right.accelerators),
            connections: left.connections.max(right.connections),
            memory_bytes: left.memory_bytes.max(right.memory_bytes),
            processors_millis: left.processors_millis.max(right.processors_millis),
            slots: left.slots.max(right.slots),
        }),
        (left, right) => left.or(right),
    }
}
