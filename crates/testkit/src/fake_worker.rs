//! HTTP server that implements the worker protocol.

use {
    crate::{
        Behaviour, FakeWorkerSettings, JsonLog, TaskBody, WorkerControl, WorkerEvent, WorkerEventKind,
        response_to, wall_us,
        worker_state::{RefusalCause, StopCause, TaskSignal, WorkerState},
    },
    fuchsiatack_model::{
        AnnounceResponse, Epoch, EpochRequest, LeaseRequest, Resources, RunningTask, TaskCommand, TaskId,
        TeamName, WorkName, WorkTask, WorkerAnnouncement,
    },
    salvo::{
        Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, conn::TcpListener,
        http::StatusCode, server::ServerHandle,
    },
    serde::{Serialize, de::DeserializeOwned},
    smol_str::SmolStr,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        task::JoinHandle,
        time::{Instant, sleep, sleep_until},
    },
};

/// Delay before the next attempt after a failed announcement.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(100);
/// Longest wait for the response to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds of the time between announcements, in milliseconds. The interval in the response to an
/// announcement is clamped to them.
const INTERVAL_MS: std::ops::RangeInclusive<u64> = 20..=60_000;
/// Longest task body in bytes: the design's limit for a request body.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which a stopping worker checks whether its tasks have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// A fake worker that runs in this process. Dropping it has the effect of a crash.
pub struct FakeWorker {
    address: SocketAddr,
    announcer: JoinHandle<()>,
    lease_timer: JoinHandle<()>,
    server: JoinHandle<()>,
    server_handle: ServerHandle,
    shared: Arc<Shared>,
}

struct Shared {
    advertised: SocketAddr,
    /// Wakes the announcer when the worker starts to leave.
    leave_requested: Notify,
    /// Wakes the lease timer.
    lease_changed: Notify,
    /// Whether a daemon has accepted an announcement that the worker is leaving.
    leave_announced: watch::Sender<bool>,
    log: JsonLog,
    settings: FakeWorkerSettings,
    state: Mutex<WorkerState>,
}

impl FakeWorker {
    /// Binds the address, serves the worker protocol and announces the worker to its entry VMs.
    pub async fn start(settings: FakeWorkerSettings) -> io::Result<Self> {
        let acceptor = TcpListener::new(settings.address)
            .try_bind()
            .await
            .map_err(io::Error::other)?;
        let address = acceptor.inner().local_addr()?;
        let log = match &settings.log {
            Some(path) => JsonLog::open(path)?,
            None => JsonLog::discard(),
        };
        let shared = Arc::new(Shared {
            advertised: settings.advertised_address.unwrap_or(address),
            leave_requested: Notify::new(),
            lease_changed: Notify::new(),
            leave_announced: watch::Sender::new(false),
            log,
            state: Mutex::new(WorkerState::new(settings.capacity, settings.control.clone())),
            settings,
        });
        shared.write(WorkerEvent {
            capacity: Some(shared.settings.capacity),
            ..shared.event(Epoch::default(), WorkerEventKind::Up)
        });
        let server = Server::new(acceptor).disable_fuse();
        let server_handle = server.handle();
        let router = router(&shared);
        Ok(Self {
            address,
            announcer: tokio::spawn(announce(shared.clone())),
            lease_timer: tokio::spawn(enforce_lease(shared.clone())),
            server: tokio::spawn(async move {
                server.serve(router).await;
            }),
            server_handle,
            shared,
        })
    }

    /// Address the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Current epoch; 0 before the first owner.
    pub fn epoch(&self) -> Epoch {
        self.shared.lock().epoch
    }

    /// Number of running tasks.
    pub fn running(&self) -> usize {
        self.shared.lock().running_count()
    }

    /// Replaces the injected faults.
    pub fn control(&self, control: WorkerControl) {
        self.shared.lock().control = control;
    }

