//! The store role, present or not.

use {
    crate::{DaemonError, Role, Settings, metrics::Metrics},
    fuchsiatack_consensus::Envelope,
    fuchsiatack_wire::{Caller, CellSecret, NotLeader, Request, Response},
    serde_json::Value,
};

/// Runtime of the store role.
#[derive(Clone)]
pub(crate) enum StoreRole {
    /// The daemon has no store role.
    Absent,
}

impl StoreRole {
    /// Starts the store role if the settings ask for it.
    pub(crate) async fn start(settings: &Settings, _secret: CellSecret) -> Result<Self, DaemonError> {
        match settings.has_role(Role::Store) {
            true => Err(DaemonError::Store("not part of this build".into())),
            false => Ok(Self::Absent),
        }
    }

    /// Answers a call for the store.
    pub(crate) async fn call(&self, _caller: Caller, _request: Request) -> Response {
        match self {
            Self::Absent => Response::NotLeader(NotLeader { leader: None }),
        }
    }

    /// Takes a message of the replicated log.
    pub(crate) fn consensus(&self, _envelope: Envelope) {
        match self {
            Self::Absent => {}
        }
    }

    /// Sets the metric of the store role.
    pub(crate) fn observe(&self, metrics: &Metrics) {
        match self {
            Self::Absent => drop(metrics.store_role.set(0)),
        }
    }

    /// What `/v1/status` shows of the store role.
    pub(crate) fn status(&self) -> Value {
        match self {
            Self::Absent => Value::Null,
        }
    }

    /// Stops the store role.
    pub(crate) async fn stop(self) {
        match self {
            Self::Absent => {}
        }
    }
}
