//! `fuchsiatackd`, the daemon of a Fuchsiatack cell.

use {
    fuchsiatack_daemon::{Arguments, Daemon, DaemonError, Settings, set_up_logs},
    fuchsiatack_platform::RunError,
    gumdrop::Options,
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

const INTERNAL_ERROR: u8 = 1;
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.platform {
        return run_on_platform(&arguments);
    }
    let Some(file) = &arguments.settings else {
        eprintln!(
            "fuchsiatackd: --settings FILE is missing\n\n{}",
            Arguments::usage()
        );
        return ExitCode::from(USAGE_ERROR);
    };
    let settings = match Settings::read(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("fuchsiatackd: {error}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", file.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fuchsiatackd: {error}");
            ExitCode::from(INTERNAL_ERROR)
        }
    }
}

fn run_on_platform(arguments: &Arguments) -> ExitCode {
    let Some(secret_file) = &arguments.cell_secret_file else {
        eprintln!("fuchsiatackd: --platform needs --cell-secret-file FILE");
        return ExitCode::from(USAGE_ERROR);
    };
    match fuchsiatack_platform::run(secret_file, arguments.boot_file.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error @ (RunError::File { .. } | RunError::Settings(_))) => {
            eprintln!("fuchsiatackd: {error}");
            ExitCode::from(USAGE_ERROR)
        }
        Err(error) => {
            eprintln!("fuchsiatackd: {error}");
            ExitCode::from(INTERNAL_ERROR)
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), DaemonError> {
    set_up_logs(&settings.log)?;
    // The handlers are installed before the start, so that an early signal leads to a planned stop
    // too, and stay installed to the end, so that a second signal has no effect.
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else {
        return Err(DaemonError::Log(
            "cannot install handlers for SIGTERM and SIGINT".into(),
        ));
    };
    let daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    Ok(())
}