    /// Announces that the worker is leaving; it continues to run.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.leave_requested.notify_one();
    }

    /// Stops the worker gracefully: announces that it is leaving, gives daemons time to stop sending,
    /// waits for running tasks, then closes the server. Tasks that still run after
    /// `FakeWorkerSettings::stop_limit_ms` are stopped.
    pub async fn stop(mut self) {
        let settings = &self.shared.settings;
        let deadline = Instant::now() + Duration::from_millis(settings.stop_limit_ms);
        self.leave();
        if !settings.entries.is_empty() {
            let mut announced = self.shared.leave_announced.subscribe();
            let _ = tokio::time::timeout_at(deadline, announced.wait_for(|is_announced| *is_announced)).await;
            sleep(Duration::from_millis(settings.leave_grace_ms)).await;
        }
        while self.running() > 0 && Instant::now() < deadline {
            sleep(STOP_POLL).await;
        }
        self.shared.lock().stop_all(StopCause::Shutdown);
        self.announcer.abort();
        self.server_handle.stop_graceful(Duration::from_secs(2));
        let _ = (&mut self.server).await;
        self.shared
            .write(self.shared.event(self.epoch(), WorkerEventKind::Down));
    }
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.announcer.abort();
        self.lease_timer.abort();
        self.server_handle.stop_forceful();
        self.server.abort();
        self.shared.lock().stop_all(StopCause::Shutdown);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state and ends a lease that has expired. A process that was paused may handle requests
    /// before its timers run.
    fn lock_at(&self, now: Instant) -> MutexGuard<'_, WorkerState> {
        let mut state = self.lock();
        if let Some(end) = state.expire(now) {
            self.write(WorkerEvent {
                at_us: wall_us_of(end),
                ..self.event(state.epoch, WorkerEventKind::LeaseEnded)
            });
        }
        state
    }

    fn event(&self, epoch: Epoch, kind: WorkerEventKind) -> WorkerEvent {
        WorkerEvent::new(wall_us(), &self.settings.name, epoch, kind)
    }

    fn write(&self, event: WorkerEvent) {
        self.log.write(&event);
    }

    fn announcement(&self) -> WorkerAnnouncement {
        let settings = &self.settings;
        WorkerAnnouncement {
            address: SmolStr::new(self.advertised.to_string()),
            capacity: settings.capacity,
            class: settings.class.clone(),
            data_center: settings.data_center.clone(),
            leaving: self.lock().leaving,
            name: settings.name.clone(),
            rack: settings.rack.clone(),
        }
    }
}

