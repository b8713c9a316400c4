//! Calls between daemons on behalf of the leader.

use {
    crate::{
        CallAges, CellSettings,
        adviser::Adviser,
        log,
        worker_caller::{WorkerCaller, order_limit},
    },
    fuchsiatack_consensus::Envelope,
    fuchsiatack_jobs::{
        AdviceRequest, AdviceResponse, CellCall, CellResponse, LogEvent, WorkerOrder, WorkerResponse,
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

/// Longest wait for another daemon's answer; longer than its own wait for the advice service.
const ADVICE_LIMIT: Duration = Duration::from_millis(5_500);

/// Wait for a member beyond the time that its call to the worker takes.
const CARRY_MARGIN: Duration = Duration::from_millis(100);

/// What became of an order that another member was to carry out.
pub(crate) enum Carried {
    /// It had no effect.
    NotSent,
    /// The member has called the worker.
    Replied(WorkerResponse),
    /// The member did not answer; the worker may have got the order.
    Unknown,
}

/// Connections to other daemons.
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
            settings: settings.peer_times.clone(),
        }
    }

    /// Has another daemon ask the advice service; `None` if there was no answer.
    pub(crate) async fn advise(&self, address: SocketAddr, request: AdviceRequest) -> Option<AdviceResponse> {
        let call = Request::Cell(Box::new(CellCall::Advise(request)));
        let answer = self.client(address).call(call, ADVICE_LIMIT).await;
        match answer {
            Ok(Response::Cell(answer)) => match *answer {
                CellResponse::Advice(reply) => Some(reply),
                _ => None,
            },
            Ok(_) | Err(_) => None,
        }
    }

    /// Has another core member call a worker.
    pub(crate) async fn carry(&self, address: SocketAddr, order: WorkerOrder, sent_ms: u64) -> Carried {
        let limit = order_limit(&order) + CARRY_MARGIN;
        let order = Box::new(order);
        let call = Request::Cell(Box::new(CellCall::CallWorker { order, sent_ms }));
        match self.client(address).call(call, limit).await {
            Ok(Response::Cell(answer)) => match *answer {
                CellResponse::Worker(reply) => Carried::Replied(*reply),
                _ => Carried::NotSent,
            },
            Ok(_) => Carried::NotSent,
            Err(error) if error.had_no_effect() => Carried::NotSent,
            Err(_) => Carried::Unknown,
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

/// Answers calls of other daemons.
pub(crate) struct PeerHandler {
    pub(crate) adviser: Arc<Adviser>,
    pub(crate) ages: Mutex<CallAges>,
    /// Set on core members.
    pub(crate) caller: Option<Arc<WorkerCaller>>,
    pub(crate) store: Option<Store>,
}

impl PeerHandler {
    async fn carry(&self, order: &WorkerOrder, sent_ms: u64) -> CellResponse {
        let is_recent = self
            .ages
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_recent(steady_ms(), order.to().fencing_token, sent_ms);
        match &self.caller {
            Some(caller) if is_recent => CellResponse::Worker(Box::new(caller.call(order).await)),
            Some(_) => {
                log(LogEvent::new("call for the leader refused as too old")
                    .with("call", order.as_str())
                    .with("worker", &order.to().worker)
                    .with("fence", order.to().fencing_token));
                CellResponse::Failed(SmolStr::new_static("the call was held up"))
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
                    Response::Cell(Box::new(self.adviser.answer(&request).await))
                }
                (CellCall::CallWorker { order, sent_ms }, _) => {
                    Response::Cell(Box::new(self.carry(&order, sent_ms).await))
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
