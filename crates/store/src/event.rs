//! Inputs of the runtime.

use {
    fuchsiatack_consensus::{Envelope, PersistMark, StoredState},
    fuchsiatack_jobs::JobEvent,
    fuchsiatack_model::LogIndex,
    fuchsiatack_wire::{Formation, PeerCaller, Request, Response},
    std::net::SocketAddr,
    tokio::sync::oneshot,
};

/// Input from outside of the store.
pub(crate) enum Input {
    Call {
        caller: PeerCaller,
        reply: oneshot::Sender<Response>,
        request: Request,
    },
    Consensus(Envelope),
    Jobs(JobEvent),
    Stop,
}

/// Result of work that runs beside the runtime.
pub(crate) enum Event {
    DiskFailed(String),
    /// Answers of the listed members, `None` for those that cannot be reached.
    Formation(Vec<(SocketAddr, Option<Formation>)>),
    Formed(Box<StoredState>),
    Persisted {
        mark: PersistMark,
        messages: Vec<Envelope>,
    },
    SnapshotEncoded {
        data: Vec<u8>,
        index: LogIndex,
    },
}
