//! `fuchsiatack status`.

use {
    crate::{
        client::{Call, Client},
        error::CliError,
        output::Format,
    },
    gumdrop::Options,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack status --output json";

/// Path of the cell's status.
pub(crate) const PATH: &str = "/v1/status";

/// Options of `status`.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print help")]
    help: bool,
}

impl StatusOptions {
    /// Shows the status of the cell.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let answer = client.send(Call::get(PATH.to_owned())).await?;
        match answer.found {
            true => format.print_value(&answer.body),
            false => Err(CliError::Internal {
                message: format!("{} does not serve {PATH}", answer.server),
            }),
        }
    }
}
