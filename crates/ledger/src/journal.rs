//! Entries of the journal, which prevents a non-idempotent request from running twice.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{Outcome, RequestId, SessionId, TeamName},
    smol_str::SmolStr,
};

/// Key of a journalled request.
#[derive(Eq, Hash, PartialOrd, Ord)]
#[message]
pub struct JournalKey {
    /// Request id chosen by the caller, unique within its team.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
}

/// Outcome and HTTP response, stored for resends of a request.
#[message]
pub struct StoredResponse {
    /// Response body; empty if `truncated` is set.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status of the worker's response.
    pub status: u16,
    /// Whether the body was dropped because of the size limits of the journal.
    pub truncated: bool,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// State of a journalled request.
#[message]
pub enum JournalEntry {
    /// The request has ended.
    Finished {
        /// Outcome and response.
        response: StoredResponse,
        /// Hash of the request body.
        body_hash: u64,
    },
    /// The request has started and may be running.
    Started {
        /// Hash of the request body.
        body_hash: u64,
        /// Session that runs the request.
        session: SessionId,
        /// Start time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
}
