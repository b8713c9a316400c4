//! HTTP calls to workers.

use {
    crate::{CellError, Dialect, metrics::Metrics},
    fuchsiatack_jobs::{WorkerCallError, WorkerOrder, WorkerResponse},
    reqwest::{Client, StatusCode, header, redirect::Policy},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Longest time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait for the answer to an order. A check of the worker's lists settles what became of it.
const ORDER_LIMIT: Duration = Duration::from_millis(350);
/// Longest wait for the answer to a renewal, beyond the time that the worker itself waits.
const HOLD_LIMIT: Duration = Duration::from_millis(400);
/// Time after which an unused connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Unacknowledged bytes close a connection after this, so that a silent one is not used again.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Creates a client that keeps its connections.
pub(crate) fn http_client() -> Result<Client, CellError> {
    Client::builder()
        .connect_timeout(CONNECT_LIMIT)
        .no_proxy()
        .pool_idle_timeout(IDLE_LIMIT)
        // A redirect would run a task on a worker that nothing is counted on.
        .redirect(Policy::none())
        .tcp_nodelay(true)
        .tcp_user_timeout(SILENCE_LIMIT)
        .build()
        .map_err(|error| CellError::Client(error.to_string()))
}

/// Longest time that an order takes.
pub(crate) fn order_limit(order: &WorkerOrder) -> Duration {
    match order {
        WorkerOrder::Hold { wait_ms, .. } => HOLD_LIMIT + Duration::from_millis(*wait_ms),
        WorkerOrder::Start { .. } | WorkerOrder::Stop { .. } => ORDER_LIMIT,
    }
}

/// Client of workers.
pub(crate) struct WorkerCaller {
    client: Client,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
}

impl WorkerCaller {
    pub(crate) fn new(dialect: Arc<dyn Dialect>, metrics: Arc<Metrics>) -> Result<Self, CellError> {
        Ok(Self {
            client: http_client()?,
            dialect,
            metrics,
        })
    }

    /// Sends an order and waits for its answer.
    pub(crate) async fn call(&self, order: &WorkerOrder) -> WorkerResponse {
        let begin = Instant::now();
        let answer = self.send(order).await;
        let outcome = match &answer {
            Ok((status, _)) if status.is_success() => "ok",
            Ok(_) => "rejected",
            Err(error) => error.as_str(),
        };
        self.metrics.called(order.as_str(), outcome, begin.elapsed());
        match (answer, order) {
            (Err(error), order) => order.failed(error),
            (Ok((status, body)), WorkerOrder::Hold { .. }) => {
                WorkerResponse::Lists(self.dialect.hold_report(status, &body))
            }
            (Ok((status, body)), WorkerOrder::Start { .. } | WorkerOrder::Stop { .. }) => {
                WorkerResponse::Outcome(self.dialect.order_result(status, &body))
            }
        }
    }

    async fn send(&self, order: &WorkerOrder) -> Result<(StatusCode, Vec<u8>), WorkerCallError> {
        let request = self
            .dialect
            .worker_request(order)
            .ok_or(WorkerCallError::Unreachable)?;
        let sent = self
            .client
            .post(format!("http://{}{}", order.to().address, request.path))
            .timeout(order_limit(order))
            .header(header::CONTENT_TYPE, "application/json")
            .headers(request.headers)
            .body(request.body)
            .send()
            .await;
        match sent {
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
