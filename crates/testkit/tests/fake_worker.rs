//! Tests that the fake worker implements the worker protocol. Tests of daemons rely on its refusals and
//! its event log.

use {
    fuchsiatack_model::{AnnounceResponse, Epoch, Resources, WorkerAnnouncement, WorkerReport},
    fuchsiatack_testkit::{
        Behaviour, FakeWorker, FakeWorkerSettings, TaskBody, WorkerControl, WorkerEvent, WorkerEventKind,
        is_response_to, read_json_log,
    },
    reqwest::{Client, Response},
    salvo::{Depot, FlowCtrl, Handler, Listener, Request, Router, Server, conn::TcpListener},
    serde_json::json,
    std::{
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Longest wait for a condition or a response.
const LIMIT: Duration = Duration::from_secs(30);

fn settings() -> FakeWorkerSettings {
    FakeWorkerSettings {
        capacity: Resources {
            slots: 2,
            connections: 4,
            ..FakeWorkerSettings::default().capacity
        },
        ..FakeWorkerSettings::default()
    }
}

/// Sends the requests of a worker's owner.
struct Owner {
    client: Client,
    worker: SocketAddr,
}

impl Owner {
    fn of(worker: &FakeWorker) -> Self {
        Self {
            client: Client::builder()
                .no_proxy()
                .timeout(LIMIT)
                .build()
                .expect("a client without TLS needs no system support"),
            worker: worker.address(),
        }
    }

    async fn post(&self, path: &str, body: serde_json::Value) -> Response {
        self.client
            .post(format!("http://{}/{path}", self.worker))
            .json(&body)
            .send()
            .await
            .expect("the worker should respond")
    }

    async fn fence(&self, epoch: u64, lease_ms: u64) -> u16 {
        let body = json!({"epoch": epoch, "lease_ms": lease_ms});
        self.post("v1/epoch", body).await.status().as_u16()
    }

    async fn renew(&self, epoch: u64, lease_ms: u64) -> Response {
        let body = json!({"epoch": epoch, "lease_ms": lease_ms});
        self.post("v1/lease", body).await
    }

    async fn run(&self, task: &str, epoch: u64, body: &TaskBody) -> Response {
        self.client
            .post(format!("http://{}/v1/tasks/{task}/run", self.worker))
            .header("fuchsiatack-epoch", epoch)
            .header("fuchsiatack-team", "anfa")
            .body(body.to_json())
            .send()
            .await
            .expect("the worker should respond")
    }

    fn spawn_run(
        self: &Arc<Self>,
        task: &'static str,
        epoch: u64,
        body: TaskBody,
    ) -> tokio::task::JoinHandle<u16> {
        let owner = self.clone();
        tokio::spawn(async move { owner.run(task, epoch, &body).await.status().as_u16() })
    }
}

fn hang() -> TaskBody {
    TaskBody {
        behaviour: Behaviour::Hang,
        ..TaskBody::default()
    }
}

async fn wait_running(worker: &FakeWorker, count: usize) {
    timeout(LIMIT, async {
        while worker.running() != count {
            sleep(Duration::from_millis(2)).await;
        }
    })
    .await
    .expect("the number of running tasks should be reached in time");
}

fn kinds(log: &Path) -> Vec<WorkerEventKind> {
    let events: Vec<WorkerEvent> = read_json_log(log).expect("the log should consist of JSON lines");
    events.into_iter().map(|event| event.event).collect()
}

/// Guards against a worker that accepts requests of a former owner after a newer one has sent its epoch.
#[tokio::test]
async fn accepts_only_the_highest_epoch() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Owner::of(&worker);

    assert_eq!(owner.run("1-1", 5, &TaskBody::run(1)).await.status(), 409);
    assert_eq!(owner.fence(5, 10_000).await, 200);
    assert_eq!(owner.fence(5, 10_000).await, 200);
    assert_eq!(owner.fence(7, 10_000).await, 200);

    assert_eq!(owner.fence(5, 10_000).await, 409);
    assert_eq!(owner.renew(5, 10_000).await.status(), 409);
    assert_eq!(owner.run("1-2", 5, &TaskBody::run(1)).await.status(), 409);
    assert_eq!(owner.run("1-3", 8, &TaskBody::run(1)).await.status(), 409);
    assert_eq!(owner.run("1-4", 7, &TaskBody::run(1)).await.status(), 200);
    assert_eq!(worker.epoch(), Epoch(7));
}

/// Guards against tasks that outlive their lease, which daemons consider ended.
#[tokio::test]
async fn stops_tasks_when_the_lease_ends_and_then_needs_a_higher_epoch() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 300).await, 200);

    let run = owner.spawn_run("1-1", 3, hang());
    let status = timeout(LIMIT, run)
        .await
        .expect("the task should stop in time")
        .expect("the task should not panic");

    assert_eq!(status, 410);
    assert_eq!(worker.running(), 0);
    assert_eq!(owner.renew(3, 300).await.status(), 409);
    assert_eq!(owner.fence(3, 300).await, 409);
    assert_eq!(owner.fence(4, 300).await, 200);
}

