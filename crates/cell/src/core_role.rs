//! The core role: state, leadership, and the interface for workers and operators.

use {
    crate::{
        CellError, CoreSettings, Dialect, HttpAnswer, HttpQuestion,
        adviser::Adviser,
        cell_port::CellPort,
        executor::Executor,
        http_server::{Answering, HttpServer},
        log,
        logs::write_notes,
        metrics::Metrics,
        metrics_page::serve_metrics,
        peers::{PeerHandler, Peers},
        routes::Routes,
        worker_caller::WorkerCaller,
    },
    fuchsiatack_consensus::Role,
    fuchsiatack_jobs::{CellResponse, LogEvent},
    fuchsiatack_session::CallLimits,
    fuchsiatack_store::{InitialMember, JobsSettings, Membership, Store, StoreSettings},
    fuchsiatack_wire::PeerServer,
    smol_str::ToSmolStr,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc::unbounded_channel, task::JoinSet, time::sleep},
};

/// Longest wait for the leader. Workers and operators ask another daemon after a second.
const CONTROL_LIMIT: Duration = Duration::from_millis(900);
/// Period in which changes of the store's state are noticed.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait until answers are sent in a planned stop.
const SERVER_STOP_LIMIT: Duration = Duration::from_millis(800);
/// Longest election timeout in milliseconds.
const ELECTION_MAXIMUM_MS: u64 = 650;
/// Shortest election timeout in milliseconds. The leader's lease is as long, and a member that
/// starts grants no vote for as long.
const ELECTION_MINIMUM_MS: u64 = 350;
/// Interval of the leader's heartbeats in milliseconds; three fit into its lease.
const HEARTBEAT_MS: u64 = 100;
/// Bytes of applied commands after which a snapshot is taken. It bounds the log in memory.
const SNAPSHOT_BYTES: u64 = 2 << 20;

/// A running daemon with the core role.
pub struct CoreRole {
    background: JoinSet<()>,
    control: HttpServer,
    store: Store,
}

impl CoreRole {
    /// Starts the role. Must be called in a tokio runtime.
    pub async fn start(settings: CoreSettings, dialect: Arc<dyn Dialect>) -> Result<Self, CellError> {
        let metrics = Arc::new(Metrics::new());
        let server = PeerServer::bind(settings.cell.peer, settings.cell.secret.clone()).await?;
        let (effects, effect_queue) = unbounded_channel();
        let (notes, note_queue) = unbounded_channel();
        let jobs = JobsSettings {
            effects,
            notes,
            planner: settings.planner.clone(),
        };
        let store = Store::start(store_settings(&settings, jobs))?;
        let adviser = Arc::new(Adviser::new(
            settings.cell.advice,
            dialect.clone(),
            metrics.clone(),
        )?);
        let caller = Arc::new(WorkerCaller::new(dialect.clone(), metrics.clone())?);
        let executor = Executor {
            adviser: adviser.clone(),
            caller: caller.clone(),
            peers: Peers::new(&settings.cell),
            routes: Mutex::new(Routes::new(settings.cell.peer)),
            store: store.clone(),
        };
        let handler = Arc::new(PeerHandler {
            adviser,
            ages: Mutex::default(),
            caller: Some(caller),
            store: Some(store.clone()),
        });
        let mut background = JoinSet::new();
        background.spawn(server.serve(handler));
        background.spawn(executor.run(effect_queue));
        background.spawn(write_notes(note_queue));
        background.spawn(watch(store.clone(), metrics.clone()));
        let control = Control {
            dialect,
            metrics: metrics.clone(),
            port: CellPort {
                client: settings.cell.client(),
                store: Some(store.clone()),
            },
        };
        let max_body_bytes = settings.cell.max_body_bytes;
        let control = HttpServer::start(settings.control, max_body_bytes, Arc::new(control)).await?;
        serve_metrics(&mut background, settings.cell.metrics, metrics).await?;
        Ok(Self {
            background,
            control,
            store,
        })
    }

    /// Stops as planned: hands the leadership over and answers what has arrived.
    pub async fn stop(mut self) {
        self.store.stop().await;
        self.control.stop(SERVER_STOP_LIMIT).await;
        self.background.shutdown().await;
    }
}

fn store_settings(settings: &CoreSettings, jobs: JobsSettings) -> StoreSettings {
    let member = |address: &std::net::SocketAddr| InitialMember {
        address: *address,
        name: address.to_smolstr(),
    };
    let members = settings.cell.seeds.iter().map(member).collect();
    let name = settings.cell.peer.to_smolstr();
    StoreSettings {
        allocator: None,
        election_maximum_ms: ELECTION_MAXIMUM_MS,
        election_minimum_ms: ELECTION_MINIMUM_MS,
        heartbeat_ms: HEARTBEAT_MS,
        jobs: Some(jobs),
        membership: Membership::Joining {
            address: settings.cell.peer,
            may_form: settings.may_form,
        },
        peer: settings.cell.peer_times.clone(),
        snapshot_bytes: SNAPSHOT_BYTES,
        ..StoreSettings::new(name, &settings.data_folder, members, settings.cell.secret.clone())
    }
}

/// Logs changes of what the store believes.
async fn watch(store: Store, metrics: Arc<Metrics>) {
    let mut seen = None;
    loop {
        let status = store.status();
        let members = status.members.len();
        let now = (
            status.role,
            status.leader,
            status.formed,
            members,
            status.disk_failure.clone(),
        );
        metrics.leads.set(i64::from(status.role == Role::Leader));
        if seen.as_ref() != Some(&now) {
            let leader = status.leader.map(|leader| leader.to_string()).unwrap_or_default();
            log(LogEvent::new("store state changed")
                .with("role", format!("{:?}", status.role).to_lowercase())
                .with("term", status.term.0)
                .with("leader", leader)
                .with("formed", status.formed)
                .with("members", members)
                .with("applied", status.applied.0)
                .with("disk_failure", status.disk_failure.unwrap_or_default()));
            seen = Some(now);
        }
        sleep(WATCH_PERIOD).await;
    }
}

/// Interface for workers and operators.
struct Control {
    dialect: Arc<dyn Dialect>,
    metrics: Arc<Metrics>,
    port: CellPort,
}

impl Answering for Control {
    async fn answer(&self, question: HttpQuestion) -> HttpAnswer {
        let begin = Instant::now();
        let call = match self.dialect.control_call(&question) {
            Ok(call) => call,
            Err(answer) => {
                self.metrics.called("control", "invalid", begin.elapsed());
                log(LogEvent::new("control call refused")
                    .with("method", &question.method)
                    .with("path", &question.path)
                    .with("status", answer.status.as_u16())
                    .with("message", String::from_utf8_lossy(&answer.body)));
                return answer;
            }
        };
        let answer = self.port.call(call, CallLimits::uniform(CONTROL_LIMIT)).await;
        let outcome = if answer.is_ok() { "ok" } else { "no leader" };
        self.metrics.called("control", outcome, begin.elapsed());
        match answer {
            Ok(answer) => self.dialect.control_answer(&answer),
            Err(error) => {
                log(LogEvent::new("control call without leader")
                    .with("method", &question.method)
                    .with("path", &question.path)
                    .with("error", error)
                    .with("waited_ms", begin.elapsed().as_millis()));
                self.dialect
                    .control_answer(&CellResponse::Failed("no leader answered".into()))
            }
        }
    }
}
