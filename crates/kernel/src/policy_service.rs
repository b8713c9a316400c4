//! Policy of service tasks: spread over data centres and racks.

use {
    crate::{
        policy::{PlacementPolicy, PlacementView, Registration},
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
};

/// Workers compared for each task. A sample keeps the cost independent of the fleet's size.
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
