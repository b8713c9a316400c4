//! Calls from this process to the leader of the cell.

use {
    fuchsiatack_jobs::{CellCall, CellResponse},
    fuchsiatack_session::{CallLimits, CellClient, SessionError},
    fuchsiatack_store::Store,
    fuchsiatack_wire::{NotLeader, PeerCaller, Request, Response},
    tokio::{sync::mpsc, time::timeout},
};

/// Client that calls the leader: through the local store if this daemon leads, else over the network.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    pub(crate) client: CellClient,
    /// Local store; `None` in the entry role.
    pub(crate) store: Option<Store>,
}

impl LeaderClient {
    /// Sends a call to the leader. A call that fails with `SessionError::NoLeader` had no effect.
    pub(crate) async fn call(
        &self,
        call: CellCall,
        limits: CallLimits,
    ) -> Result<CellResponse, SessionError> {
        if let Some(store) = &self.store {
            let request = Request::Cell(Box::new(call.clone()));
            // Cell calls subscribe to nothing, so no frames are sent to this channel.
            let (frames, _) = mpsc::channel(1);
            match timeout(limits.in_doubt, store.call(PeerCaller { frames }, request)).await {
                Ok(Response::Cell(response)) => return Ok(*response),
                Ok(Response::NotLeader(NotLeader { leader: Some(leader) })) => self.client.set_leader(leader),
                Ok(Response::NotLeader(NotLeader { leader: None })) => {}
                Ok(_) | Err(_) => return Err(SessionError::NoResponse),
            }
        }
        self.client.call_cell(call, limits).await
    }
}
