//! Handles calls of other daemons on the peer port.

use {
    crate::{
        engine_handle::RequestContent, forward_watch::ask_engine, job::JobClass, run_response::RunResponse,
        shared::Shared, store_role::StoreRole,
    },
    fuchsiatack_consensus::Envelope,
    fuchsiatack_model::Refusal,
    fuchsiatack_wire::{ForwardedRequest, Handler, PeerCaller, Request, Response},
    opentelemetry::trace::SpanKind,
    std::{
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after which a forwarded request that this daemon refused may be retried elsewhere, in milliseconds.
const RETRY_AFTER_MS: u32 = 100;

/// Handler of the peer port. Forwarded requests are refused until `shared` is set.
pub(crate) struct PeerHandler {
    shared: Arc<OnceLock<Arc<Shared>>>,
    store: StoreRole,
}

impl PeerHandler {
    pub(crate) fn new(store: StoreRole, shared: Arc<OnceLock<Arc<Shared>>>) -> Self {
        Self { shared, store }
    }
}

impl Handler for PeerHandler {
    async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        match request {
            Request::Forward(request) => {
                let response = match self.shared.get() {
                    Some(shared) => run(shared, *request).await,
                    None => RunResponse::not_run(Refusal::LeaseLapsed, RETRY_AFTER_MS),
                };
                Response::Forwarded(Box::new(response.into()))
            }
            Request::WorkersFreeOf { sessions } => {
                let workers = match self.shared.get() {
                    Some(shared) => ask_engine(shared, sessions).await,
                    None => Vec::new(),
                };
                Response::WorkersFreeOf(workers)
            }
            request => self.store.call(caller, request).await,
        }
    }

    fn handle_consensus(&self, envelope: Envelope) {
        self.store.handle_consensus(envelope);
    }
}

async fn run(shared: &Shared, request: ForwardedRequest) -> RunResponse {
    if shared.stopping.is_refusing() {
        return RunResponse::not_run(Refusal::Stopping, RETRY_AFTER_MS);
    }
    let _open = shared.open_requests.enter();
    let span = shared.traces.start_span(
        "receive forwarded",
        SpanKind::Server,
        request.trace_parent.as_ref(),
    );
    let class = JobClass {
        deadline: request
            .deadline_ms
            .map(|left_ms| Instant::now() + Duration::from_millis(left_ms)),
        may_forward: false,
        queue: None,
        session: None,
        task_class: request.class,
        team: request.team,
    };
    let content = RequestContent {
        body: request.body.into(),
        content_type: request.content_type,
        request: request.request,
        trace_parent: span.trace_parent(),
    };
    shared.engine.run(class, content).await
}
