//! Resource amounts of workers and tasks.

use fuchsiatack_derives::key;

/// Amount of each resource that a worker has or a task needs. A field that is missing from the
/// input has its value in `Resources::default()`.
#[key]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Number of accelerators, such as GPUs.
    pub accelerators: u32,
    /// Number of connections that are open at the same time.
    pub connections: u32,
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Processor time in thousandths of a core.
    pub processors_millis: u32,
    /// Number of task slots.
    pub slots: u32,
}

impl Resources {
    /// Zero of every resource.
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

    /// Returns whether `self` is at least the sum of `used` and `needed` in every resource. Sums beyond the
    /// range of a type never fit.
    pub fn has_free(&self, used: &Self, needed: &Self) -> bool {
        self.covers(used) && self.saturating_sub(used).covers(needed)
    }

    /// Adds each resource and saturates at the largest value of its type.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            connections: self.connections.saturating_add(other.connections),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
            processors_millis: self.processors_millis.saturating_add(other.processors_millis),
            slots: self.slots.saturating_add(other.slots),
        }
    }

    /// Subtracts each resource and saturates at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
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
    /// Returns one slot and one connection, the demand of a small request.
    fn default() -> Self {
        Self {
            connections: 1,
            slots: 1,
            ..Self::NONE
        }
    }
}
