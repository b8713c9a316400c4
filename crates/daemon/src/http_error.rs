//! Errors that are sent to callers, workers and operators as JSON.

use {
    fuchsiatack_model::{Outcome, Refusal},
    salvo::http::StatusCode,
    smol_str::{SmolStr, format_smolstr},
};

/// Time after which a refused request may be retried, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// Error response to a request that was not run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HttpError {
    /// Explanation for people.
    pub(crate) message: SmolStr,
    /// Constant text for programs.
    pub(crate) reason: SmolStr,
    /// Time after which a retry may succeed, in milliseconds; 0 if none is suggested.
    pub(crate) retry_after_ms: u32,
    /// HTTP status of the response.
    pub(crate) status: StatusCode,
}

impl HttpError {
    pub(crate) fn new(status: StatusCode, reason: &str, message: impl AsRef<str>) -> Self {
        Self {
            message: SmolStr::new(message),
            reason: reason.into(),
            retry_after_ms: 0,
            status,
        }
    }

    /// Creates the error for an invalid header, query or body.
    pub(crate) fn bad_request(reason: &str, message: impl AsRef<str>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason, message)
    }

    pub(crate) fn not_found(reason: &str, message: impl AsRef<str>) -> Self {
        Self::new(StatusCode::NOT_FOUND, reason, message)
    }

    /// Creates the error for a failed call to the store.
    pub(crate) fn unavailable(error: &fuchsiatack_session::SessionError) -> Self {
        Self {
            retry_after_ms: RETRY_AFTER_MS,
            ..Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "store-unavailable",
                format_smolstr!("{error}"),
            )
        }
    }
}

impl From<Refusal> for HttpError {
    fn from(refusal: Refusal) -> Self {
        Self {
            retry_after_ms: RETRY_AFTER_MS,
            ..Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                &reason_of(refusal),
                refusal.to_string(),
            )
        }
    }
}

/// Returns the text of a refusal in the JSON body of a response.
pub(crate) fn reason_of(refusal: Refusal) -> SmolStr {
    match serde_json::to_value(refusal) {
        Ok(serde_json::Value::String(text)) => text.into(),
        _ => Outcome::NotRun.as_str().into(),
    }
}