/// Guards against a lease that expires although its owner renews it.
#[tokio::test]
async fn a_renewed_lease_keeps_tasks_running() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 2_000).await, 200);
    let run = owner.spawn_run("1-1", 3, TaskBody::run(4_000));
    wait_running(&worker, 1).await;

    for _ in 0..20 {
        let report: WorkerReport = owner
            .renew(3, 2_000)
            .await
            .json()
            .await
            .expect("the body should be a report");
        assert_eq!(report.epoch, Epoch(3));
        sleep(Duration::from_millis(200)).await;
    }

    assert_eq!(
        timeout(LIMIT, run)
            .await
            .expect("the task should end in time")
            .expect("the task should not panic"),
        200
    );
}

/// Guards against a fake worker that hides an overload by its owner: it must refuse a task that exceeds
/// its slots or any other resource.
#[tokio::test]
async fn refuses_above_its_capacity() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 20_000).await, 200);
    let first = owner.spawn_run("1-1", 3, hang());
    let second = owner.spawn_run("1-2", 3, hang());
    wait_running(&worker, 2).await;

    assert_eq!(owner.run("1-3", 3, &TaskBody::run(1)).await.status(), 429);

    owner.post("v1/tasks/1-1/cancel", json!({})).await;
    let large = owner
        .client
        .post(format!("http://{}/v1/tasks/1-4/run", owner.worker))
        .header("fuchsiatack-epoch", 3)
        .header("fuchsiatack-team", "anfa")
        .header(
            "fuchsiatack-demand",
            json!({"slots": 1, "accelerators": 1}).to_string(),
        )
        .send()
        .await
        .expect("the worker should respond");
    assert_eq!(large.status(), 429);
    owner.post("v1/tasks/1-2/cancel", json!({})).await;
    assert_eq!(first.await.expect("the task should not panic"), 410);
    assert_eq!(second.await.expect("the task should not panic"), 410);
}

/// Guards against a cancel that is acknowledged while the task still runs, and against a task that
/// starts after its cancel was acknowledged.
#[tokio::test]
async fn an_acknowledged_cancel_is_final() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 20_000).await, 200);
    let run = owner.spawn_run("1-1", 3, hang());
    wait_running(&worker, 1).await;

    assert_eq!(owner.post("v1/tasks/1-1/cancel", json!({})).await.status(), 200);

    assert_eq!(worker.running(), 0);
    assert_eq!(run.await.expect("the task should not panic"), 410);
    assert_eq!(owner.post("v1/tasks/1-9/cancel", json!({})).await.status(), 200);
    assert_eq!(owner.run("1-9", 3, &TaskBody::run(1)).await.status(), 429);
}

/// Guards against responses that a caller cannot verify, and injected faults without effect.
#[tokio::test]
async fn responds_as_the_body_and_the_control_specify() {
    let worker = FakeWorker::start(settings())
        .await
        .expect("the worker should start");
    let owner = Owner::of(&worker);
    assert_eq!(owner.fence(3, 60_000).await, 200);

    let body = TaskBody {
        padding: "x".repeat(100_000).into(),
        ..TaskBody::run(1)
    };
    let response = owner
        .run("1-1", 3, &body)
        .await
        .bytes()
        .await
        .expect("the body should be complete");
    assert!(is_response_to(&response, body.to_json().as_bytes()));

    let fail = TaskBody {
        behaviour: Behaviour::Fail,
        ..TaskBody::run(1)
    };
    assert_eq!(owner.run("1-2", 3, &fail).await.status(), 500);

    let late = TaskBody {
        late_ms: 300,
        ..TaskBody::run(1)
    };
    let start = Instant::now();
    assert_eq!(owner.run("1-3", 3, &late).await.status(), 200);
    assert!(start.elapsed() >= Duration::from_millis(300));

    worker.control(WorkerControl {
        fail: true,
        ..WorkerControl::default()
    });
    assert_eq!(owner.run("1-4", 3, &TaskBody::run(1)).await.status(), 500);
    let refuse = json!({"refuse": true});
    assert_eq!(owner.post("testkit/control", refuse).await.status(), 200);
    assert_eq!(owner.run("1-5", 3, &TaskBody::run(1)).await.status(), 429);
}

