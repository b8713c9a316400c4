//! Amounts of what workers hold and tasks need.

use fuchsiatack_derives::key;

/// Amounts of each resource, of a worker or of a task.
#[key]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Accelerators.
    pub accelerators: u32,
    /// Open connections.
    pub connections: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Processor time in thousandths of a core.
    pub processors_millis: u32,
    /// Task slots.
    pub slots: u32,
}

impl Resources {
    /// Nothing of any resource.
    pub const NONE: Self = Self {
        accelerators: 0,
        connections: 0,
        memory_bytes: 0,
        processors_millis: 0,
        slots: 0,
    };

    /// Returns whether `self` is at least `needed` in every resource.
    pub fn covers(&self, needed: &Self) -> bool {
        self.accelerators >= needed.accelerators
            && self.connections >= needed.connections
            && self.memory_bytes >= needed.memory_bytes
            && self.processors_millis >= needed.processors_millis
            && self.slots >= needed.slots
    }

    /// Adds each resource, without overflow.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            connections: self.connections.saturating_add(other.connections),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            processors_millis: self.processors_millis.saturating_add(other.processors_millis),
            slots: self.slots.saturating_add(other.slots),
        }
    }

    /// Subtracts each resource, down to zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            connections: self.connections.saturating_sub(other.connections),
            memory_bytes: self.memory_bytes.saturating_sub(other.memory_bytes),
            processors_millis: self.processors_millis.saturating_sub(other.processors_millis),
            slots: self.slots.saturating_sub(other.slots),
        }
    }
}

impl Default for Resources {
    /// One slot with one connection, the size of a small request.
    fn default() -> Self {
        Self {
            connections: 1,
            slots: 1,
            ..Self::NONE
        }
    }
}
