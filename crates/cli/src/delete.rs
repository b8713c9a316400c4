//! `fuchsiatack delete`.

use {
    crate::{
        client::{Call, Client},
        error::CliError,
        output::Format,
        record_file,
    },
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack delete limit atelier";

/// Options of `delete`.
#[derive(Debug, Options)]
pub(crate) struct DeleteOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        help = "version to withdraw (else the one in force when the command starts)",
        meta = "N"
    )]
    version: Option<u64>,
}

impl DeleteOptions {
    /// Withdraws a record.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [kind, name] = self.free.as_slice() else {
            return Err(CliError::usage("delete needs KIND NAME"));
        };
        let kind = record_file::kind(kind)?;
        let path = record_file::path(kind, name);
        let version = match self.version {
            Some(version) => version,
            None => {
                let present = client.send(Call::get(path.clone())).await?;
                if !present.found {
                    return Err(record_file::not_found(kind, name, &present));
                }
                record_file::version(&present)?
            }
        };
        let answer = client
            .send(Call::delete(format!("{path}?version={version}")))
            .await?;
        if !answer.found {
            return Err(record_file::not_found(kind, name, &answer));
        }
        let kind = record_file::kind_name(kind);
        format.print(
            &json!({"kind": kind, "name": name, "deleted_version": version}),
            &format!("{kind} {name} is withdrawn"),
        );
        Ok(())
    }
}
