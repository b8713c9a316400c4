//! Policy of interactive tasks: a worker of the fastest class with room, so the caller waits least.
//!
//! Callers alternate between the workers of a class. Always taking the first one left equal
//! workers idle while one ran all requests of a light load.

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
        let sample = view.workers.sample(view.demand, view.salt, 1, view.accept);
        sample.first().copied()
    }
}

inventory::submit! {
    Registration { placement: &Interactive, policy: Policy::Interactive }
}