async fn announce(shared: Arc<Shared>) {
    let settings = &shared.settings;
    if settings.entries.is_empty() {
        return;
    }
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(ANNOUNCE_TIMEOUT)
        .build()
        .expect("a client without TLS needs no system support");
    let mut next_entry = 0;
    let mut owner: Option<SmolStr> = None;
    loop {
        let entry = settings.entries[next_entry % settings.entries.len()];
        let target = match &owner {
            None => SmolStr::new(entry.to_string()),
            Some(owner) => owner.clone(),
        };
        let target = match settings.routes.get(&target) {
            Some(route) => SmolStr::new(route.to_string()),
            None => target,
        };
        let announcement = shared.announcement();
        let pause = match send_announcement(&client, &target, &announcement).await {
            Ok(response) => {
                let kind = match announcement.leaving {
                    true => WorkerEventKind::AnnouncedLeaving,
                    false => WorkerEventKind::Announced,
                };
                let epoch = shared.lock().epoch;
                shared.write(WorkerEvent {
                    detail: target,
                    ..shared.event(epoch, kind)
                });
                if announcement.leaving {
                    shared.leave_announced.send_replace(true);
                }
                owner = response.owner;
                let interval_ms = response
                    .interval_ms
                    .clamp(*INTERVAL_MS.start(), *INTERVAL_MS.end());
                Duration::from_millis(interval_ms)
            }
            Err(_) => {
                // The owner may be down, so the next attempt goes to an entry address.
                match owner.take() {
                    Some(_) => {}
                    None => next_entry += 1,
                }
                ANNOUNCE_RETRY
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = shared.leave_requested.notified() => {}
        }
    }
}

async fn send_announcement(
    client: &reqwest::Client,
    target: &str,
    announcement: &WorkerAnnouncement,
) -> reqwest::Result<AnnounceResponse> {
    client
        .post(format!("http://{target}/v1/workers/announce"))
        .json(announcement)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}

async fn enforce_lease(shared: Arc<Shared>) {
    loop {
        let end = shared.lock_at(Instant::now()).lease_ends_at();
        tokio::select! {
            () = shared.lease_changed.notified() => {}
            () = sleep_until(end.unwrap_or_else(Instant::now)), if end.is_some() => {}
        }
    }
}

/// Requests that the worker handles.
#[derive(Clone, Copy)]
enum Call {
    Command(TaskCommand),
    Control,
    Epoch,
    Lease,
    Run,
}

struct Endpoint {
    call: Call,
    shared: Arc<Shared>,
}

fn router(shared: &Arc<Shared>) -> Router {
    let calls = [
        ("testkit/control", Call::Control),
        ("v1/epoch", Call::Epoch),
        ("v1/lease", Call::Lease),
        ("v1/tasks/{task}/cancel", Call::Command(TaskCommand::Cancel)),
        (
            "v1/tasks/{task}/checkpoint",
            Call::Command(TaskCommand::Checkpoint),
        ),
        ("v1/tasks/{task}/run", Call::Run),
        ("v1/tasks/{task}/throttle", Call::Command(TaskCommand::Throttle)),
    ];
    calls.into_iter().fold(Router::new(), |router, (path, call)| {
        router.push(Router::with_path(path).post(Endpoint {
            call,
            shared: shared.clone(),
        }))
    })
}

#[salvo::async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let outgoing = match self.call {
            Call::Command(command) => self.command(request, command).await,
            Call::Control => self.control(request).await,
            Call::Epoch => self.epoch(request).await,
            Call::Lease => self.lease(request).await,
            Call::Run => self.run(request).await,
        };
        response.status_code(StatusCode::from_u16(outgoing.status).expect("all codes used here are valid"));
        let content_type = salvo::http::HeaderValue::from_static(outgoing.content_type);
        response
            .headers_mut()
            .insert(salvo::http::header::CONTENT_TYPE, content_type);
        let _ = response.write_body(outgoing.body);
    }
}

struct OutgoingResponse {
    body: Vec<u8>,
    content_type: &'static str,
    status: u16,
}

impl OutgoingResponse {
    fn json(status: u16, value: &impl Serialize) -> Self {
        Self {
            body: serde_json::to_vec(value).expect("response bodies have string keys"),
            content_type: "application/json",
            status,
        }
    }

    fn message(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({ "message": message }))
    }
}

impl Endpoint {
    async fn control(&self, request: &mut Request) -> OutgoingResponse {
        let Some(control) = json_body::<WorkerControl>(request).await else {
            return OutgoingResponse::message(400, "the body is not a control request");
        };
        self.shared.lock().control = control.clone();
        OutgoingResponse::json(200, &control)
    }

    async fn epoch(&self, request: &mut Request) -> OutgoingResponse {
        let Some(body) = json_body::<EpochRequest>(request).await else {
            return OutgoingResponse::message(400, "the body is not an epoch request");
        };
        let now = Instant::now();
        let mut state = self.shared.lock_at(now);
        match state.fence(now, body.epoch, body.lease_ms) {
            Ok(is_new) => {
                if is_new {
                    self.shared
                        .write(self.shared.event(body.epoch, WorkerEventKind::Fenced));
                }
                self.shared.lease_changed.notify_one();
                OutgoingResponse::json(200, &state.report())
            }
            Err(cause) => self.refuse(body.epoch, cause, None),
        }
    }

