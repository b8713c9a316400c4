//! Starts a cell of three daemons and five workers on loopback, sends work of each kind, prints the
//! responses and measured waits, and stops the cell gracefully.

use {
    fuchsiatack_model::{KeyName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, Caller, CallerRequest, Cell, CellBuilder, HistoryChecker, LoadSettings, LoadTeam,
        TaskBody, WorkerMode, is_response_to,
    },
    gumdrop::Options,
    serde_json::Value,
    std::{
        error::Error,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Command,
        time::{Duration, Instant},
    },
};

type Fallible<T> = Result<T, Box<dyn Error>>;

const DATA_CENTERS: [&str; 3] = ["casablanca-1", "casablanca-2", "casablanca-3"];
/// Class of each worker, and its speed in thousandths of an ordinary one.
const WORKERS: [(&str, u32); 5] = [
    ("fast", 1_800),
    ("ordinary", 1_000),
    ("ordinary", 1_000),
    ("ordinary", 1_000),
    ("slow", 500),
];
/// Teams of the interactive load, each with its weight.
const LOAD_TEAMS: [(&str, u32); 4] = [("anfa", 3), ("maarif", 3), ("habous", 1), ("oasis", 1)];
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Runs a cell of three daemons and five workers on loopback and sends work of each kind.
#[derive(Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    #[options(required, meta = "FILE", help = "fuchsiatack, e.g. target/debug/fuchsiatack")]
    command_line: PathBuf,
    #[options(
        required,
        meta = "FILE",
        help = "fuchsiatackd, e.g. target/debug/fuchsiatackd"
    )]
    daemon: PathBuf,
    #[options(
        required,
        meta = "FOLDER",
        help = "examples of this repository, e.g. examples"
    )]
    examples: PathBuf,
}

#[tokio::main]
async fn main() -> Fallible<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    println!("Starting three daemons, each with a copy of the store, and five workers.");
    let mut builder = CellBuilder::new(&arguments.daemon)
        .daemons(3)
        .store_members(3)
        .data_centers(&DATA_CENTERS)
        .worker_mode(WorkerMode::Process);
    for (class, speed_millis) in WORKERS {
        builder = builder.worker(|worker| {
            worker.class = Some(class.into());
            worker.speed_millis = speed_millis;
        });
    }
    let mut cell = builder.start().await?;
    let entries = cell.caller_addresses();

    apply_records(&mut cell, &arguments)?;
    send_request(&mut cell, entries[0]).await?;
    let batch = run_work(&mut cell, entries[1], &arguments.examples.join("batch.yaml")).await?;
    let gang = run_work(&mut cell, entries[2], &arguments.examples.join("gang.yaml")).await?;
    send_load(&cell).await?;
    println!("batch of 12 tasks: {batch:.1?} from submission to completion");
    println!("gang of 4 tasks:   {gang:.1?} from submission to completion");

    let violations = HistoryChecker::default().check(&cell.history()?);
    for violation in &violations {
        println!("violation: {violation}");
    }
    println!("Stopping workers and daemons with SIGTERM.");
    cell.stop().await?;
    match violations.len() {
        0 => {
            println!("All processes ended with exit code 0; the logs show no violation.");
            Ok(())
        }
        count => Err(format!("the logs show {count} violations").into()),
    }
}

/// Applies the example records with the command line of operators.
fn apply_records(cell: &mut Cell, arguments: &Arguments) -> Fallible<()> {
    let file = arguments.examples.join("atelier/records.yaml");
    println!("Applying {}.", file.display());
    let server = cell.daemon(1).operator_address();
    let output = Command::new(&arguments.command_line)
        .args(["--server", &server.to_string(), "--key-file"])
        .arg(cell.operator_key_file())
        .args(["apply", "-f"])
        .arg(file)
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    println!("{} lines of output, the last:", text.lines().count());
    println!("  {}", text.lines().last().unwrap_or_default());
    match output.status.success() {
        true => Ok(()),
        false => Err(format!(
            "apply ended with {}: {}",
            output.status,
            String::from_utf8_lossy(&output.stderr)
        )
        .into()),
    }
}

/// Sends one request and checks its response. Workers may not have an owner yet, so a rejected request
/// is sent again.
async fn send_request(cell: &mut Cell, entry: SocketAddr) -> Fallible<()> {
    let caller = Caller::new(Some("anfa-example-key"));
    let request = CallerRequest {
        body: TaskBody::run(20).to_json().into(),
        deadline: Duration::from_secs(5),
        idempotent: false,
        queue: "counter".to_owned(),
        request: "demo-1".to_owned(),
    };
    let mut response = None;
    cell.wait_until("the first request is done", async |_| {
        let received = caller.send(entry, &request).await?;
        let is_done = received.seen == AttemptOutcome::Done;
        response = Some(received);
        Ok(is_done)
    })
    .await?;
    let response = response.ok_or("no response")?;
    if !is_response_to(&response.body, &request.body) {
        return Err("the response does not belong to the request".into());
    }
    println!(
        "Interactive request demo-1: {} with status {}, response of {} bytes:",
        response.seen.as_str(),
        response.status,
        response.body.len()
    );
    for line in String::from_utf8_lossy(&response.body).lines() {
        println!("  {line}");
    }
    Ok(())
}

/// Submits the work of a file, waits until it is finished and returns the time that it took.
async fn run_work(cell: &mut Cell, entry: SocketAddr, file: &Path) -> Fallible<Duration> {
    let record: Value = serde_saphyr::from_str(&fs::read_to_string(file)?)?;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let (name, team) = (text(&record["name"]), text(&record["spec"]["team"]));
    let caller = Caller::new(Some(&format!("{team}-example-key")));
    let start = Instant::now();
    caller.submit(entry, &format!("demo-{name}"), &record).await?;
    cell.record_work(&record);
    let mut status = Value::Null;
    cell.wait_until("the work is finished", async |_| {
        status = caller.read(entry, &name).await?["status"].take();
        Ok(status["phase"] == "finished")
    })
    .await?;
    let elapsed = start.elapsed();
    cell.record_work_end(&name, &status)?;
    println!(
        "Work {name}: {}, outcomes {}",
        text(&status["phase"]),
        status["outcomes"]
    );
    Ok(elapsed)
}

/// Sends interactive requests of several teams and prints the load report.
async fn send_load(cell: &Cell) -> Fallible<()> {
    println!("Sending interactive requests of four teams for {LOAD_TIME:?}.");
    let teams = LOAD_TEAMS.iter().map(|(name, weight)| LoadTeam {
        key: Some(format!("{name}-example-key")),
        key_name: Some(KeyName::new(format!("{name}-desk"))),
        name: TeamName::new(name),
        weight: *weight,
    });
    let report = fuchsiatack_testkit::run_load(LoadSettings {
        callers: 16,
        duration: LOAD_TIME,
        teams: teams.collect(),
        ..cell.load_settings()
    })
    .await?;
    println!("{report}");
    match report.wrong_responses {
        0 => Ok(()),
        count => Err(format!("{count} responses were wrong").into()),
    }
}
