//! HTTP server that hands whole requests to a function.

use {
    crate::{CellError, HttpAnswer, HttpQuestion},
    http::{HeaderValue, StatusCode, header},
    salvo::{
        Depot, FlowCtrl, Request, Response, Router, Server, Service, conn::tcp::TcpAcceptor,
        http::ParseError, server::ServerHandle,
    },
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Answers requests.
pub(crate) trait Answering: Send + Sync + 'static {
    /// Answers one request. The future is dropped if the client goes away.
    fn answer(&self, question: HttpQuestion) -> impl Future<Output = HttpAnswer> + Send;
}

/// A running HTTP server.
pub(crate) struct HttpServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds an address and serves it.
    pub(crate) async fn start(
        address: SocketAddr,
        max_body_bytes: usize,
        answering: Arc<impl Answering>,
    ) -> Result<Self, CellError> {
        let failed = |error: std::io::Error| CellError::Bind {
            address,
            message: error.to_string(),
        };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let acceptor = TcpAcceptor::try_from(listener).map_err(failed)?;
        let goal = Goal {
            answering,
            max_body_bytes,
        };
        let server = Server::new(acceptor);
        let handle = server.handle();
        let service = Service::new(Router::with_path("{**path}").goal(goal));
        let task = tokio::spawn(async move {
            // The server ends only when it is stopped; a failed connection does not end it.
            let _ = server.try_serve(service).await;
        });
        Ok(Self { handle, task })
    }

    /// Stops to accept and closes connections once their answers are sent, at the latest after `limit`.
    pub(crate) async fn stop(self, limit: Duration) {
        self.handle.stop_graceful(limit);
        let _ = self.task.await;
    }
}

struct Goal<A> {
    answering: Arc<A>,
    max_body_bytes: usize,
}

#[salvo::async_trait]
impl<A: Answering> salvo::Handler for Goal<A> {
    async fn handle(&self, request: &mut Request, _: &mut Depot, response: &mut Response, _: &mut FlowCtrl) {
        let answer = match request.payload_with_max_size(self.max_body_bytes).await {
            Ok(body) => {
                let question = HttpQuestion {
                    body: body.clone(),
                    headers: request.headers().clone(),
                    method: request.method().clone(),
                    path: request.uri().path().to_owned(),
                };
                self.answering.answer(question).await
            }
            Err(ParseError::PayloadTooLarge) => HttpAnswer::status(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => HttpAnswer::status(StatusCode::BAD_REQUEST),
        };
        response.status_code(answer.status);
        let headers = response.headers_mut();
        if answer.is_json {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        }
        if let Some(time) = answer.retry_after {
            let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response.body(answer.body);
    }
}