    async fn lease(&self, request: &mut Request) -> OutgoingResponse {
        let Some(body) = json_body::<LeaseRequest>(request).await else {
            return OutgoingResponse::message(400, "the body is not a lease request");
        };
        let now = Instant::now();
        let mut state = self.shared.lock_at(now);
        match state.renew(now, body.epoch, body.lease_ms) {
            Ok(()) => {
                self.shared.lease_changed.notify_one();
                OutgoingResponse::json(200, &state.report())
            }
            Err(cause) => self.refuse(body.epoch, cause, None),
        }
    }

    async fn command(&self, request: &mut Request, command: TaskCommand) -> OutgoingResponse {
        let Some(task) = task_id(request) else {
            return OutgoingResponse::message(400, "the path has no valid task identifier");
        };
        let now = Instant::now();
        let ended = {
            let mut state = self.shared.lock_at(now);
            if let Some(epoch) = epoch_header(request)
                && epoch != state.epoch
            {
                return self.refuse(epoch, RefusalCause::Epoch, None);
            }
            let epoch = state.epoch;
            let log = |kind| {
                self.shared.write(WorkerEvent {
                    task: Some(task),
                    ..self.shared.event(epoch, kind)
                });
            };
            match command {
                TaskCommand::Cancel => state.cancel(task),
                TaskCommand::Checkpoint if state.is_running(task) => {
                    log(WorkerEventKind::Checkpointed);
                    None
                }
                TaskCommand::Throttle if state.throttle(now, task) => {
                    log(WorkerEventKind::Throttled);
                    None
                }
                TaskCommand::Checkpoint | TaskCommand::Throttle => {
                    return OutgoingResponse::message(404, "the task is not running on this worker");
                }
            }
        };
        if let Some(mut ended) = ended {
            while ended.changed().await.is_ok() {}
        }
        OutgoingResponse::json(200, &serde_json::json!({}))
    }

    async fn run(&self, request: &mut Request) -> OutgoingResponse {
        let (Some(task), Some(epoch), Some(team)) = (
            task_id(request),
            epoch_header(request),
            header(request, "fuchsiatack-team"),
        ) else {
            return OutgoingResponse::message(
                400,
                "the task identifier, epoch or team is missing or malformed",
            );
        };
        let demand = match header(request, "fuchsiatack-demand") {
            None => Resources::default(),
            Some(text) => match serde_json::from_str(&text) {
                Ok(demand) => demand,
                Err(_) => return OutgoingResponse::message(400, "the demand is malformed"),
            },
        };
        let work = header(request, "fuchsiatack-work").and_then(|text| parse_work(&text));
        let request_id = header(request, "fuchsiatack-request-id");
        let Ok(body) = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned() else {
            return OutgoingResponse::message(400, "the body is incomplete or too long");
        };
        let instructions = TaskBody::parse(&body);
        let running = RunningTask {
            demand,
            task,
            team: TeamName::new(team),
            work,
        };
        let event = WorkerEvent {
            demand: Some(demand),
            request: request_id.or_else(|| Some(instructions.request.clone()).filter(|id| !id.is_empty())),
            task: Some(task),
            team: Some(running.team.clone()),
            work: running.work.clone(),
            ..self.shared.event(epoch, WorkerEventKind::Started)
        };
        let settings = &self.shared.settings;
        let run_ms = instructions.run_ms.unwrap_or(settings.default_run_ms);
        let run_time = Duration::from_micros(run_ms * 1_000_000 / u64::from(settings.speed_millis.max(1)));
        let now = Instant::now();
        let (signal, control, behaviour) = {
            let mut state = self.shared.lock_at(now);
            let control = state.control.clone();
            let behaviour = match instructions.behaviour {
                _ if control.hang => Behaviour::Hang,
                Behaviour::Run if control.fail => Behaviour::Fail,
                other => other,
            };
            match state.start(now, epoch, running, run_time, behaviour) {
                Ok(signal) => {
                    // Logged under the lock, so that starts and ends are logged in their order.
                    self.shared.write(WorkerEvent {
                        at_us: wall_us(),
                        ..event.clone()
                    });
                    (signal, control, behaviour)
                }
                Err(cause) => return self.refuse(epoch, cause, Some(event)),
            }
        };
        // The task continues when its caller disconnects, as on a real worker.
        let task = tokio::spawn(run_task(self.shared.clone(), event, signal, behaviour));
        let kind = task.await.expect("a fake task does not panic");
        sleep(Duration::from_millis(instructions.late_ms + control.late_ms)).await;
        match kind {
            WorkerEventKind::Ended => OutgoingResponse {
                body: response_to(&body),
                content_type: "application/octet-stream",
                status: 200,
            },
            WorkerEventKind::Failed => OutgoingResponse::message(500, "the task failed"),
            _ => OutgoingResponse::message(410, "the task was stopped"),
        }
    }

