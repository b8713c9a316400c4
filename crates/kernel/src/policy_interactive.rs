//! Policy of interactive tasks: the fastest worker with room, so the caller waits least.

use {
    crate::{
        policy::{PlacementPolicy, PlacementView, Registration},
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
};

struct Interactive;

impl PlacementPolicy for Interactive {
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey> {
        view.workers.fastest(view.demand, view.accept)
    }
}

inventory::submit! {
    Registration { placement: &Interactive, policy: Policy::Interactive }
}
