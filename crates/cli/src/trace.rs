//! `fuchsiatack trace`.

use {
    crate::{error::CliError, log_line::LogLine},
    gumdrop::Options,
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
                    .filter_map(LogLine::parse),
            );
        }
        lines.sort_by_key(|line| line.unix_ms);
        let mut previous_ms = lines.first().map_or(0, |line| line.unix_ms);
        for line in &lines {
            let unix_ms = line.unix_ms;
            println!(
                "{unix_ms} {:>+7} ms  {}",
                unix_ms.saturating_sub(previous_ms),
                format_event(line)
            );
            previous_ms = unix_ms;
        }
        match lines.is_empty() {
            true => println!("no log line contains {job}"),
            false => println!("{} lines", lines.len()),
        }
        Ok(())
    }
}

/// Formats the daemon, the event and the remaining fields of a log line.
fn format_event(line: &LogLine) -> String {
    let other_fields = line
        .fields
        .iter()
        .filter(|(name, _)| !COLUMN_FIELDS.contains(&name.as_str()));
    let other_fields = other_fields.map(|(name, value)| match value.as_str() {
        Some(value) => format!(" {name}={value}"),
        None => format!(" {name}={value}"),
    });
    format!(
        "{:<20} {}:{}",
        line.text("daemon"),
        line.text("event"),
        other_fields.collect::<String>()
    )
}