    fn refuse(&self, epoch: Epoch, cause: RefusalCause, event: Option<WorkerEvent>) -> OutgoingResponse {
        let event = event.unwrap_or_else(|| self.shared.event(epoch, WorkerEventKind::Refused));
        self.shared.write(WorkerEvent {
            at_us: wall_us(),
            detail: smol_str::format_smolstr!("{} {}", cause.status(), cause.text()),
            epoch,
            event: WorkerEventKind::Refused,
            ..event
        });
        OutgoingResponse::message(cause.status(), cause.text())
    }
}

async fn run_task(
    shared: Arc<Shared>,
    event: WorkerEvent,
    mut signal: watch::Receiver<TaskSignal>,
    behaviour: Behaviour,
) -> WorkerEventKind {
    loop {
        let TaskSignal { ends_at, stop } = *signal.borrow_and_update();
        if stop.is_some() {
            break;
        }
        tokio::select! {
            biased;
            _ = signal.changed() => {}
            () = sleep_until(ends_at.unwrap_or_else(Instant::now)), if ends_at.is_some() => break,
        }
    }
    // After a pause of the process, this may run before the lease timer.
    let mut state = shared.lock_at(Instant::now());
    let stop = signal.borrow().stop;
    let (kind, at_us) = match (stop, behaviour) {
        (Some(StopCause::Cancelled), _) => (WorkerEventKind::Cancelled, wall_us()),
        (Some(StopCause::LeaseEnded(end)), _) => (WorkerEventKind::Stopped, wall_us_of(end)),
        (Some(StopCause::Shutdown), _) => (WorkerEventKind::Stopped, wall_us()),
        (None, Behaviour::Fail) => (WorkerEventKind::Failed, wall_us()),
        (None, Behaviour::Hang | Behaviour::Run) => (WorkerEventKind::Ended, wall_us()),
    };
    shared.write(WorkerEvent {
        at_us,
        event: kind,
        ..event.clone()
    });
    if let Some(task) = event.task {
        state.finish(task);
    }
    kind
}

/// Wall time of an instant in the past, in microseconds since the Unix epoch.
fn wall_us_of(instant: Instant) -> u64 {
    wall_us() - instant.elapsed().as_micros() as u64
}

async fn json_body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    let body = request.payload_with_max_size(MAX_BODY_BYTES).await.ok()?;
    serde_json::from_slice(body).ok()
}

fn header(request: &Request, name: &str) -> Option<SmolStr> {
    request.headers().get(name)?.to_str().ok().map(SmolStr::new)
}

fn epoch_header(request: &Request) -> Option<Epoch> {
    header(request, "fuchsiatack-epoch")?.parse().ok().map(Epoch)
}

fn task_id(request: &Request) -> Option<TaskId> {
    request.param::<String>("task")?.parse().ok()
}

/// Parses the task of a queued work, `NAME/NUMBER`.
fn parse_work(text: &str) -> Option<WorkTask> {
    let (work, number) = text.rsplit_once('/')?;
    Some(WorkTask {
        number: number.parse().ok()?,
        work: WorkName::new(work),
    })
}
