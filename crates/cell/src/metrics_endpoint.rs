//! HTTP endpoint that serves the metrics.

use {
    crate::{
        CellError, HttpRequest, HttpResponse,
        client_limits::ClientLimitObserver,
        http_server::{BodyRule, HttpServer, RequestHandler},
        metrics::Metrics,
    },
    fuchsiatack_http::HttpLimits,
    http::{Method, StatusCode},
    std::{net::SocketAddr, sync::Arc},
    tokio::task::JoinSet,
};

const METRICS_PATH: &str = "/metrics";

/// Serves the metrics on a separate address, as a task in `background`.
pub(crate) async fn serve_metrics(
    background: &mut JoinSet<()>,
    address: SocketAddr,
    limits: HttpLimits,
    metrics: Arc<Metrics>,
) -> Result<(), CellError> {
    let observer = ClientLimitObserver {
        address: "metrics",
        metrics: metrics.clone(),
    };
    let handler = Arc::new(MetricsHandler { metrics });
    let server = HttpServer::start(address, limits, observer, handler).await?;
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
    fn body_rule(&self, _head: &HttpRequest) -> Result<BodyRule, HttpResponse> {
        Ok(BodyRule::Ignore)
    }

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
