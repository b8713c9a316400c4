//! Settings of the kernel, with their defaults.

use {crate::PlacementRule, fuchsiatack_derives::value};

/// Limits, times and placement rule of one kernel.
#[value]
pub struct KernelSettings {
    /// Maximum number of waiting tasks of one team and policy at this daemon. The team's own
    /// `max_waiting` applies if it is lower.
    pub max_waiting_per_team: u32,
    /// Age in microseconds after which the load hint of a peer is ignored.
    pub peer_load_max_age_us: u64,
    /// Rule by which workers are chosen for interactive and batch tasks.
    pub placement_rule: PlacementRule,
    /// Seed of the pseudo-random choices. With the same seed, equal events at equal times give
    /// equal decisions.
    pub seed: u64,
}

impl Default for KernelSettings {
    fn default() -> Self {
        Self {
            max_waiting_per_team: 1_000,
            peer_load_max_age_us: 5_000_000,
            placement_rule: PlacementRule::default(),
            seed: 1,
        }
    }
}
