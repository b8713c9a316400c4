//! Unit of the peer connection.

use {
    crate::{Request, Response},
    fuchsiatack_consensus::Envelope,
    fuchsiatack_derives::message,
    fuchsiatack_ledger::Change,
    fuchsiatack_model::LogIndex,
};

/// One frame of a peer connection.
#[message]
pub enum Frame {
    /// A call.
    Call {
        /// Number of the call on this connection.
        call: u64,
        /// The call.
        request: Request,
    },
    /// The sender no longer waits for a call. The receiver stops to work on it.
    Cancel {
        /// Number of the call.
        call: u64,
    },
    /// A message of the replicated log; it has no answer.
    Consensus(Box<Envelope>),
    /// Changes for a follower.
    Push {
        /// The changes, in order. They are the whole directory if `reset` is set.
        changes: Vec<Change>,
        /// Index up to which the changes reach.
        index: LogIndex,
        /// Whether the follower must forget what it has.
        reset: bool,
    },
    /// Answer to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The answer.
        response: Response,
    },
}
