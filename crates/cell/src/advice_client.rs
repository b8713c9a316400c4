//! HTTP client of the advice service.

use {
    crate::{CellError, HttpCodec, metrics::Metrics, worker_client::http_client},
    fuchsiatack_jobs::{AdviceRequest, AdviceResponse, CellResponse},
    reqwest::{Client, header},
    smol_str::SmolStr,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest wait for a response. The service handles requests one after another, so a request may
/// queue behind slow ones.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the advice service. Without an address, every request returns `None` at once.
pub(crate) struct AdviceClient {
    address: Option<SocketAddr>,
    client: Client,
    codec: Arc<dyn HttpCodec>,
    metrics: Arc<Metrics>,
}

impl AdviceClient {
    pub(crate) fn new(
        address: Option<SocketAddr>,
        codec: Arc<dyn HttpCodec>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, CellError> {
        Ok(Self {
            address,
            client: http_client()?,
            codec,
            metrics,
        })
    }

    /// Requests advice. Returns `None` if no service is configured, or if it did not respond in time or
    /// rejected the request.
    pub(crate) async fn request_advice(&self, request: &AdviceRequest) -> Option<AdviceResponse> {
        let address = self.address?;
        let started_at = Instant::now();
        let http_request = self.codec.encode_advice_request(request);
        let response = self
            .client
            .post(format!("http://{address}{}", http_request.path))
            .timeout(ADVICE_TIMEOUT)
            .header(header::CONTENT_TYPE, "application/json")
            .headers(http_request.headers)
            .body(http_request.body)
            .send()
            .await;
        let advice = match response {
            Ok(response) => {
                let status = response.status();
                let body = response.bytes().await.unwrap_or_default();
                self.codec.decode_advice_response(status, &body)
            }
            Err(_) => None,
        };
        let outcome = if advice.is_some() { "ok" } else { "failed" };
        self.metrics.record_call("advice", outcome, started_at.elapsed());
        advice
    }

    /// Requests advice on behalf of another daemon.
    pub(crate) async fn advise_peer(&self, request: &AdviceRequest) -> CellResponse {
        match self.request_advice(request).await {
            Some(advice) => CellResponse::Advice(advice),
            None => CellResponse::Failed(SmolStr::new_static("the advice service did not answer")),
        }
    }
}
