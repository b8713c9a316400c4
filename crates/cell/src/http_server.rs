//! HTTP server that passes requests with complete bodies to a handler.

use {
    crate::{CellError, HttpRequest, HttpResponse},
    http::{HeaderValue, StatusCode, header},
    salvo::{
        Depot, FlowCtrl, Request, Response, Router, Server, Service, conn::tcp::TcpAcceptor,
        http::ParseError, server::ServerHandle,
    },
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Handles the requests of one HTTP server.
pub(crate) trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the client disconnects.
    fn handle(&self, request: HttpRequest) -> impl Future<Output = HttpResponse> + Send;
}

/// A running HTTP server.
pub(crate) struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds an address and serves requests on it. Bodies longer than `max_body_bytes` are
    /// rejected.
    pub(crate) async fn start(
        address: SocketAddr,
        max_body_bytes: usize,
        handler: Arc<impl RequestHandler>,
    ) -> Result<Self, CellError> {
        let failed = |error: std::io::Error| CellError::Bind {
            address,
            message: error.to_string(),
        };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(failed)?;
        let adapter = HandlerAdapter {
            handler,
            max_body_bytes,
        };
        let server = Server::new(acceptor);
        let handle = server.handle();
        let service = Service::new(Router::with_path("{**path}").goal(adapter));
        let task = tokio::spawn(async move {
            // A failed connection does not end the server; only a stop does.
            let _ = server.try_serve(service).await;
        });
        Ok(Self { handle, task })
    }

    /// Stops accepting connections, and closes open ones once their responses are sent or `timeout` has
    /// passed.
    pub(crate) async fn stop(self, timeout: Duration) {
        self.handle.stop_graceful(timeout);
        let _ = self.task.await;
    }
}

/// Adapts a `RequestHandler` to salvo.
struct HandlerAdapter<H> {
    handler: Arc<H>,
    max_body_bytes: usize,
}

#[salvo::async_trait]
impl<H: RequestHandler> salvo::Handler for HandlerAdapter<H> {
    async fn handle(&self, request: &mut Request, _: &mut Depot, response: &mut Response, _: &mut FlowCtrl) {
        let http_response = match request.payload_with_max_size(self.max_body_bytes).await {
            Ok(body) => {
                let http_request = HttpRequest {
                    body: body.clone(),
                    headers: request.headers().clone(),
                    method: request.method().clone(),
                    path: request.uri().path().to_owned(),
                };
                self.handler.handle(http_request).await
            }
            Err(ParseError::PayloadTooLarge) => HttpResponse::status(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => HttpResponse::status(StatusCode::BAD_REQUEST),
        };
        response.status_code(http_response.status);
        let headers = response.headers_mut();
        if http_response.is_json {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Some(time) = http_response.retry_after {
            let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response.body(http_response.body);
    }
}
