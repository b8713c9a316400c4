//! Decides how the use of the teams of a service compares with their shares.
//!
//! Handles a team that sends several times its usual load to a full service: what it sends beyond its share
//! waits behind the work of others. The use of a team is its dominant share: the largest of its shares of
//! the processors, the memory and the accelerators of the service. What some teams do not ask for is lent
//! to the others, by weight.

use fuchsiatack_model::Resources;

/// Factor by which a use or a demand must pass a share to count as more than it. A team falls back once it is
/// within its share, so that single starts and ends do not change the order of the steps.
const TOLERANCE: f64 = 1.1;

/// How a team compares with its share. The steps of a priority are tried in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It asks for no more than its share.
    #[default]
    Modest,
    /// It asks for more than its share and does not use more.
    Entitled,
    /// It uses more than its share.
    Over,
}

/// What a team uses of a service and asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Dominant share of its runs and its waiting tasks.
    pub asked: f64,
    /// Result of the last decision.
    pub standing: Standing,
    /// Dominant share of its runs.
    pub used: f64,
    /// Weight of the team; 0 counts as 1.
    pub weight: u32,
}

/// Returns the largest of the shares that `amount` is of the resources in `capacity`.
pub fn dominant_share(amount: &Resources, capacity: &Resources) -> f64 {
    let share = |amount: f64, capacity: f64| if capacity > 0.0 { amount / capacity } else { 0.0 };
    share(amount.accelerators.into(), capacity.accelerators.into())
        .max(share(amount.memory_bytes as f64, capacity.memory_bytes as f64))
        .max(share(
            amount.processors_millis.into(),
            capacity.processors_millis.into(),
        ))
}

/// Returns the share to which each team is entitled: what all teams use now, divided by weight. A team gets
/// no more than it asks for, and the rest is divided among the others.
pub fn entitlements(claims: &[Claim]) -> Vec<f64> {
    let weight = |claim: &Claim| f64::from(claim.weight.max(1));
    let mut order: Vec<_> = claims.iter().enumerate().collect();
    order.sort_by(|(_, a), (_, b)| (a.asked / weight(a)).total_cmp(&(b.asked / weight(b))));
    let mut left: f64 = claims.iter().map(|claim| claim.used).sum();
    let mut left_weight: f64 = claims.iter().map(weight).sum();
    let mut entitled = vec![0.0; claims.len()];
    for (position, claim) in order {
        entitled[position] = claim.asked.min(left * weight(claim) / left_weight);
        left = (left - entitled[position]).max(0.0);
        left_weight -= weight(claim);
    }
    entitled
}

/// Returns how a team compares with the share to which it is entitled.
pub fn standing(claim: &Claim, entitled: f64) -> Standing {
    let tolerance = |is_kept: bool| if is_kept { TOLERANCE } else { 1.0 };
    let was_modest = claim.standing == Standing::Modest;
    let was_over = claim.standing == Standing::Over;
    if claim.asked <= entitled * tolerance(was_modest) {
        Standing::Modest
    } else if claim.used <= entitled * tolerance(!was_over) {
        Standing::Entitled
    } else {
        Standing::Over
    }
}
