//! HTTP server and rendering of responses, shared by the interfaces for callers and operators.

use {
    crate::{
        DaemonError,
        connection_limiter::ConnectionLimiter,
        http_error::{HttpError, reason_of},
        run_response::RunResponse,
        shared::Shared,
    },
    bytes::Bytes,
    fuchsiatack_model::{LogIndex, Outcome},
    salvo::{
        Request, Response, Router, Server, Service,
        conn::tcp::TcpAcceptor,
        http::{HeaderValue, ParseError, StatusCode, header},
        server::ServerHandle,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

pub(crate) const INDEX_HEADER: &str = "fuchsiatack-index";
pub(crate) const OUTCOME_HEADER: &str = "fuchsiatack-outcome";
const JSON: &str = "application/json";
const MILLIS_PER_SECOND: u32 = 1_000;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time after which a request on a connection over the limit may be retried, in milliseconds.
const CONNECTION_RETRY_MS: u32 = 1_000;
/// Maximum time between two parts of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A running HTTP server.
pub(crate) struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts to serve `router` on a bound listener.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        listener: TcpListener,
        max_connections: usize,
        router: Router,
    ) -> Result<Self, DaemonError> {
        let acceptor = TcpAcceptor::try_from(listener).map_err(|error| DaemonError::Bind {
            address: "an HTTP address".into(),
            message: error.to_string(),
        })?;
        let fuse = salvo::fuse::FuseConfig::default().with_request_body_timeout(BODY_IDLE_TIMEOUT);
        let limiter = ConnectionLimiter::new(max_connections, fuse);
        let mut server = Server::new(acceptor).fuse_policy(limiter.clone());
        server
            .http1_mut()
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD_BYTES);
        let handle = server.handle();
        let service = Service::new(router)
            .hoop(RejectOverLimit {
                limiter,
                shared: shared.clone(),
            })
            .catcher(salvo::catcher::Catcher::default().hoop(NotFound(shared.clone())));
        let task = tokio::spawn(async move {
            let _ = server.try_serve(service).await;
        });
        Ok(Self { handle, task })
    }

    /// Stops accepting connections, and closes each open one once its response is sent, or after `limit`.
    pub(crate) async fn stop(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}

/// Rejects requests on connections over the limit, and closes these connections.
struct RejectOverLimit {
    limiter: ConnectionLimiter,
    shared: Arc<Shared>,
}

#[salvo::async_trait]
impl salvo::Handler for RejectOverLimit {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut salvo::Depot,
        response: &mut Response,
        flow: &mut salvo::FlowCtrl,
    ) {
        if !self.limiter.is_over(request.remote_addr().clone().into_std()) {
            return;
        }
        set_header(response, header::CONNECTION.as_str(), "close");
        let error = HttpError {
            retry_after_ms: CONNECTION_RETRY_MS,
            ..HttpError::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too-many-connections",
                "the daemon has too many open connections; retry later or on another daemon",
            )
        };
        render_error(response, &error);
        set_index(response, applied_index(&self.shared));
        flow.skip_rest();
    }
}

/// Renders JSON errors for unknown paths and methods.
struct NotFound(Arc<Shared>);

#[salvo::async_trait]
impl salvo::Handler for NotFound {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut salvo::Depot,
        response: &mut Response,
        flow: &mut salvo::FlowCtrl,
    ) {
        let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let (reason, message) = match status {
            StatusCode::METHOD_NOT_ALLOWED => ("wrong-method", "is not a method of this path"),
            StatusCode::NOT_FOUND => ("unknown-path", "does not exist here"),
            _ => ("http-error", "cannot be handled"),
        };
        let message = format!("{} {} {message}", request.method(), request.uri().path());
        render_error(response, &HttpError::new(status, reason, message));
        set_index(response, applied_index(&self.0));
        flow.skip_rest();
    }
}

/// Binds a TCP listener.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Bind {
            address: address.to_string(),
            message: error.to_string(),
        })
}

/// Reads the complete body. Returns an error if it is longer than `max_bytes` or incomplete.
pub(crate) async fn read_body(request: &mut Request, max_bytes: usize) -> Result<Bytes, HttpError> {
    match request.payload_with_max_size(max_bytes).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(HttpError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-long",
            format!("the body is longer than {max_bytes} bytes"),
        )),
        Err(error) => Err(HttpError::bad_request(
            "truncated-body",
            format!("the body ended early or is malformed: {error}"),
        )),
    }
}

/// Sets the header with the log index that the response reflects.
pub(crate) fn set_index(response: &mut Response, index: LogIndex) {
    set_header(response, INDEX_HEADER, &index.0.to_string());
}

/// Log index up to which changes are applied to the daemon's directory.
pub(crate) fn applied_index(shared: &Shared) -> LogIndex {
    shared.session.directory().applied()
}

pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Renders a JSON body.
pub(crate) fn render_json(response: &mut Response, status: StatusCode, body: &Value) {
    set_header(response, header::CONTENT_TYPE.as_str(), JSON);
    response.status_code(status);
    response.body(body.to_string());
}

/// Renders an error of the daemon.
pub(crate) fn render_error(response: &mut Response, error: &HttpError) {
    set_header(response, OUTCOME_HEADER, Outcome::NotRun.as_str());
    set_retry(response, error.retry_after_ms);
    let body = json!({
        "outcome": Outcome::NotRun.as_str(),
        "reason": error.reason,
        "message": error.message,
    });
    render_json(response, error.status, &body);
}

/// Renders the response to a request: the unchanged body of the worker, or a JSON message of the daemon.
pub(crate) fn render_run_response(response: &mut Response, run_response: RunResponse) {
    set_header(response, OUTCOME_HEADER, run_response.outcome.as_str());
    set_retry(response, run_response.retry_after_ms);
    let status = StatusCode::from_u16(run_response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !run_response.is_relayed() {
        let reason = run_response
            .refusal
            .map_or_else(|| run_response.outcome.as_str().into(), reason_of);
        let body = json!({
            "outcome": run_response.outcome.as_str(),
            "reason": reason,
            "message": run_response.message,
        });
        return render_json(response, status, &body);
    }
    if let Some(content_type) = &run_response.content_type {
        set_header(response, header::CONTENT_TYPE.as_str(), content_type);
    }
    response.status_code(status);
    response.body(run_response.body);
}

fn set_retry(response: &mut Response, retry_after_ms: u32) {
    if retry_after_ms > 0 {
        let seconds = retry_after_ms.div_ceil(MILLIS_PER_SECOND);
        set_header(response, header::RETRY_AFTER.as_str(), &seconds.to_string());
    }
}
