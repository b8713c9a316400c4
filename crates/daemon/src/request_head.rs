//! Parsing and checks of the request headers of callers and operators.

use {
    crate::http_error::HttpError,
    fuchsiatack_model::RequestId,
    salvo::http::{HeaderMap, StatusCode, header},
    smol_str::SmolStr,
    std::time::Duration,
};

pub(crate) const DEADLINE_HEADER: &str = "fuchsiatack-deadline-ms";
pub(crate) const IDEMPOTENT_HEADER: &str = "fuchsiatack-idempotent";
pub(crate) const OPERATION_HEADER: &str = "fuchsiatack-operation-id";
pub(crate) const REQUEST_HEADER: &str = "fuchsiatack-request-id";
const TRACE_HEADER: &str = "traceparent";
/// Maximum length of a request or operation id in bytes.
const MAX_ID_BYTES: usize = 128;
/// Maximum deadline: one day, the time for which the journal keeps an entry.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;
const BEARER: &str = "Bearer ";

/// Values of the headers of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) content_type: Option<SmolStr>,
    /// Time within which the request must have started, from its receipt; absent if it may wait.
    pub(crate) deadline: Option<Duration>,
    pub(crate) idempotent: bool,
    pub(crate) request: RequestId,
    pub(crate) trace_parent: Option<SmolStr>,
}

impl RequestHead {
    /// Parses the headers. An idempotent request without an id gets a random one.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, HttpError> {
        let idempotent = idempotent(headers)?;
        let request = match (id_header(headers, REQUEST_HEADER)?, idempotent) {
            (Some(request), _) => request,
            (None, true) => SmolStr::new(format!("{:032x}", rand::random::<u128>())),
            (None, false) => {
                return Err(HttpError::bad_request(
                    "missing-request-id",
                    format!(
                        "a request that is not idempotent needs the header {REQUEST_HEADER}, so that a resend is recognised"
                    ),
                ));
            }
        };
        Ok(Self {
            content_type: header_text(headers, header::CONTENT_TYPE.as_str())?.map(SmolStr::new),
            deadline: deadline(headers)?,
            idempotent,
            request: RequestId(request),
            trace_parent: header_text(headers, TRACE_HEADER)
                .ok()
                .flatten()
                .map(SmolStr::new),
        })
    }
}

/// Returns the key in the `authorization` header, or `None` without the header.
pub(crate) fn bearer_key(headers: &HeaderMap) -> Result<Option<&str>, HttpError> {
    let Some(value) = header_text(headers, header::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    match value.strip_prefix(BEARER).map(str::trim) {
        Some(key) if !key.is_empty() => Ok(Some(key)),
        _ => Err(HttpError::new(
            StatusCode::UNAUTHORIZED,
            "malformed-authorization",
            "the header authorization must be `Bearer KEY`",
        )),
    }
}

/// Creates the error for a call without a key.
pub(crate) fn missing_key() -> HttpError {
    HttpError::new(
        StatusCode::UNAUTHORIZED,
        "missing-key",
        "the header authorization with `Bearer KEY` is missing",
    )
}

/// Creates the error for a call with an unknown key.
pub(crate) fn wrong_key() -> HttpError {
    HttpError::new(
        StatusCode::FORBIDDEN,
        "wrong-key",
        "the key is unknown or was withdrawn",
    )
}

/// Returns the identifier in a header, or `None` without the header.
pub(crate) fn id_header(headers: &HeaderMap, name: &str) -> Result<Option<SmolStr>, HttpError> {
    let Some(value) = header_text(headers, name)? else {
        return Ok(None);
    };
    match value {
        "" => Err(HttpError::bad_request(
            "empty-id",
            format!("the header {name} is empty"),
        )),
        value if value.len() > MAX_ID_BYTES => Err(HttpError::bad_request(
            "id-too-long",
            format!(
                "the header {name} has {} bytes; at most {MAX_ID_BYTES} are accepted",
                value.len()
            ),
        )),
        value => Ok(Some(SmolStr::new(value))),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, HttpError> {
    let Some(value) = header_text(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(milliseconds @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(milliseconds))),
        _ => Err(HttpError::bad_request(
            "bad-deadline",
            format!("the header {DEADLINE_HEADER} must be a whole number from 1 to {MAX_DEADLINE_MS}"),
        )),
    }
}

fn idempotent(headers: &HeaderMap) -> Result<bool, HttpError> {
    match header_text(headers, IDEMPOTENT_HEADER)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(HttpError::bad_request(
            "bad-idempotent",
            format!("the header {IDEMPOTENT_HEADER} must be `true` or `false`"),
        )),
    }
}

/// Returns the text of a header, or `None` without it. The header must not be repeated and must
/// consist of visible ASCII characters.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, HttpError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HttpError::bad_request(
            "repeated-header",
            format!("the header {name} is given more than once"),
        ));
    }
    value.to_str().map(Some).map_err(|_| {
        HttpError::bad_request(
            "malformed-header",
            format!("the header {name} has characters other than visible ASCII"),
        )
    })
}
