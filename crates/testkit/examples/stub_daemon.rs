//! Stands in for `fuchsiatackd` in this package's own tests of the cell builder: it reads the
//! settings, reports itself ready, answers announcements and ends with exit code 0 on SIGTERM.

use {
    fuchsiatack_model::AnnounceResponse,
    fuchsiatack_testkit::DaemonSettings,
    gumdrop::Options,
    salvo::{Listener, Router, Server, conn::TcpListener, handler, writing::Json},
    std::{error::Error, fs, path::PathBuf},
    tokio::signal::unix::{SignalKind, signal},
};

/// Options of the program.
#[derive(Options)]
struct Arguments {
    /// Prints this text.
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
