//! Placement of interactive tasks: a worker of the fastest class with enough free resources, so that
//! the caller waits as short a time as possible.
//!
//! Tasks are distributed over the workers of the class. A fixed order would leave equal workers
//! idle while one of them runs all tasks of a light load.

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
