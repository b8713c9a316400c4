//! Questions to the advice service, on behalf of the leader.

use {
    crate::{CellError, Dialect, metrics::Metrics, worker_caller::http_client},
    fuchsiatack_jobs::{AdviceRequest, AdviceResponse, CellResponse},
    reqwest::{Client, header},
    smol_str::SmolStr,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest wait for an answer. The service answers in turn, so that a slow question may wait
/// behind others.
const ADVICE_LIMIT: Duration = Duration::from_secs(5);

/// Client of the advice service.
pub(crate) struct Adviser {
    address: Option<SocketAddr>,
    client: Client,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
}

impl Adviser {
    pub(crate) fn new(
        address: Option<SocketAddr>,
        dialect: Arc<dyn Dialect>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, CellError> {
        Ok(Self {
            address,
            client: http_client()?,
            dialect,
            metrics,
        })
    }

    /// Asks the service; `None` if it did not answer or refused.
    pub(crate) async fn ask(&self, request: &AdviceRequest) -> Option<AdviceResponse> {
        let address = self.address?;
        let begin = Instant::now();
        let question = self.dialect.advice_request(request);
        let response = self
            .client
            .post(format!("http://{address}{}", question.path))
            .timeout(ADVICE_LIMIT)
            .header(header::CONTENT_TYPE, "application/json")
            .headers(question.headers)
            .body(question.body)
            .send()
            .await;
        let reply = match response {
            Ok(response) => {
                let status = response.status();
                let body = response.bytes().await.unwrap_or_default();
                self.dialect.advice_reply(status, &body)
            }
            Err(_) => None,
        };
        let outcome = if reply.is_some() { "ok" } else { "failed" };
        self.metrics.called("advice", outcome, begin.elapsed());
        reply
    }

    /// Asks the service for another daemon.
    pub(crate) async fn answer(&self, request: &AdviceRequest) -> CellResponse {
        match self.ask(request).await {
            Some(reply) => CellResponse::Advice(reply),
            None => CellResponse::Failed(SmolStr::new_static("the advice service did not answer")),
        }
    }
}
