//! `fuchsiatack get`.

use {
    crate::{
        client::{Call, Client},
        error::CliError,
        output::Format,
        record_file,
    },
    gumdrop::Options,
    serde_json::Value,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack get limit atelier --schema 1";

/// Options of `get`.
#[derive(Debug, Options)]
pub(crate) struct GetOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
}

impl GetOptions {
    /// Shows a record, or the names and versions of all records of a kind.
    pub(crate) async fn run(&self, client: &Client, format: Format, schema: u8) -> Result<(), CliError> {
        match self.free.as_slice() {
            [kind] => self.list(client, format, schema, kind).await,
            [kind, name] => self.one(client, format, schema, kind, name).await,
            _ => Err(CliError::usage("get needs KIND [NAME]")),
        }
    }

    async fn list(&self, client: &Client, format: Format, schema: u8, kind: &str) -> Result<(), CliError> {
        let kind = record_file::kind_name(record_file::kind(kind)?);
        let path = format!("/v1/records/{kind}?schema={schema}");
        let answer = client.send(Call::get(path)).await?;
        let records = answer.body["records"].as_array().cloned().unwrap_or_default();
        let lines: Vec<String> = records.iter().map(line).collect();
        format.print(&Value::Array(records), &lines.join("\n"));
        Ok(())
    }

    async fn one(
        &self,
        client: &Client,
        format: Format,
        schema: u8,
        kind: &str,
        name: &str,
    ) -> Result<(), CliError> {
        let kind = record_file::kind(kind)?;
        let path = format!("{}?schema={schema}", record_file::path(kind, name));
        let answer = client.send(Call::get(path)).await?;
        match answer.found {
            true => format.print_value(&answer.body),
            false => Err(record_file::not_found(kind, name, &answer)),
        }
    }
}

fn line(record: &Value) -> String {
    let name = record["name"].as_str().unwrap_or_default();
    format!("{name} version {}", record["version"])
}
