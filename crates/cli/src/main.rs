//! Command line for operators. Most commands use the HTTP interface for operators; `check`, `scarce`
//! and `trace` only read local files.

mod apply;
mod check;
mod client;
mod delete;
mod drain;
mod error;
mod evacuate;
mod get;
mod log_line;
mod options;
mod output;
mod records;
mod replace_member;
mod scarce;
mod status;
mod trace;

use {
    crate::{error::CliError, options::Invocation},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let result = Invocation::parse(&arguments).and_then(run);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("fuchsiatack: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(invocation: Invocation) -> Result<(), CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Internal {
            message: error.to_string(),
        })?
        .block_on(invocation.run())
}
