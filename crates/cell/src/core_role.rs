//! The core role: replicates the state, takes part in elections, and serves workers and operators.

use {
    crate::{
        CellError, CoreSettings, HttpCodec, HttpRequest, HttpResponse,
        advice_client::AdviceClient,
        client_limits::{ClientLimitObserver, ClientLimits},
        executor::Executor,
        http_server::{BodyRule, HttpServer, RequestHandler, body_rule},
        leader_client::LeaderClient,
        log,
        logs::write_log_events,
        metrics::Metrics,
        metrics_endpoint::serve_metrics,
        peers::{PeerHandler, Peers},
        routes::Routes,
        worker_client::WorkerClient,
    },
    fuchsiatack_consensus::Role,
    fuchsiatack_jobs::{CellReport, CellResponse, LogEvent},
    fuchsiatack_session::{CallLimits, CellClient},
    fuchsiatack_store::{InitialMember, JobsSettings, Membership, Store, StoreSettings},
    fuchsiatack_wire::PeerServer,
    smol_str::ToSmolStr,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::unbounded_channel, watch},
        task::JoinSet,
        time::sleep,
    },
};

/// Longest wait for the leader. Workers and operators turn to another daemon after 1 s.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which the store's status is polled.
const STATUS_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for pending responses in a planned stop.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest election timeout in milliseconds.
const ELECTION_MAXIMUM_MS: u64 = 650;
/// Shortest election timeout in milliseconds. The leader's lease lasts as long, and a member grants no
/// vote for as long after its start.
const ELECTION_MINIMUM_MS: u64 = 350;
/// Interval between the leader's heartbeats in milliseconds. Three intervals fit into its lease.
const HEARTBEAT_MS: u64 = 100;
/// Bytes of applied commands after which a snapshot is taken. Bounds the log in memory.
const SNAPSHOT_BYTES: u64 = 2 << 20;

/// A running daemon with the core role.
pub struct CoreRole {
    background: JoinSet<()>,
    control: HttpServer,
    store: Store,
}

impl CoreRole {
    /// Starts the role, after waiting for space if the disk is full. Must be called in a tokio runtime.
    /// Fails if the store cannot start for another reason or an address cannot be bound.
    pub async fn start(settings: CoreSettings, codec: Arc<dyn HttpCodec>) -> Result<Self, CellError> {
        let metrics = Arc::new(Metrics::new());
        let mut background = JoinSet::new();
        let (effects, effect_queue) = unbounded_channel();
        let (log_events, log_event_queue) = unbounded_channel();
        let (reports, cell_reports) = watch::channel(CellReport::default());
        let jobs = JobsSettings {
            effects,
            log_events,
            planner: settings.planner.clone(),
            reports,
            work: metrics.store_work.clone(),
        };
        background.spawn(write_log_events(log_event_queue, metrics.clone()));
        let store = Store::start_on_full_disk(store_settings(&settings, jobs)).await?;
        // Bound after the wait for the disk, so that peers are refused at once until then.
        let server = PeerServer::bind(settings.cell.peer_address, settings.cell.secret.clone()).await?;
        let advice_client = Arc::new(AdviceClient::new(
            settings.cell.advice_address,
            codec.clone(),
            metrics.clone(),
        )?);
        let worker_client = Arc::new(WorkerClient::new(codec.clone(), metrics.clone())?);
        let executor = Executor {
            advice_client: advice_client.clone(),
            peers: Peers::new(&settings.cell),
            routes: Mutex::new(Routes::new(settings.cell.peer_address)),
            store: store.clone(),
            worker_client: worker_client.clone(),
        };
        let handler = Arc::new(PeerHandler {
            advice_client,
            call_ages: Mutex::default(),
            store: Some(store.clone()),
            worker_client: Some(worker_client),
        });
        background.spawn(server.serve(handler));
        background.spawn(executor.run(effect_queue));
        let client = settings.cell.client();
        background.spawn(watch_status(
            store.clone(),
            metrics.clone(),
            client.clone(),
            cell_reports,
        ));
        let handler = ControlHandler {
            codec,
            leader: LeaderClient {
                client,
                store: Some(store.clone()),
            },
            limits: settings.cell.client_limits.clone(),
            metrics: metrics.clone(),
        };
        let limits = &settings.cell.client_limits;
        let observer = ClientLimitObserver {
            address: "control",
            metrics: metrics.clone(),
        };
        let control = HttpServer::start(
            settings.control_address,
            limits.control.clone(),
            observer,
            Arc::new(handler),
        )
        .await?;
        serve_metrics(
            &mut background,
            settings.cell.metrics_address,
            limits.metrics.clone(),
            metrics,
        )
        .await?;
        Ok(Self {
            background,
            control,
            store,
        })
    }

