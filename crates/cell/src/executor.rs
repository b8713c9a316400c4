//! Carries out the effects of the planner.

use {
    crate::{CellError, Dialect, adviser::Adviser, metrics::Metrics, peers::Peers},
    fuchsiatack_jobs::{AdviceRequest, Callee, Effect, JobEvent, WorkerCallError},
    fuchsiatack_store::Store,
    reqwest::{Client, StatusCode, header, redirect::Policy},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::UnboundedReceiver,
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

/// Speaks to workers and to the advice service.
pub(crate) struct Executor {
    pub(crate) adviser: Arc<Adviser>,
    pub(crate) client: Client,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Peers,
    pub(crate) store: Store,
}

impl Executor {
    /// Carries out effects until there are no more.
    pub(crate) async fn run(self, mut effects: UnboundedReceiver<Effect>) {
        let executor = Arc::new(self);
        while let Some(effect) = effects.recv().await {
            let executor = executor.clone();
            tokio::spawn(async move {
                if let Some(event) = executor.carry_out(effect).await {
                    executor.store.report(event).await;
                }
            });
        }
    }

    async fn carry_out(&self, effect: Effect) -> Option<JobEvent> {
        match effect {
            Effect::Advise { by, request } => Some(self.advise(by, request).await),
            // The store answers calls by itself.
            Effect::Answer { .. } => None,
            Effect::Hold {
                kind,
                ref to,
                wait_ms,
                ..
            } => {
                let sent_ms = fuchsiatack_store::steady_ms();
                let limit = HOLD_LIMIT + Duration::from_millis(wait_ms);
                let answer = self.order("hold", to, &effect, limit).await;
                let result = answer.and_then(|(status, body)| self.dialect.hold_report(status, &body));
                Some(JobEvent::Held {
                    kind,
                    result,
                    sent_ms,
                    worker: to.worker.clone(),
                })
            }
            Effect::Start { ref to, run, .. } => {
                let answer = self.order("start", to, &effect, ORDER_LIMIT).await;
                Some(JobEvent::Started {
                    result: answer.and_then(|(status, body)| self.dialect.order_result(status, &body)),
                    run,
                    worker: to.worker.clone(),
                })
            }
            Effect::Stop { ref to, run } => {
                let answer = self.order("stop", to, &effect, ORDER_LIMIT).await;
                Some(JobEvent::Stopped {
                    result: answer.and_then(|(status, body)| self.dialect.order_result(status, &body)),
                    run,
                    worker: to.worker.clone(),
                })
            }
        }
    }

    async fn advise(&self, by: Option<SocketAddr>, request: AdviceRequest) -> JobEvent {
        let step = request.step;
        let reply = match by {
            None => self.adviser.ask(&request).await,
            Some(address) => self.peers.advise(address, request).await,
        };
        JobEvent::Advised { by, reply, step }
    }

    async fn order(
        &self,
        call: &'static str,
        to: &Callee,
        effect: &Effect,
        limit: Duration,
    ) -> Result<(StatusCode, Vec<u8>), WorkerCallError> {
        let request = self
            .dialect
            .worker_request(effect)
            .ok_or(WorkerCallError::Unreachable)?;
        let begin = Instant::now();
        let sent = self
            .client
            .post(format!("http://{}{}", to.address, request.path))
            .timeout(limit)
            .header(header::CONTENT_TYPE, "application/json")
            .headers(request.headers)
            .body(request.body)
            .send()
            .await;
        let answer = match sent {
            Ok(response) => {
                let status = response.status();
                let body = response.bytes().await;
                body.map(|body| (status, body.to_vec()))
                    .map_err(|_| WorkerCallError::Unanswered)
            }
            Err(error) if error.is_connect() => Err(WorkerCallError::Unreachable),
            Err(_) => Err(WorkerCallError::Unanswered),
        };
        let outcome = match &answer {
            Ok((status, _)) if status.is_success() => "ok",
            Ok(_) => "rejected",
            Err(error) => error.as_str(),
        };
        self.metrics.called(call, outcome, begin.elapsed());
        answer
    }
}
