//! HTTP server of the stubs. Requests and responses have complete JSON bodies.

use {
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router, Server, conn::tcp::TcpAcceptor, http::StatusCode,
    },
    serde_json::Value,
    std::{future::Future, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::AbortHandle},
};

/// Status and body of a response. `None` sends no response and leaves the connection open.
pub(crate) type StubResponse = Option<(u16, Value)>;

/// A service that handles HTTP requests in place of a real one.
pub(crate) trait StubService: Send + Sync + 'static {
    /// Handles a request. The body is null if it is absent or not JSON.
    fn respond(&self, path: String, body: Value) -> impl Future<Output = StubResponse> + Send;
}

struct StubHandler<S>(Arc<S>);

#[salvo::async_trait]
impl<S: StubService> Handler for StubHandler<S> {
    async fn handle(&self, request: &mut Request, _: &mut Depot, response: &mut Response, _: &mut FlowCtrl) {
        let path = request.uri().path().to_owned();
        let body = request
            .payload()
            .await
            .map(|body| serde_json::from_slice(body).unwrap_or_default());
        match self.0.respond(path, body.unwrap_or_default()).await {
            Some((status, body)) => {
                response
                    .status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
                response.body(body.to_string());
            }
            // The client's own timeout ends the request.
            None => std::future::pending().await,
        }
    }
}

/// Serves requests to an address until the handle is aborted. Returns `None` if the address cannot be bound.
pub(crate) async fn serve(address: SocketAddr, service: Arc<impl StubService>) -> Option<AbortHandle> {
    let listener = TcpListener::bind(address).await.ok()?;
    let acceptor = TcpAcceptor::try_from(listener).ok()?;
    let router = Router::with_path("{**path}").goal(StubHandler(service));
    let task = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    Some(task.abort_handle())
}
