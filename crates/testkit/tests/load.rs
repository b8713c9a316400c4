//! Tests of the load generator's report, against a server with scripted responses.

use {
    fuchsiatack_model::{KeyName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, CallerEvent, LoadReport, LoadSettings, LoadTeam, Pace, read_json_log, response_to,
        run_load,
    },
    salvo::{
        Depot, FlowCtrl, Handler, Listener, Request, Response, Router, Server, conn::TcpListener,
        http::StatusCode,
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How the server responds to a request.
#[derive(Clone, Copy)]
enum Script {
    /// Responds with `done`.
    Done,
    /// Responds to the first attempt of each request with an error that has no outcome, then with `done`.
    LoseFirst,
    /// Responds with `not-run`.
    NotRun,
    /// Responds with the body that belongs to another request.
    Swap,
    /// Responds with the first 70 bytes of the body.
    Truncate,
    /// Responds with `done` after this many milliseconds.
    Wait(u64),
}

struct FakeEntry {
    script: Script,
    seen: Arc<Mutex<Vec<String>>>,
}

#[salvo::async_trait]
impl Handler for FakeEntry {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let id = request
            .header::<String>("fuchsiatack-request-id")
            .expect("the request should have an id");
        let body = request
            .payload()
            .await
            .expect("the body should be complete")
            .clone();
        let is_first = {
            let mut seen = self
                .seen
                .lock()
                .expect("no thread should panic while it holds the lock");
            seen.push(id.clone());
            seen.iter().filter(|other| **other == id).count() == 1
        };
        let (outcome, content) = match self.script {
            Script::Done => ("done", response_to(&body)),
            Script::LoseFirst if is_first => {
                response.status_code(StatusCode::BAD_GATEWAY);
                return;
            }
            Script::LoseFirst => ("done", response_to(&body)),
            Script::NotRun => ("not-run", Vec::new()),
            Script::Swap => ("done", response_to(b"another body")),
            Script::Truncate => ("done", response_to(&body)[..70].to_vec()),
            Script::Wait(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                ("done", response_to(&body))
            }
        };
        let name = salvo::http::HeaderName::from_static("fuchsiatack-outcome");
        let value = salvo::http::HeaderValue::from_static(outcome);
        response.headers_mut().insert(name, value);
        response.write_body(content).expect("the body should be written");
    }
}

async fn entry(script: Script) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let acceptor = TcpListener::new("127.0.0.1:0")
        .try_bind()
        .await
        .expect("a free port should be found");
    let address = acceptor
        .inner()
        .local_addr()
        .expect("the socket should have an address");
    let seen = Arc::new(Mutex::default());
    let handler = FakeEntry {
        script,
        seen: seen.clone(),
    };
    let router = Router::with_path("v1/queues/counter/requests").post(handler);
    tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    (address, seen)
}

fn settings(address: SocketAddr) -> LoadSettings {
    let team = |name: &str, weight| LoadTeam {
        key: Some(format!("secret-of-{name}")),
        key_name: Some(KeyName::new(name)),
        name: TeamName::new(name),
        weight,
    };
    LoadSettings {
        entries: vec![address],
        max_requests: 60,
        resend_pause: Duration::from_millis(1),
        seed: 7,
        teams: vec![team("anfa", 1), team("maarif", 3)],
        ..LoadSettings::default()
    }
}

async fn run(script: Script) -> LoadReport {
    let (address, _) = entry(script).await;
    run_load(settings(address)).await.expect("the load should run")
}

fn events(log: &Path) -> Vec<CallerEvent> {
    read_json_log(log).expect("the log should consist of JSON lines")
}

/// Guards against requests that are lost, counted twice or resent without need.
#[tokio::test]
async fn counts_each_request_once() {
    let (address, seen) = entry(Script::Done).await;

    let report = run_load(settings(address)).await.expect("the load should run");

    assert_eq!(report.count(AttemptOutcome::Done), 60);
    assert_eq!((report.resends, report.wrong_responses), (0, 0));
    assert_eq!(report.teams.len(), 2);
    let seen = seen
        .lock()
        .expect("no thread should panic while it holds the lock");
    assert_eq!(seen.len(), 60);
    assert_eq!(seen.iter().collect::<BTreeSet<_>>().len(), 60);
    assert!(report.to_string().contains("p99 ms"));
}

