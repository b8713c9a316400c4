//! Connections to other entry daemons.

use {
    fuchsiatack_model::DaemonName,
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

/// Longest wait for the answer to a forwarded request. The peer's own limits end it much earlier;
/// a lost connection is noticed by probes.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// One connection for each peer that requests were forwarded to.
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

    /// Peer address of a daemon, by its newest session.
    pub(crate) fn address_of(directory: &Directory, daemon: &DaemonName) -> Option<SocketAddr> {
        directory
            .daemons()
            .values()
            .rev()
            .find(|info| info.name == *daemon)
            .map(|info| info.peer_address)
    }

    /// Runs a request on a peer.
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

    /// Closes connections to daemons that are gone.
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
            .or_insert_with(|| {
                let settings = PeerClientSettings::default();
                Arc::new(PeerClient::new(address, self.secret.clone(), settings, None))
            })
            .clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<PeerClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
