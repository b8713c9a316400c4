//! `fuchsiatack apply`.

use {
    crate::{
        client::{Call, Client},
        error::CliError,
        output::Format,
        record_file,
    },
    fuchsiatack_records::Schema,
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack apply -f teams.yaml";

/// Options of `apply`.
#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(
        help = "record file; each record names the version it replaces",
        meta = "FILE"
    )]
    file: Option<String>,
    #[options(help = "print help")]
    help: bool,
}

impl ApplyOptions {
    /// Writes the records in the order of the file and stops at the first that is rejected.
    pub(crate) async fn run(&self, client: &Client, format: Format) -> Result<(), CliError> {
        let file = self
            .file
            .as_deref()
            .ok_or_else(|| CliError::usage("apply needs -f FILE"))?;
        let mut written = Vec::new();
        for record in record_file::read(file)? {
            let kind = record_file::kind_name(record.kind());
            let body = record.to_json(Schema::V2);
            let path = record_file::path(record.kind(), &record.name);
            let answer = client.send(Call::put(path, &body)).await?;
            if !answer.found {
                return Err(record_file::not_found(record.kind(), &record.name, &answer));
            }
            let version = record_file::version(&answer)?;
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
