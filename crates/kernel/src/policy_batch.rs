//! Placement of batch tasks: the slowest worker with enough free resources. Workers are filled one
//! after the other, so that fast workers stay free for interactive tasks and whole workers for gangs.

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
