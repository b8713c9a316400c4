//! Journal of non-idempotent requests.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{Outcome, RequestId, SessionId, TeamName},
    smol_str::SmolStr,
};

/// Identity of a journalled request.
#[derive(Eq, Hash, PartialOrd, Ord)]
#[message]
pub struct JournalKey {
    /// Identifier that the caller chose.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
}

/// Outcome and answer kept for resends.
#[message]
pub struct StoredResponse {
    /// Answer body; empty if it was larger than the limit, then `truncated` is set.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// What became of the request.
    pub outcome: Outcome,
    /// HTTP status of the worker's answer.
    pub status: u16,
    /// Whether the body was too large to keep.
    pub truncated: bool,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// State of a journalled request.
#[message]
pub enum JournalEntry {
    /// It ended.
    Finished {
        /// Outcome and answer.
        response: StoredResponse,
        /// Hash of its body.
        body_hash: u64,
    },
    /// It may be running.
    Started {
        /// Hash of its body.
        body_hash: u64,
        /// Session that runs it.
        session: SessionId,
        /// When it started, in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
}
