//! Executes the planner's effects: calls workers and the advice service, and reports the results.

use {
    crate::{
        advice_client::AdviceClient,
        log,
        peers::{ForwardOutcome, Peers},
        routes::Routes,
        worker_client::WorkerClient,
    },
    fuchsiatack_jobs::{
        AdviceRequest, Effect, JobEvent, LogEvent, WorkerCallError, WorkerOrder, WorkerResponse,
    },
    fuchsiatack_store::{Store, steady_ms},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::mpsc::UnboundedReceiver, time::sleep},
};

/// Interval at which the list of core members is read from the store.
const MEMBER_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Executes effects, directly or through other daemons.
pub(crate) struct Executor {
    pub(crate) advice_client: Arc<AdviceClient>,
    pub(crate) peers: Peers,
    pub(crate) routes: Mutex<Routes>,
    pub(crate) store: Store,
    pub(crate) worker_client: Arc<WorkerClient>,
}

impl Executor {
    /// Executes effects concurrently until the channel closes.
    pub(crate) async fn run(self, mut effects: UnboundedReceiver<Effect>) {
        let executor = Arc::new(self);
        let poller = executor.clone();
        let members = tokio::spawn(async move { poller.poll_members().await });
        while let Some(effect) = effects.recv().await {
            let executor = executor.clone();
            tokio::spawn(async move {
                if let Some(event) = executor.execute(effect).await {
                    executor.store.report(event).await;
                }
            });
        }
        members.abort();
    }

    async fn poll_members(&self) {
        loop {
            let members = self.store.status().members;
            let addresses = members.into_iter().map(|member| member.address);
            self.routes().set_members(addresses);
            sleep(MEMBER_POLL_PERIOD).await;
        }
    }

    fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, effect: Effect) -> Option<JobEvent> {
        match effect {
            Effect::Advise { by, request } => Some(self.request_advice(by, request).await),
            // The store sends these responses itself.
            Effect::Respond { .. } => None,
            Effect::Order(order) => {
                let sent_ms = steady_ms();
                let response = self.send_order(&order, sent_ms).await;
                Some(order.event(sent_ms, response))
            }
        }
    }

    async fn request_advice(&self, by: Option<SocketAddr>, request: AdviceRequest) -> JobEvent {
        let step = request.step;
        let response = match by {
            None => self.advice_client.request_advice(&request).await,
            Some(address) => self.peers.request_advice(address, request).await,
        };
        JobEvent::Advised { by, response, step }
    }

    /// Sends an order to a worker, directly or through another core member.
    async fn send_order(&self, order: &WorkerOrder, sent_ms: u64) -> WorkerResponse {
        let member = match order {
            // Core members of earlier builds do not know this order.
            WorkerOrder::Pace { .. } => None,
            WorkerOrder::Hold { .. } | WorkerOrder::Start { .. } | WorkerOrder::Stop { .. } => {
                let responsive = self.store.responsive_members();
                self.routes().choose(sent_ms, &order.to().worker, &responsive)
            }
        };
        let Some(member) = member else {
            return self.worker_client.call(order).await;
        };
        match self.peers.forward_order(member, order.clone(), sent_ms).await {
            ForwardOutcome::Responded(response) => {
                if self.routes().member_answered(steady_ms(), member) {
                    log(LogEvent::new("worker calls through core member resumed").with("member", member));
                }
                if is_unanswered(&response) {
                    self.routes().worker_failed(steady_ms(), &order.to().worker);
                }
                response
            }
            ForwardOutcome::NotExecuted => {
                let is_newly_paused = self.routes().member_failed(steady_ms(), member);
                log_pause(is_newly_paused, member, "order not executed");
                self.worker_client.call(order).await
            }
            ForwardOutcome::Unknown => {
                let is_newly_paused = self.routes().member_unanswered(steady_ms(), sent_ms, member);
                log_pause(is_newly_paused, member, "no answer");
                order.failed(WorkerCallError::Unanswered)
            }
        }
    }
}

fn log_pause(is_newly_paused: bool, member: SocketAddr, reason: &str) {
    if is_newly_paused {
        log(LogEvent::new("worker calls through core member paused")
            .with("member", member)
            .with("reason", reason));
    }
}

/// Returns whether the core member got no response from the worker.
fn is_unanswered(response: &WorkerResponse) -> bool {
    let error = match response {
        WorkerResponse::Report(result) => result.as_ref().err(),
        WorkerResponse::Outcome(result) => result.as_ref().err(),
    };
    matches!(
        error,
        Some(WorkerCallError::Unanswered | WorkerCallError::Unreachable)
    )
}
