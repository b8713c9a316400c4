//! What a caller gets.

use {
    crate::worker_adapter::WorkerResponse,
    bytes::Bytes,
    fuchsiatack_ledger::StoredResponse,
    fuchsiatack_model::{Outcome, Refusal},
    fuchsiatack_wire::ForwardedResponse,
    smol_str::SmolStr,
};

/// Longest answer body that the journal keeps, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;
const STATUS_DONE: u16 = 200;
const STATUS_FAILED: u16 = 502;
const STATUS_GONE: u16 = 410;
const STATUS_NOT_RUN: u16 = 503;
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNKNOWN: u16 = 504;

/// Answer to one request.
#[derive(Clone, Debug)]
pub(crate) struct RunResponse {
    /// Whole body of the worker's answer; empty if there is none.
    pub(crate) body: Bytes,
    /// Content type of the body.
    pub(crate) content_type: Option<SmolStr>,
    /// Text that explains an answer without body.
    pub(crate) message: SmolStr,
    /// What became of the request.
    pub(crate) outcome: Outcome,
    /// Why it was not run.
    pub(crate) refusal: Option<Refusal>,
    /// When a retry may succeed, in milliseconds; 0 if it cannot.
    pub(crate) retry_after_ms: u32,
    /// HTTP status for the caller.
    pub(crate) status: u16,
}

impl RunResponse {
    /// Answer for a request whose fate is not known.
    pub(crate) fn unknown(message: &str) -> Self {
        Self {
            body: Bytes::new(),
            content_type: None,
            message: message.into(),
            outcome: Outcome::Unknown,
            refusal: None,
            retry_after_ms: 0,
            status: STATUS_UNKNOWN,
        }
    }

    /// Answer for a request that was not run.
    pub(crate) fn not_run(refusal: Refusal, retry_after_ms: u32) -> Self {
        let status = match refusal {
            Refusal::DifferentBody => STATUS_CONFLICT,
            Refusal::QueueFull => STATUS_TOO_MANY,
            _ => STATUS_NOT_RUN,
        };
        Self {
            message: refusal.to_string().into(),
            outcome: Outcome::NotRun,
            refusal: Some(refusal),
            retry_after_ms,
            status,
            ..Self::unknown("")
        }
    }

    /// Returns whether the worker's answer is relayed rather than a message of the daemon.
    pub(crate) fn is_relayed(&self) -> bool {
        matches!(self.outcome, Outcome::Done | Outcome::Failed) && self.status != STATUS_GONE
    }

    /// Form that the journal keeps.
    pub(crate) fn to_stored(&self, unix_ms: u64) -> StoredResponse {
        let truncated = self.body.len() > MAX_STORED_BYTES;
        StoredResponse {
            body: match truncated {
                true => Vec::new(),
                false => self.body.to_vec(),
            },
            content_type: self.content_type.clone(),
            outcome: self.outcome,
            status: self.status,
            truncated,
            unix_ms,
        }
    }
}

impl From<WorkerResponse> for RunResponse {
    fn from(response: WorkerResponse) -> Self {
        let (outcome, status) = match response.is_success() {
            true => (Outcome::Done, STATUS_DONE),
            false => (Outcome::Failed, STATUS_FAILED),
        };
        Self {
            body: response.body,
            content_type: response.content_type,
            outcome,
            status,
            ..Self::unknown("")
        }
    }
}

impl From<StoredResponse> for RunResponse {
    fn from(stored: StoredResponse) -> Self {
        let (message, status) = match (stored.truncated, stored.outcome) {
            (true, _) => (
                "the request has ended, but its answer is no longer kept",
                STATUS_GONE,
            ),
            (false, Outcome::Unknown) => ("the answer of the request was lost", STATUS_UNKNOWN),
            (false, _) => ("", stored.status),
        };
        Self {
            body: stored.body.into(),
            content_type: stored.content_type,
            outcome: stored.outcome,
            status,
            ..Self::unknown(message)
        }
    }
}

impl From<ForwardedResponse> for RunResponse {
    fn from(response: ForwardedResponse) -> Self {
        match (response.outcome, response.refusal) {
            (Outcome::NotRun, refusal) => Self::not_run(refusal.unwrap_or(Refusal::WorkerRefused), 0),
            (Outcome::Unknown, _) => Self::unknown("the peer that ran the request lost its answer"),
            (outcome, _) => Self {
                body: response.body.into(),
                content_type: response.content_type,
                outcome,
                status: response.status,
                ..Self::unknown("")
            },
        }
    }
}

impl From<RunResponse> for ForwardedResponse {
    fn from(response: RunResponse) -> Self {
        Self {
            body: response.body.to_vec(),
            content_type: response.content_type,
            outcome: response.outcome,
            refusal: response.refusal,
            status: response.status,
        }
    }
}
