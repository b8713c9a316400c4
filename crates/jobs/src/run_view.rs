//! A run as the leader sees it.

use {
    crate::{Progress, RunId},
    fuchsiatack_model::{Resources, TeamName, WorkerName},
    smol_str::SmolStr,
};

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RunState {
    /// The worker confirmed it when its clock showed this.
    Confirmed { clock_ms: u64 },
    /// Its order is on its way.
    Ordered,
    /// A stop was ordered. `confirmed_ms` is when the worker confirmed the stop, by the planner's
    /// clock; from then on the run cannot start any more. `is_start_unconfirmed` tells that no list has shown
    /// the run, so that no end may ever be listed.
    Stopping {
        is_start_unconfirmed: bool,
        retry_ms: u64,
        confirmed_ms: Option<u64>,
    },
    /// Its order was not answered at this time by the planner's clock.
    Unanswered { since_ms: u64 },
    /// An earlier leader ordered it, or its worker started again, at this time by the planner's
    /// clock. A list that was asked for earlier tells nothing of it.
    Unverified { since_ms: u64 },
}

/// A present run.
#[derive(Clone, Debug)]
pub(crate) struct RunView {
    /// Latest checkpoint, or empty.
    pub(crate) checkpoint: SmolStr,
    /// What it takes from its worker.
    pub(crate) reserved: Resources,
    /// What it counts against its team's limit.
    pub(crate) demand: Resources,
    /// Whether it is expected to be over within seconds.
    pub(crate) is_brief: bool,
    pub(crate) progress: Progress,
    pub(crate) run: RunId,
    pub(crate) started_ms: u64,
    pub(crate) state: RunState,
    pub(crate) team: Option<TeamName>,
    pub(crate) worker: WorkerName,
}
