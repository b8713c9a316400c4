//! Share of a team, for logs and metrics.

use {fuchsiatack_derives::value, fuchsiatack_model::TeamName, smol_str::SmolStr};

/// What a team uses of a service.
#[value]
pub struct TeamShare {
    /// Whether it uses more than its share while steps wait for capacity.
    pub is_over: bool,
    /// Name of the service.
    pub service: SmolStr,
    /// Dominant share of its runs, in thousandths of the service.
    pub share_thousandths: u64,
    /// Name of the team; empty for the jobs without one.
    pub team: TeamName,
    /// Weight of the team.
    pub weight: u32,
}
