//! Frames, the messages of a peer connection.

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
    /// A request that expects a `Reply`.
    Call {
        /// Id of the call, unique on this connection.
        call_id: u64,
        /// Payload of the call.
        request: Request,
    },
    /// Cancels a call. The receiver stops processing it and sends no `Reply`.
    Cancel {
        /// Id of the cancelled call.
        call_id: u64,
    },
    /// A message of the consensus protocol; it has no reply.
    Consensus(Box<Envelope>),
    /// Changes for a follower.
    Push {
        /// Changes in log order. They are the full directory if `reset` is set.
        changes: Vec<Change>,
        /// Log index of the state after these changes.
        index: LogIndex,
        /// Whether the changes replace the follower's state.
        reset: bool,
    },
    /// Response to a call.
    Reply {
        /// Id of the call.
        call_id: u64,
        /// Payload of the reply.
        response: Response,
    },
}
