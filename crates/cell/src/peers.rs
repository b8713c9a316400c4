//! Calls between daemons: requests for advice and worker orders that the leader delegates.

use {
    crate::{
        CallAges, CellSettings,
        advice_client::AdviceClient,
        log,
        worker_client::{WorkerClient, order_timeout},
    },
    fuchsiatack_consensus::Envelope,
    fuchsiatack_jobs::{
        AdviceError, AdviceRequest, AdviceResponse, CellCall, CellResponse, LogEvent, WorkerOrder,
        WorkerResponse,
    },
    fuchsiatack_store::{Store, steady_ms},
    fuchsiatack_wire::{
        CellSecret, Handler, NotLeader, PeerCaller, PeerClient, PeerClientSettings, Request, Response,
    },
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Longest wait for advice through another daemon. It exceeds that daemon's own wait for the service.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_500);

/// Longest wait for another member, in addition to the timeout of its call to the worker.
const FORWARD_MARGIN: Duration = Duration::from_millis(100);

/// Result of forwarding an order to another core member.
pub(crate) enum ForwardOutcome {
    /// The member did not call the worker; the order had no effect.
    NotExecuted,
    /// The member called the worker, with this response or failure.
    Responded(WorkerResponse),
    /// The member did not respond; the worker may have received the order.
    Unknown,
}

/// Clients of the other daemons, created on first use.
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, Arc<PeerClient>>>,
    secret: CellSecret,
    settings: PeerClientSettings,
}

impl Peers {
    pub(crate) fn new(settings: &CellSettings) -> Self {
        Self {
            clients: Mutex::default(),
            secret: settings.secret.clone(),
            settings: settings.peer_client.clone(),
        }
    }

    /// Requests advice through another daemon.
    pub(crate) async fn request_advice(
        &self,
        address: SocketAddr,
        request: AdviceRequest,
    ) -> Result<AdviceResponse, AdviceError> {
        let call = Request::Cell(Box::new(CellCall::Advise(request)));
        let response = self.client(address).call(call, ADVICE_TIMEOUT).await;
        match response {
            Ok(Response::Cell(response)) => match *response {
                CellResponse::Advice(advice) => Ok(advice),
                CellResponse::AdviceFailed(error) => Err(error),
                _ => Err(AdviceError::DaemonUnanswered),
            },
            Ok(_) | Err(_) => Err(AdviceError::DaemonUnanswered),
        }
    }

    /// Forwards an order to another core member, which calls the worker. `sent_ms` is the
    /// current value of `steady_ms`.
    pub(crate) async fn forward_order(
        &self,
        address: SocketAddr,
        order: WorkerOrder,
        sent_ms: u64,
    ) -> ForwardOutcome {
        let timeout = order_timeout(&order) + FORWARD_MARGIN;
        let order = Box::new(order);
        let call = Request::Cell(Box::new(CellCall::CallWorker { order, sent_ms }));
        match self.client(address).call(call, timeout).await {
            Ok(Response::Cell(response)) => match *response {
                CellResponse::Worker(response) => ForwardOutcome::Responded(*response),
                _ => ForwardOutcome::NotExecuted,
            },
            Ok(_) => ForwardOutcome::NotExecuted,
            Err(error) if error.had_no_effect() => ForwardOutcome::NotExecuted,
            Err(_) => ForwardOutcome::Unknown,
        }
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        self.clients
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(address)
            .or_insert_with(|| {
                let (secret, settings) = (self.secret.clone(), self.settings.clone());
                Arc::new(PeerClient::new(address, secret, settings, None))
            })
            .clone()
    }
}

/// Handles calls of other daemons.
pub(crate) struct PeerHandler {
    pub(crate) advice_client: Arc<AdviceClient>,
    pub(crate) call_ages: Mutex<CallAges>,
    /// Local store; `None` in the entry role.
    pub(crate) store: Option<Store>,
    /// Client of workers; `None` in the entry role.
    pub(crate) worker_client: Option<Arc<WorkerClient>>,
}

impl PeerHandler {
    async fn execute_order(&self, order: &WorkerOrder, sent_ms: u64) -> CellResponse {
        let is_recent = self
            .call_ages
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_recent(steady_ms(), order.to().fencing_token, sent_ms);
        match &self.worker_client {
            Some(worker_client) if is_recent => {
                CellResponse::Worker(Box::new(worker_client.call(order).await))
            }
            Some(_) => {
                log(LogEvent::new("stale worker call rejected")
                    .with("call", order.as_str())
                    .with("worker", &order.to().worker)
                    .with("fence", order.to().fencing_token));
                CellResponse::Failed(SmolStr::new_static("the call is too old"))
            }
            None => CellResponse::Failed(SmolStr::new_static("this daemon does not call workers")),
        }
    }
}

impl Handler for PeerHandler {
    async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        match (request, &self.store) {
            (Request::Cell(call), store) => match (*call, store) {
                (CellCall::Advise(request), _) => {
                    Response::Cell(Box::new(self.advice_client.advise_peer(&request).await))
                }
                (CellCall::CallWorker { order, sent_ms }, _) => {
                    Response::Cell(Box::new(self.execute_order(&order, sent_ms).await))
                }
                (call, Some(store)) => store.call(caller, Request::Cell(Box::new(call))).await,
                (_, None) => Response::NotLeader(NotLeader { leader: None }),
            },
            (request, Some(store)) => store.call(caller, request).await,
            (_, None) => Response::NotLeader(NotLeader { leader: None }),
        }
    }

    fn handle_consensus(&self, envelope: Envelope) {
        if let Some(store) = &self.store {
            store.handle_consensus(envelope);
        }
    }
}
