//! Placement of service tasks: each team's tasks spread over data centres, then over racks.

use {
    crate::{
        policy::{PlacementPolicy, PlacementView, Registration},
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
};

/// Maximum number of workers that are compared for a task. A sample keeps the cost independent of
/// the number of workers.
const CANDIDATES: usize = 8;

struct Service;

impl PlacementPolicy for Service {
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey> {
        view.workers
            .sample(view.demand, view.salt, CANDIDATES, view.accept)
            .into_iter()
            .min_by_key(|worker| {
                let worker = &view.workers[*worker];
                view.spread.running(view.team, worker.data_center, worker.rack)
            })
    }
}

inventory::submit! {
    Registration { placement: &Service, policy: Policy::Service }
}
