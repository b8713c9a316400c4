//! Response to a request, with conversions from and to its forms at workers, peers and the journal.

use {
    crate::worker_adapter::WorkerResponse,
    bytes::Bytes,
    fuchsiatack_ledger::StoredResponse,
    fuchsiatack_model::{Outcome, Refusal},
    fuchsiatack_wire::ForwardedResponse,
    smol_str::SmolStr,
};

/// Longest response body that the journal stores, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;
const STATUS_DONE: u16 = 200;
const STATUS_FAILED: u16 = 502;
const STATUS_GONE: u16 = 410;
const STATUS_NOT_RUN: u16 = 503;
const STATUS_CONFLICT: u16 = 409;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNKNOWN: u16 = 504;

/// Response to one request or task.
#[derive(Clone, Debug)]
pub(crate) struct RunResponse {
    /// Complete body of the worker's response; empty if the worker sent none.
    pub(crate) body: Bytes,
    /// Content type of the body.
    pub(crate) content_type: Option<SmolStr>,
    /// Explanation of a response that does not come from a worker; empty otherwise.
    pub(crate) message: SmolStr,
    /// Outcome of the request.
    pub(crate) outcome: Outcome,
    /// Reason why the request was not run; absent if it was or may have been run.
    pub(crate) refusal: Option<Refusal>,
    /// Time after which a retry may succeed, in milliseconds; 0 if none is suggested.
    pub(crate) retry_after_ms: u32,
    /// HTTP status for the caller.
    pub(crate) status: u16,
}

impl RunResponse {
    /// Creates the response to a request of which it is unknown whether it ran.
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

    /// Returns the response to a request that may have run before: it is then unknown whether a request that
    /// was not run now has run.
    pub(crate) fn after_runs(self, may_have_run: bool) -> Self {
        match self.outcome {
            Outcome::NotRun if may_have_run => Self::unknown(&self.message),
            _ => self,
        }
    }

    /// Creates the response to a request that was not run.
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

    /// Returns whether the body is the worker's, rather than a message of the daemon.
    pub(crate) fn is_relayed(&self) -> bool {
        matches!(self.outcome, Outcome::Done | Outcome::Failed) && self.status != STATUS_GONE
    }

    /// Converts the response to its form in the journal, which has no body if that is too long.
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
                "the request has ended, but its response is no longer stored",
                STATUS_GONE,
            ),
            (false, Outcome::Unknown) => ("the response to the request was lost", STATUS_UNKNOWN),
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
            (Outcome::Unknown, _) => Self::unknown("the peer that ran the request lost its response"),
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
