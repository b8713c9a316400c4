//! Carries out the effects of the planner.

use {
    crate::{
        adviser::Adviser,
        log,
        peers::{Carried, Peers},
        routes::Routes,
        worker_caller::WorkerCaller,
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

/// Period in which the list of core members is taken over.
const MEMBERS_PERIOD: Duration = Duration::from_secs(1);

/// Speaks to workers and to the advice service.
pub(crate) struct Executor {
    pub(crate) adviser: Arc<Adviser>,
    pub(crate) caller: Arc<WorkerCaller>,
    pub(crate) peers: Peers,
    pub(crate) routes: Mutex<Routes>,
    pub(crate) store: Store,
}

impl Executor {
    /// Carries out effects until there are no more.
    pub(crate) async fn run(self, mut effects: UnboundedReceiver<Effect>) {
        let executor = Arc::new(self);
        let followed = executor.clone();
        let members = tokio::spawn(async move { followed.follow_members().await });
        while let Some(effect) = effects.recv().await {
            let executor = executor.clone();
            tokio::spawn(async move {
                if let Some(event) = executor.carry_out(effect).await {
                    executor.store.report(event).await;
                }
            });
        }
        members.abort();
    }

    async fn follow_members(&self) {
        loop {
            let members = self.store.status().members;
            let addresses = members.into_iter().map(|member| member.address);
            self.routes().set_members(addresses);
            sleep(MEMBERS_PERIOD).await;
        }
    }

    fn routes(&self) -> MutexGuard<'_, Routes> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn carry_out(&self, effect: Effect) -> Option<JobEvent> {
        match effect {
            Effect::Advise { by, request } => Some(self.advise(by, request).await),
            // The store answers calls by itself.
            Effect::Respond { .. } => None,
            Effect::Order(order) => {
                let sent_ms = steady_ms();
                let reply = self.order(&order, sent_ms).await;
                Some(order.event(sent_ms, reply))
            }
        }
    }

    async fn advise(&self, by: Option<SocketAddr>, request: AdviceRequest) -> JobEvent {
        let step = request.step;
        let reply = match by {
            None => self.adviser.ask(&request).await,
            Some(address) => self.peers.advise(address, request).await,
        };
        JobEvent::Advised {
            by,
            response: reply,
            step,
        }
    }

    /// Calls a worker, itself or through another core member.
    async fn order(&self, order: &WorkerOrder, now_ms: u64) -> WorkerResponse {
        let member = self.routes().choose(now_ms, &order.to().worker);
        let Some(member) = member else {
            return self.caller.call(order).await;
        };
        match self.peers.carry(member, order.clone(), now_ms).await {
            Carried::Replied(reply) => {
                if self.routes().member_answered(steady_ms(), member) {
                    log(LogEvent::new("calls go through a core member again").with("member", member));
                }
                if is_silent(&reply) {
                    self.routes().worker_failed(steady_ms(), &order.to().worker);
                }
                reply
            }
            Carried::NotSent => {
                let is_new = self.routes().member_failed(steady_ms(), member);
                note_pause(is_new, member, "not reached");
                self.caller.call(order).await
            }
            Carried::Unknown => {
                let is_new = self.routes().member_unanswered(steady_ms(), now_ms, member);
                note_pause(is_new, member, "no answer");
                order.failed(WorkerCallError::Unanswered)
            }
        }
    }
}

fn note_pause(is_new: bool, member: SocketAddr, reason: &str) {
    if is_new {
        log(LogEvent::new("calls no longer go through a core member")
            .with("member", member)
            .with("reason", reason));
    }
}

/// Returns whether the worker did not answer the member that called it.
fn is_silent(reply: &WorkerResponse) -> bool {
    let error = match reply {
        WorkerResponse::Lists(result) => result.as_ref().err(),
        WorkerResponse::Outcome(result) => result.as_ref().err(),
    };
    matches!(
        error,
        Some(WorkerCallError::Unanswered | WorkerCallError::Unreachable)
    )
}
