//! Starts all components of a daemon, and stops them in order in a planned stop.

use {
    crate::{
        DaemonError, Settings, caller_api,
        client_limits::{caller_limits, operator_limits},
        engine::Engine,
        engine_handle::EngineHandle,
        engine_message::EngineMessage,
        hints::{self, LoadCell},
        http_adapter::HttpAdapter,
        http_server::{HttpServer, bind},
        journal::Journal,
        metrics::Metrics,
        operator_api,
        peer_handler::PeerHandler,
        peers::Peers,
        shared::{OpenCount, Shared, Stopping},
        store_role::StoreRole,
        traces::Traces,
    },
    fuchsiatack_ledger::DaemonInfo,
    fuchsiatack_model::{DaemonName, DataCenter},
    fuchsiatack_session::{CellClient, CellClientSettings, Session, SessionEvent, SessionSettings},
    fuchsiatack_wire::{CellSecret, HintSocket, PeerClientSettings, PeerServer, ServerCounters},
    std::{
        net::SocketAddr,
        path::Path,
        sync::{Arc, OnceLock, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep},
    },
};

/// Limit for ending the session in a planned stop. A session that is not ended expires.
const SESSION_END_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit for the release of all workers in a planned stop.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between checks of a planned stop for open requests, tasks and ends.
const OPEN_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Limit for tasks of queued works to end in a planned stop. After it, the new owners of their
/// workers learn that the tasks ended, but not their responses.
const WORK_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit for committing the remaining ends in a planned stop. It is only reached while the store
/// is unreachable; the outcomes of these requests are then unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit for an HTTP server to send its responses and close its connections.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between reads of the counters of the peer port.
const COUNTER_PERIOD: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Daemon {
    background: JoinSet<()>,
    callers: HttpServer,
    operators: HttpServer,
    peer_server: JoinHandle<()>,
    shared: Arc<Shared>,
}

/// Sockets that are bound before the components start.
struct Listeners {
    callers: tokio::net::TcpListener,
    hints: HintSocket,
    operators: tokio::net::TcpListener,
    peers: PeerServer,
}

impl Daemon {
    /// Binds the addresses and starts all components. `settings` must have been checked, as
    /// `Settings::read` does.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let secret = CellSecret::new(&read_secret(&settings.cell_secret_file)?);
        let operator_key = blake3::hash(read_secret(&settings.operator_key_file)?.as_bytes());
        let listeners = Listeners::new(&settings, &secret).await?;
        let daemon = listeners.daemon_info(&settings)?;
        spdlog::info!("daemon starts", kv: {
            name = settings.name.as_str(),
            callers = daemon.caller_address.to_string(),
            operators = listeners.operators.local_addr().map(|address| address.to_string()).unwrap_or_default(),
            peers = daemon.peer_address.to_string(),
        });
        let store = StoreRole::start(&settings, secret.clone())?;
        let shared_slot: Arc<OnceLock<Arc<Shared>>> = Arc::default();
        let counters = listeners.peers.counters();
        let handler = Arc::new(PeerHandler::new(store.clone(), shared_slot.clone()));
        let peer_server = tokio::spawn(listeners.peers.serve(handler));
        let (session, events) = start_session(&settings, daemon.clone(), secret.clone());
        let (engine, messages) = EngineHandle::new();
        let metrics = Metrics::new();
        let shared = Arc::new(Shared {
            adapter: Arc::new(HttpAdapter::new(metrics.worker_traffic.clone())?),
            daemon,
            engine,
            journal: Journal::default(),
            metrics,
            open_requests: OpenCount::default(),
            open_work_tasks: OpenCount::default(),
            operator_key: *operator_key.as_bytes(),
            peers: Peers::new(secret),
            session,
            stopping: Stopping::default(),
            store,
            uncommitted_ends: OpenCount::default(),
            traces: Traces::new(&settings.traces, &settings.name)?,
            settings,
        });
        let _ = shared_slot.set(shared.clone());
        let callers = HttpServer::start(
            &shared,
            listeners.callers,
            "callers",
            caller_limits(&shared.settings),
            caller_api::router(&shared),
        )?;
        let operators = HttpServer::start(
            &shared,
            listeners.operators,
            "operators",
            operator_limits(&shared.settings),
            operator_api::router(&shared),
        )?;
        Ok(Self {
            background: start_background(&shared, messages, events, listeners.hints, counters),
            callers,
            operators,
            peer_server,
            shared,
        })
    }

    /// Performs a planned stop: makes the daemon not ready, refuses new requests, releases the
    /// workers, waits for open requests, ends the session and stops the store.
    pub async fn stop(mut self) {
        spdlog::info!("planned stop begins");
        let shared = self.shared.clone();
        shared.stopping.set_not_ready();
        sleep(Duration::from_millis(shared.settings.stop.grace_ms)).await;
        shared.stopping.set_refusing();
        hand_over(&shared).await;
        let handed_over = Instant::now();
        while shared.open_work_tasks.count() > 0 && handed_over.elapsed() < WORK_DRAIN_TIMEOUT {
            sleep(OPEN_POLL_PERIOD).await;
        }
        while shared.open_requests.count() > 0 {
            sleep(OPEN_POLL_PERIOD).await;
        }
        let requests_ended = Instant::now();
        while shared.uncommitted_ends.count() > 0 && requests_ended.elapsed() < SETTLE_TIMEOUT {
            sleep(OPEN_POLL_PERIOD).await;
        }
        self.background.shutdown().await;
        if let Err(error) = shared.session.end(SESSION_END_TIMEOUT).await {
            spdlog::warn!("cannot end the session; it will expire", kv: { error = error.to_string() });
        }
        tokio::join!(
            self.callers.stop(SERVER_STOP_TIMEOUT),
            self.operators.stop(SERVER_STOP_TIMEOUT)
        );
        shared.store.clone().stop().await;
        self.peer_server.abort();
        shared.traces.shut_down();
        spdlog::info!("planned stop is complete");
        spdlog::default_logger().flush();
    }
}

