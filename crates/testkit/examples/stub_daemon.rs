//! Stub of `fuchsiatackd` for this package's tests of the cell builder: reads the settings, reports that
//! it is ready, accepts announcements and ends with exit code 0 on SIGTERM.

use {
    fuchsiatack_model::AnnounceResponse,
    fuchsiatack_testkit::DaemonSettings,
    gumdrop::Options,
    salvo::{Listener, Router, Server, conn::TcpListener, handler, writing::Json},
    std::{error::Error, fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// Runs a stub of `fuchsiatackd` until SIGTERM.
#[derive(Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    #[options(required, meta = "FILE", help = "settings file, e.g. --settings entry-1.yaml")]
    settings: PathBuf,
}

#[handler]
async fn announce() -> Json<AnnounceResponse> {
    Json(AnnounceResponse {
        interval_ms: 100,
        owner: None,
    })
}

#[handler]
async fn ready() -> &'static str {
    "{}"
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings: DaemonSettings = serde_saphyr::from_str(&fs::read_to_string(&arguments.settings)?)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let callers = TcpListener::new(settings.callers.address).try_bind().await?;
    let operators = TcpListener::new(settings.operators.address).try_bind().await?;
    let caller_router = Router::with_path("v1/workers/announce").post(announce);
    let operator_router = Router::with_path("ready").get(ready);
    if let Some(folder) = settings.store.data_folder {
        fs::write(folder.join("started"), settings.name)?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        () = Server::new(callers).serve(caller_router) => {}
        () = Server::new(operators).serve(operator_router) => {}
    }
    Ok(())
}
