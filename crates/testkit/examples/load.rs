//! Sends load to entry VMs and prints a table of outcomes and waits.

use {
    fuchsiatack_model::{QueueName, TeamName},
    fuchsiatack_testkit::{LoadSettings, LoadTeam, Pace, run_load},
    gumdrop::Options,
    std::{error::Error, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Sends load to entry VMs and prints a table of outcomes and waits.
#[derive(Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    #[options(
        meta = "N",
        help = "maximum number of concurrent callers, e.g. --callers 32",
        default = "8"
    )]
    callers: usize,
    #[options(
        meta = "MS",
        help = "deadline of a request, e.g. --deadline-ms 5000",
        default = "5000"
    )]
    deadline_ms: u64,
    #[options(
        meta = "S",
        help = "time for which requests are started, e.g. --duration-s 10",
        default = "5"
    )]
    duration_s: u64,
    #[options(meta = "ADDRESS", help = "entry VM, repeatable, e.g. --entry 127.0.0.1:8080")]
    entry: Vec<SocketAddr>,
    #[options(
        meta = "N",
        help = "fraction of idempotent requests in thousandths, e.g. --idempotent-millis 500",
        default = "500"
    )]
    idempotent_millis: u32,
    #[options(meta = "FILE", help = "event log as JSON lines, e.g. --log callers.jsonl")]
    log: Option<PathBuf>,
    #[options(
        meta = "NAME",
        help = "queue to send to, e.g. --queue counter",
        default = "counter"
    )]
    queue: String,
    #[options(
        meta = "N",
        help = "open loop with N requests per second, e.g. --rate 200; closed loop if absent"
    )]
    rate: Option<f64>,
    #[options(
        meta = "N",
        help = "maximum number of resends after lost responses, e.g. --resends 5",
        default = "5"
    )]
    resends: u32,
    #[options(
        meta = "MS",
        help = "longest run time of a task, e.g. --run-ms 50",
        default = "50"
    )]
    run_ms: u64,
    #[options(meta = "N", help = "seed of the load, e.g. --seed 7", default = "1")]
    seed: u64,
    #[options(
        meta = "NAME:WEIGHT[:KEY]",
        help = "team, repeatable, e.g. --team anfa:2:secret; without a key for an open queue"
    )]
    team: Vec<String>,
}

fn parse_team(text: &str) -> Result<LoadTeam, String> {
    let mut parts = text.splitn(3, ':');
    let (Some(name), Some(weight)) = (parts.next(), parts.next()) else {
        return Err(format!("{text}: expected NAME:WEIGHT or NAME:WEIGHT:KEY"));
    };
    Ok(LoadTeam {
        key: parts.next().map(str::to_owned),
        key_name: None,
        name: TeamName::new(name),
        weight: weight.parse().map_err(|error| format!("{text}: {error}"))?,
    })
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let teams = arguments
        .team
        .iter()
        .map(|text| parse_team(text))
        .collect::<Result<Vec<_>, _>>()?;
    let report = run_load(LoadSettings {
        callers: arguments.callers,
        deadline: Duration::from_millis(arguments.deadline_ms),
        duration: Duration::from_secs(arguments.duration_s),
        entries: arguments.entry,
        idempotent_millis: arguments.idempotent_millis,
        log: arguments.log,
        pace: match arguments.rate {
            None => Pace::Closed,
            Some(per_second) => Pace::Open { per_second },
        },
        queue: QueueName::new(arguments.queue),
        resends: arguments.resends,
        run_ms: 1..arguments.run_ms + 1,
        seed: arguments.seed,
        teams,
        ..LoadSettings::default()
    })
    .await?;
    println!("{report}");
    Ok(())
}
