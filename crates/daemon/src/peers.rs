//! Connections to other entry daemons, for forwarded requests.

use {
    fuchsiatack_model::{DaemonName, Epoch, SessionId, WorkerName},
    fuchsiatack_session::Directory,
    fuchsiatack_wire::{
        CellSecret, ForwardedRequest, ForwardedResponse, PeerClient, PeerClientSettings, Request, Response,
        WireError,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Limit for the response to a forwarded request. The peer's own limits end the request much
/// earlier, and probes detect a lost connection.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Connections to the peers that requests were forwarded to, one for each address.
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    secret: CellSecret,
}

impl Peers {
    pub(crate) fn new(secret: CellSecret) -> Self {
        Self {
            clients: Mutex::default(),
            secret,
        }
    }

    /// Returns the peer address of a daemon in its newest session.
    pub(crate) fn address_of(directory: &Directory, daemon: &DaemonName) -> Option<SocketAddr> {
        directory
            .daemons()
            .values()
            .rev()
            .find(|info| info.name == *daemon)
            .map(|info| info.peer_address)
    }

    /// Forwards a request to a peer and waits for its response.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardedRequest,
    ) -> Result<Box<ForwardedResponse>, WireError> {
        let client = self.client(address);
        match client
            .call(Request::Forward(Box::new(request)), FORWARD_TIMEOUT)
            .await?
        {
            Response::Forwarded(response) => Ok(response),
            Response::NotLeader(_) => Err(WireError::NotSent(address)),
            _ => Err(WireError::ConnectionLost),
        }
    }

    /// Asks a peer which of its workers run no task of these sessions. The connection is one of its own, since a
    /// peer of an earlier build closes the connection on which it receives this call.
    pub(crate) async fn workers_free_of(
        &self,
        address: SocketAddr,
        sessions: Vec<SessionId>,
        limit: Duration,
    ) -> Result<Vec<(WorkerName, Epoch)>, WireError> {
        let request = Request::WorkersFreeOf { sessions };
        match self.new_client(address).call(request, limit).await? {
            Response::WorkersFreeOf(workers) => Ok(workers),
            _ => Err(WireError::ConnectionLost),
        }
    }

    /// Closes the connections to daemons that are not in the directory.
    pub(crate) fn retain(&self, directory: &Directory) {
        let present: Vec<_> = directory
            .daemons()
            .values()
            .map(|info| info.peer_address)
            .collect();
        self.lock().retain(|address, _| present.contains(address));
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        self.lock()
            .entry(address)
            .or_insert_with(|| Arc::new(self.new_client(address)))
            .clone()
    }

    fn new_client(&self, address: SocketAddr) -> PeerClient {
        let settings = PeerClientSettings::default();
        PeerClient::new(address, self.secret.clone(), settings, None)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<PeerClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
