//! Settings of the kernel.

use {crate::PlacementRule, fuchsiatack_derives::value};

/// Limits and times of the kernel.
#[value]
pub struct KernelSettings {
    /// Most tasks of one team that wait at this daemon.
    pub max_waiting_per_team: u32,
    /// Age after which a peer's load is ignored, in microseconds.
    pub peer_load_max_age_us: u64,
    /// Choice of workers for interactive and batch tasks.
    pub placement_rule: PlacementRule,
    /// Seed of the pseudo-random choices.
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
