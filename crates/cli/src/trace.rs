//! `fuchsiatack trace`.

use {
    crate::error::CliError,
    gumdrop::Options,
    serde_json::{Map, Value},
    std::fs,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack trace 6006e2590c8550f7 core-1.log entry-1.log";

/// Log fields that are left out of the list after the event, since the columns show them or, for
/// `job`, the command line names it.
const COLUMN_FIELDS: [&str; 4] = ["daemon", "event", "job", "unix_ms"];

/// Shows the log events of a job in order of time.
#[derive(Debug, Options)]
pub(crate) struct TraceOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(free, help = "identifier of the job, then log files of daemons")]
    words: Vec<String>,
}

impl TraceOptions {
    /// Prints every log line that contains the job's identifier, in order of time, with the
    /// milliseconds since the previous line.
    pub(crate) fn run(&self) -> Result<(), CliError> {
        let Some((job, files)) = self.words.split_first().filter(|(_, files)| !files.is_empty()) else {
            return Err(CliError::usage("trace needs a job and at least one log file"));
        };
        let mut lines = Vec::new();
        for file in files {
            let text = fs::read_to_string(file)
                .map_err(|error| CliError::usage(format!("cannot read {file}: {error}")))?;
            lines.extend(
                text.lines()
                    .filter(|line| line.contains(job.as_str()))
                    .filter_map(parse),
            );
        }
        lines.sort_by_key(|(unix_ms, _)| *unix_ms);
        let mut previous_ms = lines.first().map_or(0, |(unix_ms, _)| *unix_ms);
        for (unix_ms, line) in &lines {
            println!(
                "{unix_ms} {:>+7} ms  {}",
                unix_ms.saturating_sub(previous_ms),
                format_event(line)
            );
            previous_ms = *unix_ms;
        }
        match lines.is_empty() {
            true => println!("no log line contains {job}"),
            false => println!("{} lines", lines.len()),
        }
        Ok(())
    }
}

/// Parses a log line into its time and fields. Text before the JSON object, such as the prefix of a
/// log collector, is skipped. Returns `None` for a line that is not a log event of a daemon.
fn parse(line: &str) -> Option<(u64, Map<String, Value>)> {
    let object = &line[line.find('{')?..];
    let line: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = line.get("unix_ms")?.as_u64()?;
    Some((unix_ms, line))
}

/// Formats the daemon, the event and the remaining fields of a log line.
fn format_event(line: &Map<String, Value>) -> String {
    let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or_default();
    let other_fields = line
        .iter()
        .filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
    let other_fields = other_fields.map(|(name, value)| match value.as_str() {
        Some(value) => format!(" {name}={value}"),
        None => format!(" {name}={value}"),
    });
    format!(
        "{:<20} {}:{}",
        text("daemon"),
        text("event"),
        other_fields.collect::<String>()
    )
}
