//! Requests that one entry daemon forwards to another, which runs them on its own workers.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{Outcome, Refusal, RequestId, TaskClass, TeamName},
    smol_str::SmolStr,
};

/// A request forwarded to a peer. The receiver must not forward it again.
#[message]
pub struct ForwardedRequest {
    /// Request body that the worker receives.
    pub body: Vec<u8>,
    /// Resource demand, policy and idempotency of the task.
    pub class: TaskClass,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Time until the deadline in milliseconds, counted from receipt; `None` without a deadline.
    pub deadline_ms: Option<u64>,
    /// Request id chosen by the caller.
    pub request: RequestId,
    /// Team of the key that the caller presented.
    pub team: TeamName,
    /// W3C `traceparent` of the sender's span.
    pub trace_parent: Option<SmolStr>,
}

/// Response to a forwarded request.
#[message]
pub struct ForwardedResponse {
    /// Complete response body.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: Option<SmolStr>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Why the request was not run; `None` if it was.
    pub refusal: Option<Refusal>,
    /// HTTP status that the caller receives.
    pub status: u16,
}
