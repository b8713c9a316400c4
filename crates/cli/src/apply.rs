//! `fuchsiatack apply`.

use {
    crate::{
        client::{Client, Request},
        error::CliError,
        output::Format,
        records,
    },
    fuchsiatack_records::Schema,
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack apply -f teams.yaml";

/// Creates or updates the records in a file, in the order of the file.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(
        help = "YAML file of records; each record gives the version that it replaces",
        meta = "FILE"
    )]
    file: Option<String>,
    #[options(help = "print help")]
    help: bool,
}

impl ApplyOptions {
    /// Writes the records in the order of the file and stops at the first one that is rejected.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let file = self
            .file
            .as_deref()
            .ok_or_else(|| CliError::usage("apply needs -f FILE"))?;
        let mut written = Vec::new();
        for record in records::read_file(file)? {
            let kind = records::kind_name(record.kind());
            let body = record.to_json(Schema::V2);
            let path = records::request_path(record.kind(), &record.name);
            let response = client.send(Request::put(path, &body)).await?;
            if !response.found {
                return Err(records::not_found(record.kind(), &record.name, &response));
            }
            let version = records::version(&response)?;
            if format == Format::Text {
                println!("{kind} {} has version {version}", record.name);
            }
            written.push(json!({"kind": kind, "name": record.name, "version": version}));
        }
        if format == Format::Json {
            format.print(&json!(written), "");
        }
        Ok(())
    }
}
