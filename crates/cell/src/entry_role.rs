//! The entry role: takes callers' requests and hands them to the leader.

use {
    crate::{
        CellError, Dialect, EntrySettings, HttpAnswer, HttpQuestion,
        adviser::Adviser,
        cell_port::CellPort,
        http_server::{Answering, HttpServer},
        leader_wait::limits_of_call,
        log,
        metrics::Metrics,
        metrics_page::serve_metrics,
        peers::PeerHandler,
    },
    fuchsiatack_jobs::{CellCall, CellResponse, EntryReport, JobAction, JobCall, JobResponse, LogEvent},
    fuchsiatack_session::{CallLimits, SessionError},
    fuchsiatack_wire::PeerServer,
    http::StatusCode,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Period in which the daemon announces itself to the leader.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(600);
/// Longest wait for the answer to an announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(1_200);
/// Time without an answered announcement after which no more callers are to be sent here. It spans
/// an election, in which calls wait for the new leader.
const READY_LIMIT: Duration = Duration::from_millis(4_000);
/// When a caller may come back that found no leader.
const NO_LEADER_RETRY: Duration = Duration::from_secs(1);
/// Time for which requests are still taken after a planned stop began. The balancer notices it
/// within this time.
const DRAIN_TIME: Duration = Duration::from_millis(3_200);

struct Shared {
    begin: Instant,
    configured: AtomicBool,
    dialect: Arc<dyn Dialect>,
    /// Milliseconds from `begin` to the last answered announcement, plus one; 0 for none.
    heard_ms: AtomicU64,
    metrics: Arc<Metrics>,
    port: CellPort,
    settings: EntrySettings,
    stopping: AtomicBool,
}

/// A running daemon with the entry role.
pub struct EntryRole {
    background: JoinSet<()>,
    callers: HttpServer,
    ready: HttpServer,
    shared: Arc<Shared>,
}

impl EntryRole {
    /// Starts the role. Must be called in a tokio runtime.
    pub async fn start(settings: EntrySettings, dialect: Arc<dyn Dialect>) -> Result<Self, CellError> {
        let metrics = Arc::new(Metrics::new());
        let server = PeerServer::bind(settings.cell.peer, settings.cell.secret.clone()).await?;
        let adviser = Adviser::new(settings.cell.advice, dialect.clone(), metrics.clone())?;
        let handler = Arc::new(PeerHandler {
            adviser: Arc::new(adviser),
            ages: Mutex::default(),
            caller: None,
            store: None,
        });
        let shared = Arc::new(Shared {
            begin: Instant::now(),
            configured: AtomicBool::new(false),
            dialect,
            heard_ms: AtomicU64::new(0),
            metrics: metrics.clone(),
            port: CellPort {
                client: settings.cell.client(),
                store: None,
            },
            settings,
            stopping: AtomicBool::new(false),
        });
        let mut background = JoinSet::new();
        background.spawn(server.serve(handler));
        background.spawn(announce(shared.clone()));
        let cell = &shared.settings.cell;
        let callers = Callers {
            shared: shared.clone(),
        };
        let readiness = Readiness {
            shared: shared.clone(),
        };
        let callers =
            HttpServer::start(shared.settings.callers, cell.max_body_bytes, Arc::new(callers)).await?;
        let ready =
            HttpServer::start(shared.settings.ready, cell.max_body_bytes, Arc::new(readiness)).await?;
        serve_metrics(&mut background, cell.metrics, metrics).await?;
        Ok(Self {
            background,
            callers,
            ready,
            shared,
        })
    }

    /// Stops as planned: readiness ends at once, requests are taken until the balancer has noticed
    /// it, and what has arrived is answered.
    pub async fn stop(mut self) {
        let begin = Instant::now();
        self.shared.stopping.store(true, Ordering::Release);
        report(&self.shared).await;
        sleep(DRAIN_TIME.saturating_sub(begin.elapsed())).await;
        let left = self
            .shared
            .settings
            .cell
            .stop_limit
            .saturating_sub(begin.elapsed());
        self.callers.stop(left).await;
        self.ready.stop(Duration::ZERO).await;
        self.background.shutdown().await;
    }
}

/// Announces the daemon to the leader until it is dropped.
async fn announce(shared: Arc<Shared>) {
    loop {
        report(&shared).await;
        sleep(ANNOUNCE_PERIOD).await;
    }
}

async fn report(shared: &Shared) {
    let cell = &shared.settings.cell;
    let call = CellCall::Entry(EntryReport {
        address: cell.peer,
        name: cell.name.clone(),
        stopping: shared.stopping.load(Ordering::Acquire),
    });
    let was_ready = shared.is_ready();
    match shared.port.call(call, CallLimits::uniform(ANNOUNCE_LIMIT)).await {
        Ok(CellResponse::Announced { configured, members }) => {
            shared.configured.store(configured, Ordering::Release);
            shared.heard_leader();
            shared.port.client.update_members(&members);
        }
        Ok(_) => log(LogEvent::new("announcement answered unexpectedly")),
        Err(error) => log(LogEvent::new("leader lost").with("error", error)),
    }
    let is_ready = shared.is_ready();
    shared.metrics.ready.set(i64::from(is_ready));
    if is_ready != was_ready {
        log(LogEvent::new("readiness changed").with("ready", is_ready));
    }
}

impl Shared {
    fn heard_leader(&self) {
        let heard_ms = self.begin.elapsed().as_millis() as u64 + 1;
        self.heard_ms.store(heard_ms, Ordering::Release);
    }

    /// Time since the leader answered last.
    fn silence(&self) -> Duration {
        let heard_ms = self.heard_ms.load(Ordering::Acquire);
        self.begin
            .elapsed()
            .saturating_sub(Duration::from_millis(heard_ms))
    }

    fn is_ready(&self) -> bool {
        let heard_ms = self.heard_ms.load(Ordering::Acquire);
        self.configured.load(Ordering::Acquire)
            && !self.stopping.load(Ordering::Acquire)
            && heard_ms > 0
            && self.silence() < READY_LIMIT
    }
}

struct Readiness {
    shared: Arc<Shared>,
}

impl Answering for Readiness {
    async fn answer(&self, _question: HttpQuestion) -> HttpAnswer {
        match self.shared.is_ready() {
            true => HttpAnswer::status(StatusCode::OK),
            false => HttpAnswer::status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

struct Callers {
    shared: Arc<Shared>,
}

impl Answering for Callers {
    async fn answer(&self, question: HttpQuestion) -> HttpAnswer {
        let shared = &self.shared;
        let begin = Instant::now();
        let call = match shared.dialect.caller_call(&question) {
            Ok(call) => call,
            Err(answer) => {
                shared.metrics.called("caller", "invalid", begin.elapsed());
                log(LogEvent::new("request refused")
                    .with("path", &question.path)
                    .with("status", answer.status.as_u16())
                    .with("message", String::from_utf8_lossy(&answer.body)));
                return answer;
            }
        };
        let kind = kind_of(&call);
        let patience = shared.dialect.caller_limit(&question);
        let limits = limits_of_call(patience, shared.silence());
        let answer = shared.port.call(CellCall::Job(call), limits).await;
        let waited = begin.elapsed();
        if answer.is_ok() {
            shared.heard_leader();
        }
        match answer {
            Ok(CellResponse::Job(answer)) => {
                shared.metrics.called(kind, outcome_of(&answer), waited);
                if !matches!(answer, JobResponse::State(_) | JobResponse::Pending(_)) {
                    log(LogEvent::new("request answered")
                        .job(&question.path)
                        .with("call", kind)
                        .with("outcome", outcome_of(&answer))
                        .with("waited_ms", waited.as_millis()));
                }
                shared.dialect.caller_answer(&answer)
            }
            Ok(_) => {
                shared.metrics.called(kind, "unexpected", waited);
                log(LogEvent::new("request answered unexpectedly").job(&question.path));
                HttpAnswer::status(StatusCode::GATEWAY_TIMEOUT)
            }
            Err(error) => {
                let answer = without_answer(&error);
                shared.metrics.called(kind, "no leader", waited);
                log(LogEvent::new("request without leader")
                    .job(&question.path)
                    .with("call", kind)
                    .with("error", error)
                    .with("status", answer.status.as_u16())
                    .with("waited_ms", waited.as_millis()));
                answer
            }
        }
    }
}

/// Answer to a caller when the leader did not answer. Only a call that had no effect is refused.
fn without_answer(error: &SessionError) -> HttpAnswer {
    match error.had_no_effect() {
        true => HttpAnswer::status(StatusCode::SERVICE_UNAVAILABLE).retry_after(NO_LEADER_RETRY),
        false => HttpAnswer::status(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn kind_of(call: &JobCall) -> &'static str {
    match call.action {
        JobAction::Cancel => "cancel",
        JobAction::Read => "read",
        JobAction::Submit(_) => "submit",
    }
}

fn outcome_of(answer: &JobResponse) -> &'static str {
    match answer {
        JobResponse::Accepted => "accepted",
        JobResponse::Cancelled => "cancelled",
        JobResponse::Invalid(_) => "invalid",
        JobResponse::NoSuchJob => "no such job",
        JobResponse::NotConfigured => "not configured",
        JobResponse::Pending(_) => "pending",
        JobResponse::Rejected { .. } => "rejected",
        JobResponse::State(state) => state.as_str(),
        JobResponse::UnknownKey => "unknown key",
        JobResponse::UnknownQueue => "unknown queue",
    }
}
