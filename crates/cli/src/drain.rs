//! `fuchsiatack drain`.

use {
    crate::{
        client::{Client, Request, Response},
        error::CliError,
        output::Format,
        records,
    },
    fuchsiatack_records::Kind,
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack drain worker-17 --reason 'new memory'";

const DEFAULT_REASON: &str = "drained by an operator";

/// Takes a worker out of service or returns it to service.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(no_short, help = "end the drain and return the worker to service")]
    end: bool,
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "reason for the drain, shown to operators", meta = "TEXT")]
    reason: Option<String>,
}

impl DrainOptions {
    /// Writes or deletes the `drain` record of a worker. Succeeds without a write if the worker is
    /// already in the requested state.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [worker] = self.free.as_slice() else {
            return Err(CliError::usage("drain needs WORKER"));
        };
        let path = records::request_path(Kind::Drain, worker);
        let current = client.send(Request::get(path.clone())).await?;
        match self.end {
            true => end_drain(client, &path, &current).await?,
            false => self.start_drain(client, &path, worker, &current).await?,
        }
        let state = if self.end { "in service" } else { "drained" };
        format.print(
            &json!({"worker": worker, "drained": !self.end}),
            &format!("{worker} is {state}"),
        );
        Ok(())
    }

    /// Writes the record, unless the worker is drained already and no new reason is given.
    async fn start_drain(
        &self,
        client: &Client,
        path: &str,
        worker: &str,
        current: &Response,
    ) -> Result<(), CliError> {
        if current.found && self.reason.is_none() {
            return Ok(());
        }
        let body = json!({
            "schema": 2,
            "kind": records::kind_name(Kind::Drain),
            "name": worker,
            "version": records::version(current)?,
            "spec": {"reason": self.reason.as_deref().unwrap_or(DEFAULT_REASON)},
        });
        let response = client.send(Request::put(path.to_owned(), &body)).await?;
        match response.found {
            true => Ok(()),
            false => Err(records::not_found(Kind::Drain, worker, &response)),
        }
    }
}

/// Deletes the record. A record that another operator has deleted meanwhile is not an error, since
/// the worker is then in service too.
async fn end_drain(client: &Client, path: &str, current: &Response) -> Result<(), CliError> {
    if !current.found {
        return Ok(());
    }
    let version = records::version(current)?;
    client
        .send(Request::delete(format!("{path}?version={version}")))
        .await?;
    Ok(())
}
