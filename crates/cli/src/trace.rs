//! `fuchsiatack trace`: the story of a job from log files.

use {
    crate::error::CliError,
    gumdrop::Options,
    serde_json::{Map, Value},
    std::fs,
};

pub(crate) const EXAMPLE: &str = "fuchsiatack trace 6006e2590c8550f7 core-1.log entry-1.log";
/// Fields that the first columns show.
const COLUMNS: [&str; 4] = ["daemon", "event", "job", "unix_ms"];

#[derive(Debug, Options)]
pub(crate) struct TraceOptions {
    #[options(help = "print help")]
    help: bool,
    #[options(free, help = "job, then log files of daemons")]
    words: Vec<String>,
}

impl TraceOptions {
    /// Prints every line that names the job, in order of time, with the time since the one before.
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
        let mut before_ms = lines.first().map_or(0, |(unix_ms, _)| *unix_ms);
        for (unix_ms, line) in &lines {
            println!(
                "{unix_ms} {:>+7} ms  {}",
                unix_ms.saturating_sub(before_ms),
                story(line)
            );
            before_ms = *unix_ms;
        }
        match lines.is_empty() {
            true => println!("no line names {job}"),
            false => println!("{} lines", lines.len()),
        }
        Ok(())
    }
}

/// Parses a line; anything before its object, such as a time of the log collector, is skipped.
fn parse(line: &str) -> Option<(u64, Map<String, Value>)> {
    let object = &line[line.find('{')?..];
    let line: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = line.get("unix_ms")?.as_u64()?;
    Some((unix_ms, line))
}

fn story(line: &Map<String, Value>) -> String {
    let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or_default();
    let others = line.iter().filter(|(name, _)| !COLUMNS.contains(&name.as_str()));
    let others = others.map(|(name, value)| match value.as_str() {
        Some(value) => format!(" {name}={value}"),
        None => format!(" {name}={value}"),
    });
    format!(
        "{:<20} {}:{}",
        text("daemon"),
        text("event"),
        others.collect::<String>()
    )
}
