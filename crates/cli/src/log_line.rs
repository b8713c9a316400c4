//! Log lines of daemons.

use {
    crate::error::CliError,
    serde_json::{Map, Value},
    std::fs,
};

/// A log event of a daemon.
pub(crate) struct LogLine {
    pub(crate) fields: Map<String, Value>,
    /// Time of the event in milliseconds since the Unix epoch.
    pub(crate) unix_ms: u64,
}

impl LogLine {
    /// Reads the log events in a file. Fails if the file cannot be read.
    pub(crate) fn read_file(file: &str) -> Result<Vec<Self>, CliError> {
        let text = fs::read_to_string(file)
            .map_err(|error| CliError::usage(format!("cannot read {file}: {error}")))?;
        Ok(text.lines().filter_map(Self::parse).collect())
    }

    /// Parses a log line. Text before the JSON object, such as the prefix of a log collector, is skipped.
    /// Returns `None` for a line that is not a log event of a daemon.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let object = &line[line.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let unix_ms = fields.get("unix_ms")?.as_u64()?;
        Some(Self { fields, unix_ms })
    }

    /// Returns the text of a field; empty if it is missing.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the number in a field; 0 if there is none.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }

    /// Returns the event as a JSON value.
    pub(crate) fn to_value(&self) -> Value {
        Value::Object(self.fields.clone())
    }
}
