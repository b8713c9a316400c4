//! HTTP endpoint that serves the metrics.

use {
    crate::{
        CellError, HttpRequest, HttpResponse,
        http_server::{HttpServer, RequestHandler},
        metrics::Metrics,
    },
    http::{Method, StatusCode},
    std::{net::SocketAddr, sync::Arc},
    tokio::task::JoinSet,
};

const METRICS_PATH: &str = "/metrics";

/// Serves the metrics on a separate address, as a task in `background`.
pub(crate) async fn serve_metrics(
    background: &mut JoinSet<()>,
    address: SocketAddr,
    metrics: Arc<Metrics>,
) -> Result<(), CellError> {
    const MAX_BODY_BYTES: usize = 1 << 10;
    let server = HttpServer::start(address, MAX_BODY_BYTES, Arc::new(MetricsHandler { metrics })).await?;
    background.spawn(async move {
        // Dropping the handle would stop the server.
        let _server = server;
        std::future::pending::<()>().await;
    });
    Ok(())
}

struct MetricsHandler {
    metrics: Arc<Metrics>,
}

impl RequestHandler for MetricsHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        match (request.method, request.path.as_str()) {
            (Method::GET, METRICS_PATH) => HttpResponse {
                body: self.metrics.encode_text().into(),
                ..HttpResponse::status(StatusCode::OK)
            },
            _ => HttpResponse::status(StatusCode::NOT_FOUND),
        }
    }
}
