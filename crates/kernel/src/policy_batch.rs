//! Policy of batch tasks: the slowest worker with room, filled one after the other, so that
//! fast workers stay free for callers and whole workers stay free for gangs.

use {
    crate::{
        policy::{PlacementPolicy, PlacementView, Registration},
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
};

struct Batch;

impl PlacementPolicy for Batch {
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey> {
        view.workers.slowest(view.demand, view.accept)
    }
}

inventory::submit! {
    Registration { placement: &Batch, policy: Policy::Batch }
}
