//! Requests that one entry daemon hands to another.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{Outcome, Refusal, RequestId, TaskClass, TeamName},
    smol_str::SmolStr,
};

/// A request forwarded to a peer, which must not forward it again.
#[message]
pub struct ForwardedRequest {
    /// Body for the worker.
    pub body: Vec<u8>,
    /// What it asks for.
    pub class: TaskClass,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Time left until its deadline in milliseconds, counted from receipt.
    pub deadline_ms: Option<u64>,
    /// Identifier that the caller chose.
    pub request: RequestId,
    /// Team whose key came with it.
    pub team: TeamName,
    /// W3C trace context of the sender's span.
    pub trace_parent: Option<SmolStr>,
}

/// Answer to a forwarded request.
#[message]
pub struct ForwardedResponse {
    /// Whole body of the answer.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// What became of the request.
    pub outcome: Outcome,
    /// Why it was not run.
    pub refusal: Option<Refusal>,
    /// HTTP status for the caller.
    pub status: u16,
}
