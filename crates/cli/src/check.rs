//! `fuchsiatack check`.

use {
    crate::{error::CliError, output::Format, records},
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack check -f teams.yaml";

/// Validates a record file without a server.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "YAML file of records", meta = "FILE")]
    file: Option<String>,
    #[options(help = "print help")]
    help: bool,
}

impl CheckOptions {
    /// Validates a record file without a server or key.
    pub(crate) fn run(&self, format: Format) -> Result<(), CliError> {
        let file = self
            .file
            .as_deref()
            .ok_or_else(|| CliError::usage("check needs -f FILE"))?;
        let records = records::read_file(file)?;
        let count = records.len();
        format.print(
            &json!({"file": file, "records": count}),
            &format!("{file}: {count} valid records"),
        );
        Ok(())
    }
}
