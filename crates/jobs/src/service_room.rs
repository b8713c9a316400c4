//! Room on the workers of a service, for logs and metrics.

use {fuchsiatack_derives::value, fuchsiatack_model::Resources, smol_str::SmolStr};

/// Free and reserved room on the workers of one service that accept runs.
#[value]
pub struct ServiceRoom {
    /// Sum of the capacities.
    pub capacity: Resources,
    /// Sum of what no run uses, reserved or not.
    pub free: Resources,
    /// Largest free amount of each resource on one worker.
    pub largest_free: Resources,
    /// Number of workers on which room is reserved for a waiting step.
    pub reserved_workers: usize,
    /// Name of the service.
    pub service: SmolStr,
    /// Number of workers that accept runs.
    pub workers: usize,
}

impl ServiceRoom {
    /// Creates the report of a service without workers.
    pub fn new(service: SmolStr) -> Self {
        Self {
            capacity: Resources::NONE,
            free: Resources::NONE,
            largest_free: Resources::NONE,
            reserved_workers: 0,
            service,
            workers: 0,
        }
    }

    /// Adds a worker.
    pub fn add(&mut self, capacity: &Resources, used: &Resources, is_reserved: bool) {
        let free = capacity.saturating_sub(used);
        let largest = self.largest_free;
        self.capacity = self.capacity.saturating_add(capacity);
        self.free = self.free.saturating_add(&free);
        self.largest_free = Resources {
            accelerators: largest.accelerators.max(free.accelerators),
            memory_bytes: largest.memory_bytes.max(free.memory_bytes),
            processors_millis: largest.processors_millis.max(free.processors_millis),
            ..Resources::NONE
        };
        self.reserved_workers += usize::from(is_reserved);
        self.workers += 1;
    }
}
