//! Page of the metrics, on an address of its own.

use {
    crate::{
        CellError, HttpAnswer, HttpQuestion,
        http_server::{Answering, HttpServer},
        metrics::Metrics,
    },
    http::{Method, StatusCode},
    std::{net::SocketAddr, sync::Arc},
    tokio::task::JoinSet,
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics on an address of their own.
pub(crate) async fn serve_metrics(
    background: &mut JoinSet<()>,
    address: SocketAddr,
    metrics: Arc<Metrics>,
) -> Result<(), CellError> {
    const MAX_BODY_BYTES: usize = 1 << 10;
    let server = HttpServer::start(address, MAX_BODY_BYTES, Arc::new(MetricsPage { metrics })).await?;
    background.spawn(async move {
        // Dropping the handle would stop the server.
        let _server = server;
        std::future::pending::<()>().await;
    });
    Ok(())
}

struct MetricsPage {
    metrics: Arc<Metrics>,
}

impl Answering for MetricsPage {
    async fn answer(&self, question: HttpQuestion) -> HttpAnswer {
        match (question.method, question.path.as_str()) {
            (Method::GET, METRICS_PATH) => HttpAnswer {
                body: self.metrics.text().into(),
                ..HttpAnswer::status(StatusCode::OK)
            },
            _ => HttpAnswer::status(StatusCode::NOT_FOUND),
        }
    }
}
