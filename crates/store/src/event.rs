//! Inputs and internal events of the runtime.

use {
    fuchsiatack_consensus::{Envelope, PersistMark, StoredState},
    fuchsiatack_jobs::JobEvent,
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{Formation, PeerCaller, Request, Response},
    std::net::SocketAddr,
    tokio::sync::oneshot,
};

/// Input from a `Store` handle, other than consensus messages.
pub(crate) enum Input {
    Call {
        caller: PeerCaller,
        responder: oneshot::Sender<Response>,
        request: Request,
    },
    Jobs(JobEvent),
    Stop,
}

/// Result of work that runs outside the runtime's task.
pub(crate) enum Event {
    /// A write or sync failed. The writer discards all requests until `WriteRequest::Resume`.
    DiskFailed(String),
    /// The folder was opened again after a failure and has this state.
    DiskReopened(Box<StoredState>),
    /// Responses of the listed members; `None` for members that cannot be reached.
    Formation(Vec<(SocketAddr, Option<Formation>)>),
    Formed(Box<StoredState>),
    Persisted {
        mark: PersistMark,
        messages: Vec<Envelope>,
    },
    /// The folder could not be opened again after a failure; the writer retries.
    ReopenFailed(String),
    /// Empty `data` means that the ledger could not be encoded.
    SnapshotEncoded {
        data: Vec<u8>,
        index: LogIndex,
    },
}
