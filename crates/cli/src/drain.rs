//! `fuchsiatack drain`.

use {
    crate::{
        client::{Answer, Call, Client},
        error::CliError,
        output::Format,
        record_file,
    },
    fuchsiatack_records::Kind,
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack drain worker-17 --reason 'new memory'";

const DEFAULT_REASON: &str = "drained by an operator";

/// Options of `drain`.
#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(no_short, help = "put the worker back into service")]
    end: bool,
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "why, for people", meta = "TEXT")]
    reason: Option<String>,
}

impl DrainOptions {
    /// Writes or withdraws the `drain` record of a worker. Both succeed without a write if
    /// the worker already is as wanted.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [worker] = self.free.as_slice() else {
            return Err(CliError::usage("drain needs WORKER"));
        };
        let path = record_file::path(Kind::Drain, worker);
        let present = client.send(Call::get(path.clone())).await?;
        match self.end {
            true => end(client, &path, &present).await?,
            false => self.begin(client, &path, worker, &present).await?,
        }
        let state = if self.end { "in service" } else { "drained" };
        format.print(
            &json!({"worker": worker, "drained": !self.end}),
            &format!("{worker} is {state}"),
        );
        Ok(())
    }

    async fn begin(
        &self,
        client: &Client,
        path: &str,
        worker: &str,
        present: &Answer,
    ) -> Result<(), CliError> {
        if present.found && self.reason.is_none() {
            return Ok(());
        }
        let body = json!({
            "schema": 2,
            "kind": record_file::kind_name(Kind::Drain),
            "name": worker,
            "version": record_file::version(present)?,
            "spec": {"reason": self.reason.as_deref().unwrap_or(DEFAULT_REASON)},
        });
        let answer = client.send(Call::put(path.to_owned(), &body)).await?;
        match answer.found {
            true => Ok(()),
            false => Err(record_file::not_found(Kind::Drain, worker, &answer)),
        }
    }
}

/// Withdraws the record. If it is gone by then, the worker is in service as well.
async fn end(client: &Client, path: &str, present: &Answer) -> Result<(), CliError> {
    if !present.found {
        return Ok(());
    }
    let version = record_file::version(present)?;
    client
        .send(Call::delete(format!("{path}?version={version}")))
        .await?;
    Ok(())
}