impl Listeners {
    async fn new(settings: &Settings, secret: &CellSecret) -> Result<Self, DaemonError> {
        let peers = PeerServer::bind(address(settings.peers.address), secret.clone()).await?;
        let hints = HintSocket::bind(peers.local_address()?, secret).await?;
        Ok(Self {
            callers: bind(address(settings.callers.address)).await?,
            hints,
            operators: bind(address(settings.operators.address)).await?,
            peers,
        })
    }

    fn daemon_info(&self, settings: &Settings) -> Result<DaemonInfo, DaemonError> {
        let caller_address = self.callers.local_addr().map_err(|error| DaemonError::Bind {
            address: "callers".into(),
            message: error.to_string(),
        })?;
        Ok(DaemonInfo {
            caller_address: settings.callers.advertised_address.unwrap_or(caller_address),
            data_center: DataCenter::new(&settings.data_center),
            name: DaemonName::new(&settings.name),
            peer_address: settings
                .peers
                .advertised_address
                .unwrap_or(self.peers.local_address()?),
            weight: settings.weight,
        })
    }
}

/// Returns an address of the settings. The check of the settings rejects a missing one.
fn address(address: Option<SocketAddr>) -> SocketAddr {
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn read_secret(file: &Path) -> Result<String, DaemonError> {
    Settings::read_secret(file)
        .map_err(|error| DaemonError::Settings(crate::SettingsError::unreadable(file, &error)))
}

fn start_session(
    settings: &Settings,
    daemon: DaemonInfo,
    secret: CellSecret,
) -> (Session, mpsc::Receiver<SessionEvent>) {
    let cell = CellClient::new(CellClientSettings {
        attempt_limit: CellClientSettings::DEFAULT_ATTEMPT_LIMIT,
        members: settings
            .store
            .members
            .iter()
            .map(|member| member.address)
            .collect(),
        peer: PeerClientSettings::default(),
        secret,
    });
    let session = SessionSettings {
        lease: Duration::from_millis(settings.leases.session_ms),
        renewal: Duration::from_millis(settings.leases.session_renewal_ms),
        ..SessionSettings::new(daemon)
    };
    Session::start(session, cell)
}

fn start_background(
    shared: &Arc<Shared>,
    messages: mpsc::UnboundedReceiver<EngineMessage>,
    events: mpsc::Receiver<SessionEvent>,
    socket: HintSocket,
    counters: Arc<ServerCounters>,
) -> JoinSet<()> {
    let mut background = JoinSet::new();
    let load = LoadCell::default();
    background.spawn(Engine::new(shared.clone(), load.clone()).run(messages, events));
    let hints_shared = shared.clone();
    background.spawn(async move { hints::run(&hints_shared, &socket, &load).await });
    let counters_shared = shared.clone();
    background.spawn(async move {
        loop {
            sleep(COUNTER_PERIOD).await;
            let dropped = counters.dropped_connections.swap(0, Ordering::Relaxed);
            counters_shared.metrics.connections_dropped.inc_by(dropped);
        }
    });
    background
}

/// Has the engine release all workers, and waits for it up to `HANDOVER_TIMEOUT`.
async fn hand_over(shared: &Shared) {
    let (reply, released) = oneshot::channel();
    shared.engine.send(EngineMessage::HandOver(reply));
    if tokio::time::timeout(HANDOVER_TIMEOUT, released).await.is_err() {
        spdlog::warn!("workers were not released in time; the end of the session releases them");
    }
}
