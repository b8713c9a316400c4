//! The entry role: receives callers' requests and forwards them to the leader.

use {
    crate::{
        CellError, EntrySettings, HttpCodec, HttpRequest, HttpResponse,
        advice_client::AdviceClient,
        client_limits::ClientLimitObserver,
        http_server::{BodyRule, HttpServer, RequestHandler, body_rule},
        leader_client::LeaderClient,
        leader_wait::call_limits,
        log,
        metrics::Metrics,
        metrics_endpoint::serve_metrics,
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

/// Interval between announcements of this daemon to the leader.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(600);
/// Longest wait for the response to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time since the leader's last response after which the daemon reports that it is not ready. It is
/// longer than an election, during which calls wait for the new leader.
const READINESS_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time after which a caller may retry a request that reached no leader.
const NO_LEADER_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which requests are still accepted after the start of a planned stop. The load balancer
/// detects the lost readiness within this time.
const DRAIN_PERIOD: Duration = Duration::from_millis(3_200);

struct Shared {
    codec: Arc<dyn HttpCodec>,
    configured: AtomicBool,
    leader: LeaderClient,
    /// Time from `started_at` to the leader's last response in milliseconds, plus 1; 0 before the first.
    leader_response_ms: AtomicU64,
    metrics: Arc<Metrics>,
    settings: EntrySettings,
    started_at: Instant,
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
    /// Starts the role. Must be called in a tokio runtime. Fails if an address cannot be bound.
    pub async fn start(settings: EntrySettings, codec: Arc<dyn HttpCodec>) -> Result<Self, CellError> {
        let metrics = Arc::new(Metrics::new());
        let server = PeerServer::bind(settings.cell.peer_address, settings.cell.secret.clone()).await?;
        let advice_client = AdviceClient::new(settings.cell.advice_address, codec.clone(), metrics.clone())?;
        let handler = Arc::new(PeerHandler {
            advice_client: Arc::new(advice_client),
            call_ages: Mutex::default(),
            store: None,
            worker_client: None,
        });
        let shared = Arc::new(Shared {
            started_at: Instant::now(),
            configured: AtomicBool::new(false),
            codec,
            leader_response_ms: AtomicU64::new(0),
            metrics: metrics.clone(),
            leader: LeaderClient {
                client: settings.cell.client(),
                store: None,
            },
            settings,
            stopping: AtomicBool::new(false),
        });
        let mut background = JoinSet::new();
        background.spawn(server.serve(handler));
        background.spawn(announce_periodically(shared.clone()));
        let cell = &shared.settings.cell;
        let handler = CallerHandler {
            shared: shared.clone(),
        };
        let readiness = ReadinessHandler {
            shared: shared.clone(),
        };
        let limits = &cell.client_limits;
        let observer = |address| ClientLimitObserver {
            address,
            metrics: metrics.clone(),
        };
        let callers = HttpServer::start(
            shared.settings.caller_address,
            limits.callers.clone(),
            observer("callers"),
            Arc::new(handler),
        )
        .await?;
        let ready = HttpServer::start(
            shared.settings.readiness_address,
            limits.readiness.clone(),
            observer("readiness"),
            Arc::new(readiness),
        )
        .await?;
        serve_metrics(
            &mut background,
            cell.metrics_address,
            limits.metrics.clone(),
            metrics.clone(),
        )
        .await?;
        Ok(Self {
            background,
            callers,
            ready,
            shared,
        })
    }

    /// Performs a planned stop: reports at once that the daemon is not ready, accepts requests until the
    /// load balancer has detected this, and then completes the requests that have arrived.
    pub async fn stop(mut self) {
        let started_at = Instant::now();
        self.shared.stopping.store(true, Ordering::Release);
        announce(&self.shared).await;
        sleep(DRAIN_PERIOD.saturating_sub(started_at.elapsed())).await;
        let remaining = self
            .shared
            .settings
            .cell
            .stop_timeout
            .saturating_sub(started_at.elapsed());
        self.callers.stop(remaining).await;
        self.ready.stop(Duration::ZERO).await;
        self.background.shutdown().await;
    }
}

/// Announces this daemon to the leader periodically.
async fn announce_periodically(shared: Arc<Shared>) {
    loop {
        announce(&shared).await;
        sleep(ANNOUNCE_PERIOD).await;
    }
}

/// Announces this daemon to the leader once and updates the readiness.
async fn announce(shared: &Shared) {
    let cell = &shared.settings.cell;
    let call = CellCall::Entry(EntryReport {
        address: cell.peer_address,
        name: cell.name.clone(),
        stopping: shared.stopping.load(Ordering::Acquire),
    });
    let was_ready = shared.is_ready();
    match shared
        .leader
        .call(call, CallLimits::uniform(ANNOUNCE_TIMEOUT))
        .await
    {
        Ok(CellResponse::Announced { configured, members }) => {
            shared.configured.store(configured, Ordering::Release);
            shared.record_leader_response();
            shared.leader.client.update_members(&members);
        }
        Ok(_) => log(LogEvent::new("unexpected response to announcement")),
        Err(error) => log(LogEvent::new("no leader response to announcement").with("error", error)),
    }
    let is_ready = shared.is_ready();
    shared.metrics.ready.set(i64::from(is_ready));
    if is_ready != was_ready {
        log(LogEvent::new("readiness changed").with("ready", is_ready));
    }
}

impl Shared {
    fn record_leader_response(&self) {
        let leader_response_ms = self.started_at.elapsed().as_millis() as u64 + 1;
        self.leader_response_ms
            .store(leader_response_ms, Ordering::Release);
    }

    /// Returns the time since the leader's last response; counted from `started_at` before the first one.
    fn leader_silence(&self) -> Duration {
        let leader_response_ms = self.leader_response_ms.load(Ordering::Acquire);
        self.started_at
            .elapsed()
            .saturating_sub(Duration::from_millis(leader_response_ms))
    }

    fn is_ready(&self) -> bool {
        let leader_response_ms = self.leader_response_ms.load(Ordering::Acquire);
        self.configured.load(Ordering::Acquire)
            && !self.stopping.load(Ordering::Acquire)
            && leader_response_ms > 0
            && self.leader_silence() < READINESS_TIMEOUT
    }
}

struct ReadinessHandler {
    shared: Arc<Shared>,
}

impl RequestHandler for ReadinessHandler {
    fn body_rule(&self, _head: &HttpRequest) -> Result<BodyRule, HttpResponse> {
        Ok(BodyRule::Ignore)
    }

    async fn handle(&self, _request: HttpRequest) -> HttpResponse {
        match self.shared.is_ready() {
            true => HttpResponse::status(StatusCode::OK),
            false => HttpResponse::status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

struct CallerHandler {
    shared: Arc<Shared>,
}

impl RequestHandler for CallerHandler {
    fn body_rule(&self, head: &HttpRequest) -> Result<BodyRule, HttpResponse> {
        let limits = &self.shared.settings.cell.client_limits;
        body_rule(
            self.shared.codec.decode_caller_request(head).map(drop),
            &limits.caller_json,
            limits.max_caller_body_bytes,
        )
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let shared = &self.shared;
        let started_at = Instant::now();
        let call = match shared.codec.decode_caller_request(&request) {
            Ok(call) => call,
            Err(response) => {
                shared
                    .metrics
                    .record_call("caller", "invalid", started_at.elapsed());
                log(LogEvent::new("invalid request rejected")
                    .with("path", &request.path)
                    .with("status", response.status.as_u16())
                    .with("message", String::from_utf8_lossy(&response.body)));
                return response;
            }
        };
        let label = call_label(&call);
        let caller_timeout = shared.codec.caller_timeout(&request);
        let limits = call_limits(caller_timeout, shared.leader_silence());
        let response = shared.leader.call(CellCall::Job(call), limits).await;
        let waited = started_at.elapsed();
        if response.is_ok() {
            shared.record_leader_response();
        }
        match response {
            Ok(CellResponse::Job(response)) => {
                shared
                    .metrics
                    .record_call(label, outcome_label(&response), waited);
                if !matches!(response, JobResponse::State(_) | JobResponse::Pending(_)) {
                    log(LogEvent::new("request answered")
                        .job(&request.path)
                        .with("call", label)
                        .with("outcome", outcome_label(&response))
                        .with("waited_ms", waited.as_millis()));
                }
                shared.codec.encode_caller_response(&response)
            }
            Ok(_) => {
                shared.metrics.record_call(label, "unexpected", waited);
                log(LogEvent::new("unexpected response to request").job(&request.path));
                HttpResponse::status(StatusCode::GATEWAY_TIMEOUT)
            }
            Err(error) => {
                let response = leader_error_response(&error);
                shared.metrics.record_call(label, "no leader", waited);
                log(LogEvent::new("no leader response to request")
                    .job(&request.path)
                    .with("call", label)
                    .with("error", error)
                    .with("status", response.status.as_u16())
                    .with("waited_ms", waited.as_millis()));
                response
            }
        }
    }
}

/// Creates the response to a caller whose call failed. The caller may retry only if the call had no
/// effect.
fn leader_error_response(error: &SessionError) -> HttpResponse {
    match error.had_no_effect() {
        true => HttpResponse::status(StatusCode::SERVICE_UNAVAILABLE).retry_after(NO_LEADER_RETRY_AFTER),
        false => HttpResponse::status(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Returns the name of a call in metrics and logs.
fn call_label(call: &JobCall) -> &'static str {
    match call.action {
        JobAction::Cancel => "cancel",
        JobAction::Read => "read",
        JobAction::Submit(_) => "submit",
    }
}

/// Returns the name of an outcome in metrics and logs.
fn outcome_label(response: &JobResponse) -> &'static str {
    match response {
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
