//! Interface of the policy plug-ins.

use {
    crate::{spread::Spread, team::TeamKey, worker::WorkerKey, workers::Workers},
    fuchsiatack_model::{Policy, Resources},
};

/// What a policy may look at when it chooses a worker for one task.
pub(crate) struct PlacementView<'a> {
    /// Rejects workers whose room is kept for other work.
    pub(crate) accept: &'a dyn Fn(WorkerKey) -> bool,
    pub(crate) demand: &'a Resources,
    /// Varies between calls, for choices among equals.
    pub(crate) salt: u32,
    pub(crate) spread: &'a Spread,
    pub(crate) team: TeamKey,
    pub(crate) workers: &'a Workers,
}

/// Order of workers for one kind of work.
pub(crate) trait PlacementPolicy: Sync {
    /// Chooses a worker with room for the task, or declines.
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey>;
}

/// Entry of the plug-in registry.
pub(crate) struct Registration {
    pub(crate) placement: &'static dyn PlacementPolicy,
    pub(crate) policy: Policy,
}

inventory::collect!(Registration);

/// Returns the plug-in that is registered for a policy.
pub(crate) fn registered(policy: Policy) -> &'static dyn PlacementPolicy {
    inventory::iter::<Registration>()
        .find(|entry| entry.policy == policy)
        .map(|entry| entry.placement)
        .expect("each policy has a module in this package that registers it")
}
