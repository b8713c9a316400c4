//! Calls of this process to the cell.

use {
    fuchsiatack_jobs::{CellCall, CellResponse},
    fuchsiatack_session::{CallLimits, CellClient, SessionError},
    fuchsiatack_store::Store,
    fuchsiatack_wire::{PeerCaller, Request, Response},
    tokio::{sync::mpsc, time::timeout},
};

/// Way to the leader: through the store of this process if it leads, else over the network.
#[derive(Clone)]
pub(crate) struct CellPort {
    pub(crate) client: CellClient,
    pub(crate) store: Option<Store>,
}

impl CellPort {
    /// Calls the leader. An error of `SessionError::NoLeader` had no effect.
    pub(crate) async fn call(
        &self,
        call: CellCall,
        limits: CallLimits,
    ) -> Result<CellResponse, SessionError> {
        if let Some(store) = &self.store {
            let request = Request::Cell(Box::new(call.clone()));
            // No pushes are asked for, so nothing is ever sent to this queue.
            let (pushes, _) = mpsc::channel(1);
            match timeout(
                limits.in_doubt,
                store.call(PeerCaller { frames: pushes }, request),
            )
            .await
            {
                Ok(Response::Cell(answer)) => return Ok(*answer),
                Ok(Response::NotLeader(_)) => {}
                Ok(_) | Err(_) => return Err(SessionError::NoResponse),
            }
        }
        self.client.call_cell(call, limits).await
    }
}
