//! `fuchsiatack delete`.

use {
    crate::{
        client::{Client, Request},
        error::CliError,
        output::Format,
        records,
    },
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack delete limit atelier";

/// Deletes a record.
#[derive(Debug, Options)]
pub(crate) struct DeleteOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        help = "version to delete (default: the one in force when the command starts)",
        meta = "N"
    )]
    version: Option<u64>,
}

impl DeleteOptions {
    /// Deletes a record, if the given or current version is still in force.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let [kind, name] = self.free.as_slice() else {
            return Err(CliError::usage("delete needs KIND NAME"));
        };
        let kind = records::parse_kind(kind)?;
        let path = records::request_path(kind, name);
        let version = match self.version {
            Some(version) => version,
            None => {
                let current = client.send(Request::get(path.clone())).await?;
                if !current.found {
                    return Err(records::not_found(kind, name, &current));
                }
                records::version(&current)?
            }
        };
        let response = client
            .send(Request::delete(format!("{path}?version={version}")))
            .await?;
        if !response.found {
            return Err(records::not_found(kind, name, &response));
        }
        let kind = records::kind_name(kind);
        format.print(
            &json!({"kind": kind, "name": name, "deleted_version": version}),
            &format!("{kind} {name} is deleted"),
        );
        Ok(())
    }
}