/// Guards against a resend under a new identifier, which would run a request twice.
#[tokio::test]
async fn resends_the_same_id_after_a_lost_response() {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    let log = folder.path().join("callers.jsonl");
    let (address, seen) = entry(Script::LoseFirst).await;

    let report = run_load(LoadSettings {
        log: Some(log.clone()),
        ..settings(address)
    })
    .await
    .expect("the load should run");

    assert_eq!((report.count(AttemptOutcome::Done), report.resends), (60, 60));
    let seen = seen
        .lock()
        .expect("no thread should panic while it holds the lock");
    assert_eq!(
        (seen.len(), seen.iter().collect::<BTreeSet<_>>().len()),
        (120, 60)
    );
    let events = events(&log);
    assert_eq!(
        events
            .iter()
            .filter(|event| event.seen == AttemptOutcome::Lost)
            .count(),
        60
    );
    assert_eq!(events.iter().filter(|event| event.last).count(), 60);
}

/// Guards against responses of other requests and incomplete responses that are counted as correct.
#[tokio::test]
async fn counts_wrong_responses() {
    assert_eq!(run(Script::Swap).await.wrong_responses, 60);
    assert_eq!(run(Script::Truncate).await.wrong_responses, 60);
}

/// Guards against rejections that are counted as completed requests.
#[tokio::test]
async fn reports_rejections() {
    let report = run(Script::NotRun).await;

    assert_eq!(
        (
            report.count(AttemptOutcome::NotRun),
            report.count(AttemptOutcome::Done)
        ),
        (60, 0)
    );
    assert_eq!(report.wrong_responses, 0);
}

/// Guards against an open loop that slows down with the server: it must start requests at its rate, or
/// count those that found all callers busy.
#[tokio::test]
async fn the_open_loop_does_not_wait_for_responses() {
    let (address, _) = entry(Script::Wait(1_500)).await;

    let report = run_load(LoadSettings {
        callers: 20,
        duration: Duration::from_millis(600),
        pace: Pace::Open { per_second: 100.0 },
        ..settings(address)
    })
    .await
    .expect("the load should run");

    assert_eq!(report.count(AttemptOutcome::Done) + report.skipped, 60);
    assert!(report.count(AttemptOutcome::Done) >= 20);
    assert!(report.skipped > 0);
}

/// Guards against different requests in two runs with the same seed.
#[tokio::test]
async fn the_seed_determines_the_requests() {
    let folder = tempfile::tempdir().expect("a temporary folder should be created");
    let mut plans = Vec::new();
    for name in ["first", "second"] {
        let log = folder.path().join(name);
        let (address, _) = entry(Script::Done).await;
        run_load(LoadSettings {
            log: Some(log.clone()),
            ..settings(address)
        })
        .await
        .expect("the load should run");
        let plan: BTreeSet<_> = events(&log)
            .into_iter()
            .map(|event| (event.request, event.team, event.idempotent))
            .collect();
        plans.push(plan);
    }

    assert_eq!(plans[0], plans[1]);
}

/// Guards against a resend to the daemon that did not respond to the attempt before. With one of three
/// daemons down, one request in 729 drew it for all six attempts and was reported as lost.
#[tokio::test]
async fn a_resend_goes_to_another_entry() {
    let live = [entry(Script::Done).await.0, entry(Script::Done).await.0];
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port should be found");
    let dead = listener.local_addr().expect("the socket should have an address");
    drop(listener);

    let report = run_load(LoadSettings {
        entries: vec![live[0], dead, live[1]],
        max_requests: 3_000,
        resend_pause: Duration::ZERO,
        ..settings(live[0])
    })
    .await
    .expect("the load should run");

    assert_eq!(report.count(AttemptOutcome::Lost), 0);
    assert_eq!(report.count(AttemptOutcome::Done), 3_000);
    assert!(report.resends > 100, "only {} resends", report.resends);
}
