//! HTTP messages, and the interface that translates between them and the calls of the cell.

use {
    bytes::Bytes,
    fuchsiatack_derives::value,
    fuchsiatack_jobs::{
        AdviceError, AdviceRequest, AdviceResponse, CellCall, CellResponse, HoldReport, JobCall, JobResponse,
        OrderResult, WorkerCallError, WorkerOrder,
    },
    http::{HeaderMap, HeaderName, Method, StatusCode},
    std::time::Duration,
};

/// A received HTTP request.
#[value]
pub struct HttpRequest {
    /// Raw body; empty if the request has none.
    pub body: Bytes,
    /// Headers as received.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path of the URI, without the query.
    pub path: String,
}

impl HttpRequest {
    /// Returns the value of a header; empty if the header is missing or its value is not visible ASCII.
    pub fn header(&self, name: &HeaderName) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// An HTTP response to send.
#[value]
pub struct HttpResponse {
    /// Raw body; may be empty.
    pub body: Bytes,
    /// Whether the body is JSON, which sets the content type.
    pub is_json: bool,
    /// Time after which the client may retry; sent in the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// Status code.
    pub status: StatusCode,
}

impl HttpResponse {
    /// Creates a response without a body.
    pub fn status(status: StatusCode) -> Self {
        Self {
            body: Bytes::new(),
            is_json: false,
            retry_after: None,
            status,
        }
    }

    /// Creates a response with a JSON body.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            is_json: true,
            ..Self::status(status)
        }
    }

    /// Sets the time after which the client may retry.
    pub fn retry_after(self, time: Duration) -> Self {
        Self {
            retry_after: Some(time),
            ..self
        }
    }
}

/// An HTTP POST request to a worker or to the advice service.
#[value]
pub struct OutgoingRequest {
    /// Body in JSON.
    pub body: Vec<u8>,
    /// Headers beside the content type.
    pub headers: HeaderMap,
    /// Path of the URI, with the leading slash.
    pub path: &'static str,
}

/// Translates between HTTP messages and the calls of the cell. Implementations do no I/O.
pub trait HttpCodec: Send + Sync + 'static {
    /// Decodes a request of a caller. The error is the response to a request that cannot be decoded.
    fn decode_caller_request(&self, request: &HttpRequest) -> Result<JobCall, HttpResponse>;

    /// Returns how long a caller waits for the response to its request.
    fn caller_timeout(&self, request: &HttpRequest) -> Duration;

    /// Encodes the response to a caller.
    fn encode_caller_response(&self, response: &JobResponse) -> HttpResponse;

    /// Decodes a request of a worker or an operator. The error is the response to a request that cannot
    /// be decoded.
    fn decode_control_request(&self, request: &HttpRequest) -> Result<CellCall, HttpResponse>;

    /// Encodes the response to a worker or an operator.
    fn encode_control_response(&self, response: &CellResponse) -> HttpResponse;

    /// Encodes an order to a worker. Returns `None` if the worker's name is not a valid header value.
    fn encode_worker_request(&self, order: &WorkerOrder) -> Option<OutgoingRequest>;

    /// Decodes a worker's response to a hold order.
    fn decode_hold_response(&self, status: StatusCode, body: &[u8]) -> Result<HoldReport, WorkerCallError>;

    /// Decodes a worker's response to a start or stop order.
    fn decode_order_response(&self, status: StatusCode, body: &[u8]) -> OrderResult;

    /// Encodes a request to the advice service.
    fn encode_advice_request(&self, request: &AdviceRequest) -> OutgoingRequest;

    /// Decodes a response of the advice service. Returns `None` if the request failed or the response is
    /// malformed.
    fn decode_advice_response(&self, status: StatusCode, body: &[u8]) -> Result<AdviceResponse, AdviceError>;
}
