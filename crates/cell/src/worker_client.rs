//! HTTP client of the workers.

use {
    crate::{CellError, HttpCodec, metrics::Metrics},
    fuchsiatack_jobs::{WorkerCallError, WorkerOrder, WorkerResponse},
    reqwest::{Client, StatusCode, header, redirect::Policy},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the response to a start, stop or pace order. After a timeout, the worker's response to a
/// hold order shows whether the order was executed.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for the response to a hold order, in addition to the time that the worker itself waits.
const HOLD_MARGIN: Duration = Duration::from_millis(400);
/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a connection with unacknowledged data is closed, so that a dead one is not reused.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Creates an HTTP client that reuses connections and follows no redirects.
pub(crate) fn http_client() -> Result<Client, CellError> {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        // A redirect could run a task on a worker whose capacity does not account for it.
        .redirect(Policy::none())
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .build()
        .map_err(|error| CellError::Client(error.to_string()))
}

/// Returns the timeout of an order.
pub(crate) fn order_timeout(order: &WorkerOrder) -> Duration {
    match order {
        WorkerOrder::Hold { wait_ms, .. } => HOLD_MARGIN + Duration::from_millis(*wait_ms),
        WorkerOrder::Pace { .. } | WorkerOrder::Start { .. } | WorkerOrder::Stop { .. } => ORDER_TIMEOUT,
    }
}

/// HTTP client of the workers, which counts calls by outcome.
pub(crate) struct WorkerClient {
    client: Client,
    codec: Arc<dyn HttpCodec>,
    metrics: Arc<Metrics>,
}

impl WorkerClient {
    pub(crate) fn new(codec: Arc<dyn HttpCodec>, metrics: Arc<Metrics>) -> Result<Self, CellError> {
        Ok(Self {
            client: http_client()?,
            codec,
            metrics,
        })
    }

    /// Sends an order to its worker and decodes the response. Transport errors are part of the result.
    pub(crate) async fn call(&self, order: &WorkerOrder) -> WorkerResponse {
        let started_at = Instant::now();
        let response = self.send(order).await;
        let outcome = match &response {
            Ok((status, _)) if status.is_success() => "ok",
            Ok(_) => "rejected",
            Err(error) => error.as_str(),
        };
        self.metrics
            .record_call(order.as_str(), outcome, started_at.elapsed());
        match (response, order) {
            (Err(error), order) => order.failed(error),
            (Ok((status, body)), WorkerOrder::Hold { .. }) => {
                WorkerResponse::Report(self.codec.decode_hold_response(status, &body))
            }
            (
                Ok((status, body)),
                WorkerOrder::Pace { .. } | WorkerOrder::Start { .. } | WorkerOrder::Stop { .. },
            ) => WorkerResponse::Outcome(self.codec.decode_order_response(status, &body)),
        }
    }

    async fn send(&self, order: &WorkerOrder) -> Result<(StatusCode, Vec<u8>), WorkerCallError> {
        let request = self
            .codec
            .encode_worker_request(order)
            .ok_or(WorkerCallError::Unreachable)?;
        let response = self
            .client
            .post(format!("http://{}{}", order.to().address, request.path))
            .timeout(order_timeout(order))
            .header(header::CONTENT_TYPE, "application/json")
            .headers(request.headers)
            .body(request.body)
            .send()
            .await;
        match response {
            Ok(response) => {
                let status = response.status();
                let body = response.bytes().await;
                body.map(|body| (status, body.to_vec()))
                    .map_err(|_| WorkerCallError::Unanswered)
            }
            Err(error) if error.is_connect() => Err(WorkerCallError::Unreachable),
            Err(_) => Err(WorkerCallError::Unanswered),
        }
    }
}
