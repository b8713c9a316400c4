//! `fuchsiatack check`.

use {
    crate::{error::CliError, output::Format, record_file},
    gumdrop::Options,
    serde_json::json,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack check -f teams.yaml";

/// Options of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "record file", meta = "FILE")]
    file: Option<String>,
    #[options(help = "print help")]
    help: bool,
}

impl CheckOptions {
    /// Validates a record file. It needs neither server nor key.
    pub(crate) fn run(&self, format: Format) -> Result<(), CliError> {
        let file = self
            .file
            .as_deref()
            .ok_or_else(|| CliError::usage("check needs -f FILE"))?;
        let records = record_file::read(file)?;
        let count = records.len();
        format.print(
            &json!({"file": file, "records": count}),
            &format!("{file}: {count} valid records"),
        );
        Ok(())
    }
}
