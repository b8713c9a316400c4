//! The store role of a daemon, which is optional.

use {
    crate::{DaemonError, Role, Settings, metrics::Metrics},
    fuchsiatack_consensus::{Envelope, Role as ConsensusRole},
    fuchsiatack_ledger::AllocatorSettings,
    fuchsiatack_store::{InitialMember, Store, StoreSettings, StoreStatus},
    fuchsiatack_wire::{CellSecret, NotLeader, PeerCaller, Request, Response},
    serde_json::{Value, json},
};

/// Values of the metric `store_role`.
const ABSENT: i64 = 0;
const FOLLOWER: i64 = 1;
const LEADER: i64 = 2;

/// Store role of this daemon.
#[derive(Clone)]
pub(crate) enum StoreRole {
    /// The daemon is not a store member.
    Absent,
    /// The daemon is a store member.
    Present(Store),
}

impl StoreRole {
    /// Starts the store if the settings list the store role.
    pub(crate) fn start(settings: &Settings, secret: CellSecret) -> Result<Self, DaemonError> {
        let Some(data_folder) = &settings.store.data_folder else {
            return Ok(Self::Absent);
        };
        if !settings.has_role(Role::Store) {
            return Ok(Self::Absent);
        }
        let members = settings
            .store
            .members
            .iter()
            .map(|member| InitialMember {
                address: member.address,
                name: member.name.as_str().into(),
            })
            .collect();
        let store = StoreSettings {
            allocator: Some(AllocatorSettings {
                lease_ms: settings.leases.session_ms,
                margin_ms: settings.leases.margin_ms,
                task_lease_ms: settings.leases.task_ms,
            }),
            election_maximum_ms: settings.election.maximum_ms,
            election_minimum_ms: settings.election.minimum_ms,
            heartbeat_ms: settings.election.heartbeat_ms,
            ..StoreSettings::new(settings.name.as_str(), data_folder, members, secret)
        };
        Store::start(store)
            .map(Self::Present)
            .map_err(|error| DaemonError::Store(error.to_string()))
    }

    /// Handles a call to the store. Without the store role, the response is `NotLeader`.
    pub(crate) async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        match self {
            Self::Absent => Response::NotLeader(NotLeader { leader: None }),
            Self::Present(store) => store.call(caller, request).await,
        }
    }

    /// Handles a consensus message. It is ignored without the store role.
    pub(crate) fn handle_consensus(&self, envelope: Envelope) {
        match self {
            Self::Absent => {}
            Self::Present(store) => store.handle_consensus(envelope),
        }
    }

    /// Sets the metric `store_role`.
    pub(crate) fn update_metrics(&self, metrics: &Metrics) {
        let role = match self {
            Self::Absent => ABSENT,
            Self::Present(store) if store.status().role == ConsensusRole::Leader => LEADER,
            Self::Present(_) => FOLLOWER,
        };
        metrics.store_role.set(role);
    }

    /// Status of the store for `/v1/status`; null without the store role.
    pub(crate) fn status(&self) -> Value {
        match self {
            Self::Absent => Value::Null,
            Self::Present(store) => to_json(&store.status()),
        }
    }

    /// Stops the store, if there is one.
    pub(crate) async fn stop(self) {
        match self {
            Self::Absent => {}
            Self::Present(store) => store.stop().await,
        }
    }
}

fn to_json(status: &StoreStatus) -> Value {
    json!({
        "applied": status.applied,
        "commit": status.commit,
        "disk_failure": status.disk_failure,
        "formed": status.formed,
        "identity": status.identity,
        "leader": status.leader,
        "members": status.members,
        "role": format!("{:?}", status.role).to_lowercase(),
        "term": status.term,
    })
}
