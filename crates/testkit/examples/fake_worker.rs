//! Runs one fake worker until SIGTERM.

use {
    fuchsiatack_testkit::{FakeWorker, FakeWorkerSettings},
    gumdrop::Options,
    std::{error::Error, fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs one fake worker until SIGTERM.
#[derive(Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Settings file in JSON; absent fields take their defaults.
    #[options(
        required,
        meta = "FILE",
        help = "settings as JSON, e.g. --settings worker.json"
    )]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let text = fs::read_to_string(&arguments.settings)?;
    let settings: FakeWorkerSettings = serde_json::from_str(&text)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let worker = FakeWorker::start(settings).await?;
    println!("{}", worker.address());
    terminate.recv().await;
    worker.stop().await;
    Ok(())
}
