//! Errors that a caller, worker or operator gets as JSON.

use {
    fuchsiatack_model::{Outcome, Refusal},
    salvo::http::StatusCode,
    smol_str::{SmolStr, format_smolstr},
};

/// When a refused request may be sent again, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// An answer that says what was wrong. The request was not run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HttpError {
    /// Text for people.
    pub(crate) message: SmolStr,
    /// Text for programs.
    pub(crate) reason: SmolStr,
    /// When a retry may succeed, in milliseconds; 0 if it cannot.
    pub(crate) retry_after_ms: u32,
    /// HTTP status.
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

    /// A header, path or body that cannot be read.
    pub(crate) fn bad_request(reason: &str, message: impl AsRef<str>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, reason, message)
    }

    pub(crate) fn not_found(reason: &str, message: impl AsRef<str>) -> Self {
        Self::new(StatusCode::NOT_FOUND, reason, message)
    }

    /// The store did not answer.
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

/// Text of a refusal in the JSON body of an answer.
pub(crate) fn reason_of(refusal: Refusal) -> SmolStr {
    match serde_json::to_value(refusal) {
        Ok(serde_json::Value::String(text)) => text.into(),
        _ => Outcome::NotRun.as_str().into(),
    }
}