/// Guards against speeds that are ignored: a worker with a quarter of the speed takes four times as
/// long, and a throttled task takes longer than its run time.
#[tokio::test]
async fn run_time_depends_on_speed_and_throttling() {
    let slow = FakeWorkerSettings {
        speed_millis: 250,
        ..settings()
    };
    let worker = FakeWorker::start(slow).await.expect("the worker should start");
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 60_000).await, 200);

    let start = Instant::now();
    assert_eq!(owner.run("1-1", 3, &TaskBody::run(50)).await.status(), 200);
    assert!(start.elapsed() >= Duration::from_millis(200));

    let start = Instant::now();
    let run = owner.spawn_run("1-2", 3, TaskBody::run(100));
    wait_running(&worker, 1).await;
    assert_eq!(owner.post("v1/tasks/1-2/throttle", json!({})).await.status(), 200);
    assert_eq!(
        owner.post("v1/tasks/1-2/checkpoint", json!({})).await.status(),
        200
    );
    assert_eq!(run.await.expect("the task should not panic"), 200);
    assert!(start.elapsed() >= Duration::from_millis(500));
}

/// Collects announcements and responds with an owner.
struct Entry {
    owner: Option<SocketAddr>,
    seen: Arc<Mutex<Vec<WorkerAnnouncement>>>,
}

#[salvo::async_trait]
impl Handler for Entry {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut salvo::Response,
        _control: &mut FlowCtrl,
    ) {
        let body = request.payload().await.expect("the body should be complete");
        let announcement = serde_json::from_slice(body).expect("the body should be an announcement");
        self.seen
            .lock()
            .expect("no thread should panic while it holds the lock")
            .push(announcement);
        let reply = AnnounceResponse {
            interval_ms: 50,
            owner: self.owner.map(|owner| owner.to_string().into()),
        };
        response.render(salvo::writing::Json(reply));
    }
}

async fn entry(owner: Option<SocketAddr>) -> (SocketAddr, Arc<Mutex<Vec<WorkerAnnouncement>>>) {
    let acceptor = TcpListener::new("127.0.0.1:0")
        .try_bind()
        .await
        .expect("a free port should be found");
    let address = acceptor
        .inner()
        .local_addr()
        .expect("the socket should have an address");
    let seen = Arc::new(Mutex::default());
    let handler = Entry {
        owner,
        seen: seen.clone(),
    };
    let router = Router::with_path("v1/workers/announce").post(handler);
    tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    (address, seen)
}

async fn wait_announcements(seen: &Mutex<Vec<WorkerAnnouncement>>, count: usize) {
    timeout(LIMIT, async {
        while seen
            .lock()
            .expect("no thread should panic while it holds the lock")
            .len()
            < count
        {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the announcements should arrive in time");
}

/// Guards against a worker that is not announced when its first entry VM is down, that does not announce
/// itself to its owner, or that stops without announcing it and without finishing its tasks.
#[tokio::test]
async fn announces_itself_and_leaves_gracefully() {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    let log = folder.path().join("worker.events");
    let closed = fuchsiatack_testkit::free_address().expect("a free port should be found");
    let (owner_address, owner_seen) = entry(None).await;
    let (first_address, first_seen) = entry(Some(owner_address)).await;
    let worker = FakeWorker::start(FakeWorkerSettings {
        entries: vec![closed, first_address],
        leave_grace_ms: 100,
        log: Some(log.clone()),
        ..settings()
    })
    .await
    .expect("the worker should start");

    wait_announcements(&first_seen, 1).await;
    wait_announcements(&owner_seen, 1).await;
    let owner = Arc::new(Owner::of(&worker));
    assert_eq!(owner.fence(3, 20_000).await, 200);
    let run = owner.spawn_run("1-1", 3, TaskBody::run(500));
    wait_running(&worker, 1).await;
    worker.stop().await;

    assert_eq!(run.await.expect("the task should not panic"), 200);
    let announced = owner_seen
        .lock()
        .expect("no thread should panic while it holds the lock")
        .iter()
        .any(|seen| seen.leaving);
    assert!(
        announced
            || first_seen
                .lock()
                .expect("no thread should panic while it holds the lock")
                .iter()
                .any(|seen| seen.leaving)
    );
    let kinds = kinds(&log);
    let position = |kind| {
        kinds
            .iter()
            .position(|other| *other == kind)
            .expect("the event should be logged")
    };
    assert!(position(WorkerEventKind::Up) < position(WorkerEventKind::Announced));
    assert!(position(WorkerEventKind::Started) < position(WorkerEventKind::AnnouncedLeaving));
    assert!(position(WorkerEventKind::AnnouncedLeaving) < position(WorkerEventKind::Ended));
    assert_eq!(kinds.last(), Some(&WorkerEventKind::Down));
}
