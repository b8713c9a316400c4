//! The leader's view of a run.

use {
    crate::{Progress, RunId},
    fuchsiatack_model::{Resources, TeamName, WorkerName},
    smol_str::SmolStr,
};

/// State of a run as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RunState {
    /// The worker confirmed the run at this reading of the worker's clock.
    Confirmed { clock_ms: u64 },
    /// The start order is in flight.
    Ordered,
    /// A stop order was sent. `retry_ms` is when it is sent again. `confirmed_ms` is when the
    /// worker confirmed the stop, by the planner's clock; from then on the run can no longer start.
    /// `is_start_unconfirmed` is set if the worker had not confirmed the run before, so that its
    /// end may never be reported.
    Stopping {
        is_start_unconfirmed: bool,
        retry_ms: u64,
        confirmed_ms: Option<u64>,
    },
    /// The start order had no response by this time of the planner's clock.
    Unanswered { since_ms: u64 },
    /// An earlier leader ordered the run, or its worker restarted, at this time of the planner's
    /// clock. A report that was requested earlier is no evidence of it.
    Unverified { since_ms: u64 },
}

impl RunState {
    /// Returns whether its worker has confirmed a stop, so that the run is not at work any more.
    pub(crate) fn is_stop_confirmed(self) -> bool {
        matches!(
            self,
            Self::Stopping {
                confirmed_ms: Some(_),
                ..
            }
        )
    }

    /// Returns whether the start order of the run may not have been carried out yet.
    pub(crate) fn is_start_pending(self) -> bool {
        match self {
            Self::Confirmed { .. } => false,
            Self::Stopping {
                is_start_unconfirmed, ..
            } => is_start_unconfirmed,
            Self::Ordered | Self::Unanswered { .. } | Self::Unverified { .. } => true,
        }
    }
}

/// What is known of the start order of a run. It outlasts a restart of the worker, which resets the state of
/// the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StartOrder {
    /// The worker has confirmed or listed the run, so that no incarnation can carry the order out again.
    Executed,
    /// The order has had no response so far.
    InFlight,
    /// The order carried a ticket, which the next incarnation of the worker rejects.
    Ticketed,
    /// The order had no response, or an earlier leader sent it. It can certainly no longer be carried out from
    /// `expires_ms` of the planner's clock.
    Unanswered { expires_ms: u64 },
}

/// A present run and what it uses.
#[derive(Clone, Debug)]
pub(crate) struct RunView {
    /// Latest checkpoint; empty if there is none.
    pub(crate) checkpoint: SmolStr,
    /// Resources that it reserves on its worker.
    pub(crate) reserved: Resources,
    /// Resources that count towards its team's limit.
    pub(crate) demand: Resources,
    /// Whether it is expected to end within seconds.
    pub(crate) is_brief: bool,
    /// Whether an earlier leader started it, so that `started_ms` is when this leader took over.
    pub(crate) is_inherited: bool,
    /// Whether the loss of its worker is recorded for its task.
    pub(crate) is_loss_recorded: bool,
    /// Whether its queue had the first priority when it was added.
    pub(crate) is_urgent: bool,
    pub(crate) progress: Progress,
    pub(crate) run: RunId,
    /// Service of its queue; empty if the queue was not configured when it was added.
    pub(crate) service: SmolStr,
    pub(crate) start_order: StartOrder,
    pub(crate) started_ms: u64,
    pub(crate) state: RunState,
    /// Team of its job; the empty name if it has none.
    pub(crate) team: TeamName,
    pub(crate) worker: WorkerName,
}
