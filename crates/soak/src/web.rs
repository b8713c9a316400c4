//! HTTP servers of the stand-ins: whole JSON bodies in and out.

use {
    salvo::{
        Depot, FlowCtrl, Handler, Request, Response, Router, Server, conn::tcp::TcpAcceptor, http::StatusCode,
    },
    serde_json::Value,
    std::{future::Future, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::AbortHandle},
};

/// An answer: status and body. `None` breaks the connection off without an answer.
pub(crate) type Reply = Option<(u16, Value)>;

pub(crate) trait Stand: Send + Sync + 'static {
    /// Answers a request.
    fn reply(&self, path: String, body: Value) -> impl Future<Output = Reply> + Send;
}

struct Goal<S>(Arc<S>);

#[salvo::async_trait]
impl<S: Stand> Handler for Goal<S> {
    async fn handle(&self, request: &mut Request, _: &mut Depot, response: &mut Response, _: &mut FlowCtrl) {
        let path = request.uri().path().to_owned();
        let body = request
            .payload()
            .await
            .map(|body| serde_json::from_slice(body).unwrap_or_default());
        match self.0.reply(path, body.unwrap_or_default()).await {
            Some((status, body)) => {
                response
                    .status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
                response.body(body.to_string());
            }
            // The caller's own timeout ends the call.
            None => std::future::pending().await,
        }
    }
}

/// Serves an address until the handle is aborted.
pub(crate) async fn serve(address: SocketAddr, stand: Arc<impl Stand>) -> Option<AbortHandle> {
    let listener = TcpListener::bind(address).await.ok()?;
    let acceptor = TcpAcceptor::try_from(listener).ok()?;
    let router = Router::with_path("{**path}").goal(Goal(stand));
    let task = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    Some(task.abort_handle())
}
