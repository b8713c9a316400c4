//! HTTP client of the advice service.

use {
    crate::{CellError, HttpCodec, metrics::Metrics, worker_client::http_client},
    fuchsiatack_jobs::{AdviceError, AdviceRequest, AdviceResponse, CellResponse},
    reqwest::{Client, header},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest wait for a response. The service handles requests one after another, so a request may
/// queue behind slow ones.
const ADVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the advice service. Without an address, every request fails at once.
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

    /// Requests advice.
    pub(crate) async fn request_advice(
        &self,
        request: &AdviceRequest,
    ) -> Result<AdviceResponse, AdviceError> {
        let address = self.address.ok_or(AdviceError::NotConfigured)?;
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
                match response.bytes().await {
                    Ok(body) => self.codec.decode_advice_response(status, &body),
                    Err(_) => Err(AdviceError::Unanswered),
                }
            }
            Err(error) if error.is_connect() => Err(AdviceError::Unreachable),
            Err(_) => Err(AdviceError::Unanswered),
        };
        let outcome = advice.as_ref().err().map_or("ok", |error| error.as_str());
        self.metrics.record_call("advice", outcome, started_at.elapsed());
        advice
    }

    /// Requests advice on behalf of another daemon.
    pub(crate) async fn advise_peer(&self, request: &AdviceRequest) -> CellResponse {
        match self.request_advice(request).await {
            Ok(advice) => CellResponse::Advice(advice),
            Err(error) => CellResponse::AdviceFailed(error),
        }
    }
}
