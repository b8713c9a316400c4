//! Starts a cell of three daemons and five workers on loopback, sends work of each kind, prints
//! answers and measured waits, and stops everything gracefully.

use {
    fuchsiatack_model::{KeyName, TeamName},
    fuchsiatack_testkit::{
        AttemptOutcome, Caller, CallerRequest, Cell, CellBuilder, HistoryChecker, LoadSettings, LoadTeam,
        TaskBody, WorkerMode, is_answer_to,
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

type Outcome<T> = Result<T, Box<dyn Error>>;

const DATA_CENTERS: [&str; 3] = ["casablanca-1", "casablanca-2", "casablanca-3"];
/// Class and speed of the workers, in thousandths.
const WORKERS: [(&str, u32); 5] = [
    ("fast", 1_800),
    ("ordinary", 1_000),
    ("ordinary", 1_000),
    ("ordinary", 1_000),
    ("slow", 500),
];
const LOAD_TEAMS: [(&str, u32); 4] = [("anfa", 3), ("maarif", 3), ("habous", 1), ("oasis", 1)];
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Options of the program.
#[derive(Options)]
struct Arguments {
    /// Prints this text.
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
async fn main() -> Outcome<()> {
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

    apply(&mut cell, &arguments)?;
    interactive(&mut cell, entries[0]).await?;
    let batch = queued(&mut cell, entries[1], &arguments.examples.join("batch.yaml")).await?;
    let gang = queued(&mut cell, entries[2], &arguments.examples.join("gang.yaml")).await?;
    load(&cell).await?;
    println!("batch of 12 tasks: {batch:.1?} from submission to its end");
    println!("gang of 4 tasks:   {gang:.1?} from submission to its end");

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

/// Applies the example records with the operators' command line.
fn apply(cell: &mut Cell, arguments: &Arguments) -> Outcome<()> {
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

/// Sends one request and checks its answer. Workers may not have an owner yet, so a rejection is
/// sent again.
async fn interactive(cell: &mut Cell, entry: SocketAddr) -> Outcome<()> {
    let caller = Caller::new(Some("anfa-example-key"));
    let request = CallerRequest {
        body: TaskBody::run(20).to_json().into(),
        deadline: Duration::from_secs(5),
        idempotent: false,
        queue: "counter".to_owned(),
        request: "demo-1".to_owned(),
    };
    let mut answer = None;
    cell.wait_until("the first request is done", async |_| {
        let seen = caller.send(entry, &request).await?;
        let is_done = seen.seen == AttemptOutcome::Done;
        answer = Some(seen);
        Ok(is_done)
    })
    .await?;
    let answer = answer.ok_or("no answer")?;
    if !is_answer_to(&answer.body, &request.body) {
        return Err("the answer does not belong to the request".into());
    }
    println!(
        "Interactive request demo-1: {} with status {}, answer of {} bytes:",
        answer.seen.as_str(),
        answer.status,
        answer.body.len()
    );
    for line in String::from_utf8_lossy(&answer.body).lines() {
        println!("  {line}");
    }
    Ok(())
}

/// Submits the work of a file, waits until all its tasks are done and returns how long it took.
async fn queued(cell: &mut Cell, entry: SocketAddr, file: &Path) -> Outcome<Duration> {
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

/// Sends interactive requests of several teams and prints the table.
async fn load(cell: &Cell) -> Outcome<()> {
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
        count => Err(format!("{count} answers were wrong").into()),
    }
}
