//! What a daemon does with frames that arrive.

use {
    crate::{Frame, Request, Response},
    fuchsiatack_consensus::Envelope,
    std::future::Future,
    tokio::sync::mpsc,
};

/// The connection that a call came on.
#[derive(Clone)]
pub struct PeerCaller {
    /// Sends frames back on the connection, such as `Frame::Push`. Fails once it is closed.
    pub frames: mpsc::Sender<Frame>,
}

/// Receiver of calls and messages from other daemons.
pub trait Handler: Send + Sync + 'static {
    /// Answers a call.
    fn call(&self, caller: PeerCaller, request: Request) -> impl Future<Output = Response> + Send;

    /// Takes a message of the replicated log. It must not block.
    fn handle_consensus(&self, envelope: Envelope);
}
