//! How callers, workers, operators and the advice service speak.

use {
    bytes::Bytes,
    fuchsiatack_derives::value,
    fuchsiatack_jobs::{
        AdviceRequest, AdviceResponse, CellCall, CellResponse, HoldReport, JobCall, JobResponse, OrderResult,
        WorkerCallError, WorkerOrder,
    },
    http::{HeaderMap, HeaderName, Method, StatusCode},
    std::time::Duration,
};

/// A request that arrived.
#[value]
pub struct HttpQuestion {
    /// Body.
    pub body: Bytes,
    /// Headers.
    pub headers: HeaderMap,
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
}

impl HttpQuestion {
    /// Returns a header as text; empty if it is missing or not text.
    pub fn header(&self, name: &HeaderName) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// An answer to send.
#[value]
pub struct HttpAnswer {
    /// Body.
    pub body: Bytes,
    /// Whether the body is JSON.
    pub is_json: bool,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// Status.
    pub status: StatusCode,
}

impl HttpAnswer {
    /// Creates an answer without a body.
    pub fn status(status: StatusCode) -> Self {
        Self {
            body: Bytes::new(),
            is_json: false,
            retry_after: None,
            status,
        }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            is_json: true,
            ..Self::status(status)
        }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(self, time: Duration) -> Self {
        Self {
            retry_after: Some(time),
            ..self
        }
    }
}

/// A request to a worker or to the advice service.
#[value]
pub struct WorkerRequest {
    /// Body, as JSON.
    pub body: Vec<u8>,
    /// Headers.
    pub headers: HeaderMap,
    /// Path.
    pub path: &'static str,
}

/// Translates between HTTP messages and the cell's calls. Implementations do no I/O.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes a caller's request, or answers it if it cannot be decoded.
    fn caller_call(&self, question: &HttpQuestion) -> Result<JobCall, HttpAnswer>;

    /// How long a caller waits for its answer.
    fn caller_limit(&self, question: &HttpQuestion) -> Duration;

    /// Encodes an answer to a caller.
    fn caller_answer(&self, answer: &JobResponse) -> HttpAnswer;

    /// Decodes a request of a worker or an operator, or answers it if it cannot be decoded.
    fn control_call(&self, question: &HttpQuestion) -> Result<CellCall, HttpAnswer>;

    /// Encodes an answer to a worker or an operator.
    fn control_answer(&self, answer: &CellResponse) -> HttpAnswer;

    /// Encodes an order to a worker; `None` if its name cannot stand in a header.
    fn worker_request(&self, order: &WorkerOrder) -> Option<WorkerRequest>;

    /// Decodes the answer to a renewal.
    fn hold_report(&self, status: StatusCode, body: &[u8]) -> Result<HoldReport, WorkerCallError>;

    /// Decodes the answer to an order.
    fn order_result(&self, status: StatusCode, body: &[u8]) -> OrderResult;

    /// Encodes a question to the advice service.
    fn advice_request(&self, request: &AdviceRequest) -> WorkerRequest;

    /// Decodes an answer of the advice service; `None` if it refused.
    fn advice_reply(&self, status: StatusCode, body: &[u8]) -> Option<AdviceResponse>;
}
