//! HTTP server that passes requests within the limits to a handler.

use {
    crate::{CellError, HttpRequest, HttpResponse, client_limits::ClientLimitObserver},
    bytes::Bytes,
    fuchsiatack_http::{
        BodyError, Connection, HttpLimits, HttpService, JsonCounts, JsonLimits, Limit, read_body,
    },
    http::{HeaderValue, Request, Response, StatusCode, header},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Time after which a client may retry a request for which the server had no room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the body of a request is read.
pub(crate) enum BodyRule {
    /// The request needs no body, and one that it has is not read.
    Ignore,
    /// The body is JSON within these limits.
    Json {
        /// Limits on its counts.
        limits: JsonLimits,
        /// Longest body in bytes.
        max_bytes: usize,
    },
}

/// Handles the requests of one HTTP server.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Decides from the head of a request how its body is read. `head` has an empty body. The error is the
    /// response to a request that needs no look at its body.
    fn body_rule(&self, head: &HttpRequest) -> Result<BodyRule, HttpResponse>;

    /// Handles one request. The future is dropped if the client disconnects.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse> + Send;
}

/// Decides on a body from the result of decoding its request without it: a request that is complete needs none,
/// and an unknown path or method is answered at once.
pub(crate) fn body_rule(
    decoded: Result<(), HttpResponse>,
    limits: &JsonLimits,
    max_bytes: usize,
) -> Result<BodyRule, HttpResponse> {
    match decoded {
        Ok(()) => Ok(BodyRule::Ignore),
        Err(response) if response.status == StatusCode::BAD_REQUEST => Ok(BodyRule::Json {
            limits: limits.clone(),
            max_bytes,
        }),
        Err(response) => Err(response),
    }
}

/// A running HTTP server.
pub(crate) struct HttpServer(fuchsiatack_http::HttpServer);

impl HttpServer {
    /// Binds an address and serves requests on it within the limits.
    pub(crate) async fn start(
        address: SocketAddr,
        limits: HttpLimits,
        observer: ClientLimitObserver,
        handler: Arc<impl RequestHandler>,
    ) -> Result<Self, CellError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| CellError::Bind {
                address,
                message: error.to_string(),
            })?;
        let service = Arc::new(HandlerService(handler));
        let observer = Arc::new(observer);
        Ok(Self(fuchsiatack_http::HttpServer::start(
            listener, limits, observer, service,
        )))
    }

    /// Stops accepting connections, and closes open ones once their responses are sent or `timeout` has
    /// passed.
    pub(crate) async fn stop(self, timeout: Duration) {
        self.0.stop(timeout).await;
    }
}

/// Adapts a `RequestHandler` to the server.
struct HandlerService<H>(Arc<H>);

impl<H: RequestHandler> HttpService for HandlerService<H> {
    type Body = Full<Bytes>;

    async fn call(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
        _remote: SocketAddr,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let mut request = HttpRequest {
            body: Bytes::new(),
            headers: parts.headers,
            method: parts.method,
            path: parts.uri.path().to_owned(),
        };
        let (limits, max_bytes) = match self.0.body_rule(&request) {
            Ok(BodyRule::Ignore) => return encode(self.0.handle(request).await),
            Ok(BodyRule::Json { limits, max_bytes }) => (limits, max_bytes),
            Err(response) => return encode(response),
        };
        let body = match read_body(connection, body, max_bytes).await {
            Ok(body) => body,
            Err(error) => return encode(refusal(error)),
        };
        let counts = JsonCounts::of(&body.bytes);
        if let Err(limit) = counts.check(&limits) {
            connection.reached(limit);
            let message = format!(
                "{{\"error\":\"the body exceeds the limit of {}\"}}",
                limit.as_str()
            );
            return encode(HttpResponse::json(StatusCode::BAD_REQUEST, message));
        }
        // Held until the response, since the decoded request is held as long.
        let Some(_decoded) = connection.reserve(counts.decoded_bytes()) else {
            return encode(refusal(BodyError::NoRoom));
        };
        request.body = body.bytes;
        encode(self.0.handle(request).await)
    }

    fn refuse(&self, _limit: Limit) -> Response<Full<Bytes>> {
        encode(refusal(BodyError::NoRoom))
    }
}

/// Creates the response to a request whose body was not read. Nothing of the request has run.
fn refusal(error: BodyError) -> HttpResponse {
    match error {
        BodyError::Broken => HttpResponse::status(StatusCode::BAD_REQUEST),
        BodyError::NoRoom => {
            HttpResponse::status(StatusCode::SERVICE_UNAVAILABLE).retry_after(NO_ROOM_RETRY_AFTER)
        }
        BodyError::TooLong => HttpResponse::status(StatusCode::PAYLOAD_TOO_LARGE),
    }
}

fn encode(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut encoded = Response::new(Full::new(response.body));
    *encoded.status_mut() = response.status;
    let headers = encoded.headers_mut();
    if response.is_json {
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(time) = response.retry_after {
        let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    encoded
}
