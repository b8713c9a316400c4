//! `fuchsiatack get`.

use {
    crate::{
        client::{Client, Request},
        error::CliError,
        output::Format,
        records,
    },
    gumdrop::Options,
    serde_json::Value,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack get limit atelier --schema 1";

/// Shows a record, or the names and versions of all records of a kind.
#[derive(Debug, Options)]
pub(crate) struct GetOptions {
    #[options(free)]
    free: Vec<String>,
    #[options(help = "print help")]
    help: bool,
}

impl GetOptions {
    /// Prints a record, or the names and versions of all records of a kind.
    pub(crate) async fn run(&self, client: &Client, format: Format, schema: u8) -> Result<(), CliError> {
        match self.free.as_slice() {
            [kind] => self.list(client, format, schema, kind).await,
            [kind, name] => self.show(client, format, schema, kind, name).await,
            _ => Err(CliError::usage("get needs KIND [NAME]")),
        }
    }

    async fn list(&self, client: &Client, format: Format, schema: u8, kind: &str) -> Result<(), CliError> {
        let kind = records::kind_name(records::parse_kind(kind)?);
        let path = format!("/v1/records/{kind}?schema={schema}");
        let response = client.send(Request::get(path)).await?;
        let records = response.body["records"].as_array().cloned().unwrap_or_default();
        let lines: Vec<String> = records.iter().map(line).collect();
        format.print(&Value::Array(records), &lines.join("\n"));
        Ok(())
    }

    async fn show(
        &self,
        client: &Client,
        format: Format,
        schema: u8,
        kind: &str,
        name: &str,
    ) -> Result<(), CliError> {
        let kind = records::parse_kind(kind)?;
        let path = format!("{}?schema={schema}", records::request_path(kind, name));
        let response = client.send(Request::get(path)).await?;
        match response.found {
            true => format.print_value(&response.body),
            false => Err(records::not_found(kind, name, &response)),
        }
    }
}

fn line(record: &Value) -> String {
    let name = record["name"].as_str().unwrap_or_default();
    format!("{name} version {}", record["version"])
}
