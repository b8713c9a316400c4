//! Placement of gangs: the first worker with enough free resources in a fixed order, fastest class
//! first, so that the members of a gang share few workers of similar speed.

use {
    crate::{
        policy::{PlacementPolicy, PlacementView, Registration},
        worker::WorkerKey,
    },
    fuchsiatack_model::Policy,
};

struct Gang;

impl PlacementPolicy for Gang {
    fn choose(&self, view: &PlacementView<'_>) -> Option<WorkerKey> {
        view.workers.fastest(view.demand, view.accept)
    }
}

inventory::submit! {
    Registration { placement: &Gang, policy: Policy::Gang }
}
