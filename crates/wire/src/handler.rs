//! Interface through which a daemon handles calls and consensus messages of its peers.

use {
    crate::{Frame, Request, Response},
    fuchsiatack_consensus::Envelope,
    std::future::Future,
    tokio::sync::mpsc,
};

/// Connection on which a call arrived.
#[derive(Clone)]
pub struct PeerCaller {
    /// Sends frames to the calling daemon, such as `Frame::Push`. Fails once the connection is
    /// closed.
    pub frames: mpsc::Sender<Frame>,
}

/// Handler of calls and consensus messages from other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Handles a call and returns its response. The future is dropped if the call is cancelled or
    /// the connection is lost.
    fn call(&self, caller: PeerCaller, request: Request) -> impl Future<Output = Response> + Send;

    /// Handles a message of the consensus protocol. It must not block, since the connection reads
    /// no further frames meanwhile.
    fn handle_consensus(&self, envelope: Envelope);
}
