//! `fuchsiatack status`.

use {
    crate::{
        client::{Client, Request},
        error::CliError,
        evacuate,
        output::Format,
    },
    gumdrop::Options,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack status --output json";

/// Request path of the status of the cell.
pub(crate) const PATH: &str = "/v1/status";

/// Shows members, sessions, workers, tokens and evacuated data centres.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print help")]
    help: bool,
}

impl StatusOptions {
    /// Prints the status of the cell as the first server that responds reports it.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let mut response = client.send(Request::get(PATH.to_owned())).await?;
        match response.found {
            true => {
                // The rest of the status must be shown also while the records cannot be read.
                let evacuations = evacuate::summary(client, &response.body).await;
                response.body["evacuations"] = evacuations.unwrap_or_default();
                format.print_value(&response.body)
            }
            false => Err(CliError::Internal {
                message: format!("{} does not serve {PATH}", response.server),
            }),
        }
    }
}
