//! Interface and registry of the placement policies.

use {
    crate::{spread::Spread, team::TeamKey, worker::WorkerKey, workers::Workers},
    fuchsiatack_model::{Policy, Resources},
};

/// Input of a policy for the choice of a worker for one task.
pub(crate) struct PlacementView<'a> {
    /// Rejects workers whose free resources are reserved for other work.
    pub(crate) accept: &'a dyn Fn(WorkerKey) -> bool,
    pub(crate) demand: &'a Resources,
    /// Pseudo-random number, for the choice among equal workers.
    pub(crate) salt: u32,
    pub(crate) spread: &'a Spread,
    pub(crate) team: TeamKey,
    pub(crate) workers: &'a Workers,
}

/// Choice of workers for the tasks of one policy.
pub(crate) trait PlacementPolicy: Sync {
    /// Returns an accepted worker whose offer covers the demand, or `None` if there is none.
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey>;
}

/// Entry of the registry of policies. Each `policy_*` module submits one.
pub(crate) struct Registration {
    pub(crate) placement: &'static dyn PlacementPolicy,
    pub(crate) policy: Policy,
}

inventory::collect!(Registration);

/// Returns the placement that is registered for a policy.
pub(crate) fn registered(policy: Policy) -> &'static dyn PlacementPolicy {
    inventory::iter::<Registration>()
        .find(|entry| entry.policy == policy)
        .map(|entry| entry.placement)
        .expect("each policy has a module in this package that registers it")
}
