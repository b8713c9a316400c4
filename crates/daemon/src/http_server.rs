//! HTTP server and rendering of responses, shared by the interfaces for callers and operators.

use {
    crate::{
        DaemonError,
        client_limits::ClientLimitObserver,
        http_error::{HttpError, reason_of},
        run_response::RunResponse,
        shared::Shared,
    },
    fuchsiatack_http::{
        BodyError, Connection, HeldBytes, HttpLimits, HttpService, JsonCounts, JsonLimits, Limit, Reservation,
    },
    fuchsiatack_model::{LogIndex, Outcome},
    hyper::body::Incoming,
    salvo::{
        Request, Response, Router, Service,
        conn::ConnCtrl,
        http::{HeaderValue, ResBody, StatusCode, header, uri::Scheme},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

pub(crate) const INDEX_HEADER: &str = "fuchsiatack-index";
pub(crate) const OUTCOME_HEADER: &str = "fuchsiatack-outcome";
const JSON: &str = "application/json";
const MILLIS_PER_SECOND: u32 = 1_000;
/// Time after which a request that a limit refused may be retried, in milliseconds.
const REFUSED_RETRY_MS: u32 = 1_000;
const NO_ROOM: &str = "no-room";
const NO_ROOM_MESSAGE: &str = "the daemon holds as much for its clients as it may; retry later";

/// A running HTTP server.
pub(crate) struct HttpServer(fuchsiatack_http::HttpServer);

impl HttpServer {
    /// Starts to serve `router` on a bound listener. `address` is its name in the metrics.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        listener: TcpListener,
        address: &'static str,
        limits: HttpLimits,
        router: Router,
    ) -> Result<Self, DaemonError> {
        let local = listener.local_addr().map_err(|error| DaemonError::Bind {
            address: "an HTTP address".into(),
            message: error.to_string(),
        })?;
        let service =
            Service::new(router).catcher(salvo::catcher::Catcher::default().hoop(NotFound(shared.clone())));
        let service = Arc::new(RouterService {
            local,
            service,
            shared: shared.clone(),
        });
        let observer = Arc::new(ClientLimitObserver::new(address, shared.clone()));
        Ok(Self(fuchsiatack_http::HttpServer::start(
            listener, limits, observer, service,
        )))
    }

    /// Stops accepting connections, and closes each open one once its response is sent, or after `limit`.
    pub(crate) async fn stop(self, limit: Duration) {
        self.0.stop(limit).await;
    }
}

/// Adapts the router to the server.
struct RouterService {
    local: SocketAddr,
    service: Service,
    shared: Arc<Shared>,
}

impl HttpService for RouterService {
    type Body = ResBody;

    async fn call(
        &self,
        mut request: hyper::Request<Incoming>,
        connection: &Arc<Connection>,
        remote: SocketAddr,
    ) -> hyper::Response<ResBody> {
        request.extensions_mut().insert(connection.clone());
        let (local, remote) = (self.local.into(), remote.into());
        let handler = self
            .service
            .hyper_handler(local, remote, Scheme::HTTP, None, ConnCtrl::new(), None);
        match hyper::service::Service::call(&handler, request).await {
            Ok(response) => response,
            Err(error) => {
                let error =
                    HttpError::new(StatusCode::INTERNAL_SERVER_ERROR, "http-error", error.to_string());
                self.render(&error)
            }
        }
    }

    fn refuse(&self, limit: Limit) -> hyper::Response<ResBody> {
        let (reason, message) = match limit {
            Limit::Connections => (
                "too-many-connections",
                "the daemon has too many open connections; retry later or on another daemon",
            ),
            Limit::Pipelined => (
                "too-many-requests-at-once",
                "the connection has too many requests without a response",
            ),
            _ => (NO_ROOM, NO_ROOM_MESSAGE),
        };
        self.render(&no_room(reason, message))
    }
}

impl RouterService {
    fn render(&self, error: &HttpError) -> hyper::Response<ResBody> {
        let mut response = Response::new();
        render_error(&mut response, error);
        set_index(&mut response, applied_index(&self.shared));
        response.into_hyper()
    }
}

/// Creates the error for a request that a limit of the daemon refuses for now.
fn no_room(reason: &str, message: &str) -> HttpError {
    HttpError {
        retry_after_ms: REFUSED_RETRY_MS,
        ..HttpError::new(StatusCode::SERVICE_UNAVAILABLE, reason, message)
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

/// Reads the complete body. Returns an error if it is longer than `max_bytes` or incomplete, or if the server has
/// no room for it.
pub(crate) async fn read_body(request: &mut Request, max_bytes: usize) -> Result<HeldBytes, HttpError> {
    let connection = connection(request)?;
    let body = request.take_body();
    fuchsiatack_http::read_body(&connection, body, max_bytes)
        .await
        .map_err(|error| match error {
            BodyError::Broken => {
                HttpError::bad_request("truncated-body", "the body ended early or is malformed")
            }
            BodyError::NoRoom => no_room(NO_ROOM, NO_ROOM_MESSAGE),
            BodyError::TooLong => HttpError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body-too-long",
                format!("the body is longer than {max_bytes} bytes"),
            ),
        })
}

/// Reads a complete JSON body, and checks its counts. The reservation covers the decoded body too.
pub(crate) async fn read_json(
    request: &mut Request,
    max_bytes: usize,
    limits: &JsonLimits,
) -> Result<(HeldBytes, Reservation), HttpError> {
    let body = read_body(request, max_bytes).await?;
    let connection = connection(request)?;
    let counts = JsonCounts::of(&body.bytes);
    if let Err(limit) = counts.check(limits) {
        connection.reached(limit);
        let message = format!("the body exceeds the limit of {}", limit.as_str());
        return Err(HttpError::bad_request("too-complex", message));
    }
    let decoded = connection.reserve(counts.decoded_bytes());
    Ok((body, decoded.ok_or_else(|| no_room(NO_ROOM, NO_ROOM_MESSAGE))?))
}

fn connection(request: &Request) -> Result<Arc<Connection>, HttpError> {
    let connection = request.extensions().get::<Arc<Connection>>().cloned();
    connection.ok_or_else(|| no_room(NO_ROOM, NO_ROOM_MESSAGE))
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
