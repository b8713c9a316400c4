//! Sets up the log, which is written as JSON lines. Secrets, keys and bodies are never logged.

use {
    crate::{DaemonError, LogSettings},
    spdlog::{
        Level, LevelFilter, Logger,
        formatter::JsonFormatter,
        sink::{FileSink, Sink, StdStreamSink},
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum time for which a line stays in memory before it is written to the log file.
const FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Returns the filter for the name of a level in the settings, or `None` if the name is unknown.
pub(crate) fn level_of(name: &str) -> Option<LevelFilter> {
    match name {
        "off" => Some(LevelFilter::Off),
        _ => name.parse::<Level>().ok().map(LevelFilter::MoreSevereEqual),
    }
}

/// Sets the default logger of the process.
pub fn set_up_logs(settings: &LogSettings) -> Result<(), DaemonError> {
    let sink: Arc<dyn Sink> = match &settings.file {
        Some(file) => Arc::new(
            FileSink::builder()
                .path(file)
                .formatter(JsonFormatter::new())
                .build()
                .map_err(DaemonError::log)?,
        ),
        None => Arc::new(
            StdStreamSink::builder()
                .std_stream(spdlog::sink::StdStream::Stderr)
                .formatter(JsonFormatter::new())
                .build()
                .map_err(DaemonError::log)?,
        ),
    };
    let level = level_of(&settings.level).unwrap_or(LevelFilter::MoreSevereEqual(Level::Info));
    let logger = Logger::builder()
        .level_filter(level)
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn))
        .sink(sink)
        .build_arc()
        .map_err(DaemonError::log)?;
    if settings.file.is_some() {
        logger.set_flush_period(Some(FLUSH_PERIOD));
    }
    spdlog::set_default_logger(logger);
    Ok(())
}