    /// Performs a planned stop: transfers the leadership and completes the requests that have arrived.
    pub async fn stop(mut self) {
        self.store.stop().await;
        self.control.stop(SERVER_STOP_TIMEOUT).await;
        self.background.shutdown().await;
    }
}

fn store_settings(settings: &CoreSettings, jobs: JobsSettings) -> StoreSettings {
    let member = |address: &std::net::SocketAddr| InitialMember {
        address: *address,
        name: address.to_smolstr(),
    };
    let members = settings.cell.seeds.iter().map(member).collect();
    let name = settings.cell.peer_address.to_smolstr();
    StoreSettings {
        allocator: None,
        election_maximum_ms: ELECTION_MAXIMUM_MS,
        election_minimum_ms: ELECTION_MINIMUM_MS,
        heartbeat_ms: HEARTBEAT_MS,
        jobs: Some(jobs),
        membership: Membership::Joining {
            address: settings.cell.peer_address,
            may_form: settings.may_form,
        },
        peer: settings.cell.peer_client.clone(),
        snapshot_bytes: SNAPSHOT_BYTES,
        ..StoreSettings::new(name, &settings.data_folder, members, settings.cell.secret.clone())
    }
}

/// Logs changes of the store's status, updates its metrics, and passes the member list to the client of the
/// leader, since all seeds of the settings may have been replaced.
async fn watch_status(
    store: Store,
    metrics: Arc<Metrics>,
    client: CellClient,
    cell_reports: watch::Receiver<CellReport>,
) {
    let mut logged = None;
    loop {
        let status = store.status();
        let members = status.members.len();
        let current = (
            status.role,
            status.leader,
            status.formed,
            members,
            status.voters(),
            status.voters_in_contact,
            status.disk_failure.clone(),
        );
        let in_contact = status.voters_in_contact.unwrap_or_default();
        metrics.leads.set(i64::from(status.role == Role::Leader));
        metrics.voters.set(gauge_value(status.voters()));
        metrics.voters_in_contact.set(gauge_value(in_contact));
        let addresses: Vec<_> = status.members.iter().map(|member| member.address).collect();
        client.update_members(&addresses);
        match status.role {
            Role::Leader => metrics.set_report(&cell_reports.borrow()),
            _ => metrics.set_report(&CellReport::default()),
        }
        if logged.as_ref() != Some(&current) {
            let leader = status.leader.map(|leader| leader.to_string()).unwrap_or_default();
            log(LogEvent::new("store state changed")
                .with("role", format!("{:?}", status.role).to_lowercase())
                .with("term", status.term.0)
                .with("leader", leader)
                .with("formed", status.formed)
                .with("members", members)
                .with("voters", status.voters())
                .with(
                    "voters_in_contact",
                    status
                        .voters_in_contact
                        .map(|voters| voters.to_string())
                        .unwrap_or_default(),
                )
                .with("applied", status.applied.0)
                .with("disk_failure", status.disk_failure.unwrap_or_default()));
            logged = Some(current);
        }
        sleep(STATUS_POLL_PERIOD).await;
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Handles requests of workers and operators.
struct ControlHandler {
    codec: Arc<dyn HttpCodec>,
    leader: LeaderClient,
    limits: ClientLimits,
    metrics: Arc<Metrics>,
}

impl RequestHandler for ControlHandler {
    fn body_rule(&self, head: &HttpRequest) -> Result<BodyRule, HttpResponse> {
        body_rule(
            self.codec.decode_control_request(head).map(drop),
            &self.limits.control_json,
            self.limits.max_control_body_bytes,
        )
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let started_at = Instant::now();
        let call = match self.codec.decode_control_request(&request) {
            Ok(call) => call,
            Err(response) => {
                self.metrics
                    .record_call("control", "invalid", started_at.elapsed());
                log(LogEvent::new("invalid control request rejected")
                    .with("method", &request.method)
                    .with("path", &request.path)
                    .with("status", response.status.as_u16())
                    .with("message", String::from_utf8_lossy(&response.body)));
                return response;
            }
        };
        let response = self.leader.call(call, CallLimits::uniform(CONTROL_TIMEOUT)).await;
        let outcome = if response.is_ok() { "ok" } else { "no leader" };
        self.metrics.record_call("control", outcome, started_at.elapsed());
        match response {
            Ok(response) => self.codec.encode_control_response(&response),
            Err(error) => {
                log(LogEvent::new("no leader response to control request")
                    .with("method", &request.method)
                    .with("path", &request.path)
                    .with("error", error)
                    .with("waited_ms", started_at.elapsed().as_millis()));
                self.codec
                    .encode_control_response(&CellResponse::Failed("no leader answered".into()))
            }
        }
    }
}
