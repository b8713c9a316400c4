//! Log of decisions as JSON lines on standard output.
//!
//! Lines are written by a thread of their own. A full queue or a blocked output drops lines and
//! never holds up a decision.

use {
    crate::{CellError, LogBudget, Verdict, log_budget::is_sampled},
    fuchsiatack_jobs::LogEvent,
    serde_json::{Map, Value},
    smol_str::SmolStr,
    spdlog::{
        Level, Logger, Record, StringBuf, ThreadPool,
        formatter::{Formatter, FormatterContext},
        sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
    },
    std::{
        fmt::Write,
        num::NonZeroUsize,
        sync::{Mutex, OnceLock, PoisonError},
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Lines that wait for the output.
const QUEUE_LINES: usize = 2_048;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Writes the payload, which is a JSON object, and nothing else.
#[derive(Clone)]
struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record,
        buffer: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        writeln!(buffer, "{}", record.payload()).map_err(spdlog::Error::FormatRecord)
    }
}

struct Log {
    budget: Mutex<LogBudget>,
    daemon: SmolStr,
}

static LOG: OnceLock<Log> = OnceLock::new();

/// Sets up the log of the process. `daemon` is part of each line.
pub fn set_up_logs(daemon: &SmolStr) -> Result<(), CellError> {
    let failed = |error: spdlog::Error| CellError::Log(error.to_string());
    let capacity = NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder()
        .capacity(capacity)
        .build_arc()
        .map_err(failed)?;
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(LineFormatter)
        .build_arc()
        .map_err(failed)?;
    let sink = AsyncPoolSink::builder()
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .sink(output)
        // A line that is dropped is not worth another line.
        .error_handler(|_| {})
        .build_arc()
        .map_err(failed)?;
    let logger = Logger::builder().sink(sink).build_arc().map_err(failed)?;
    spdlog::set_default_logger(logger);
    let _ = LOG.set(Log {
        budget: Mutex::default(),
        daemon: daemon.clone(),
    });
    Ok(())
}

/// Writes a line, unless its event has used up its budget or logs are not set up.
pub fn log(note: LogEvent) {
    let Some(log) = LOG.get() else {
        return;
    };
    let unix_ms = fuchsiatack_store::unix_ms();
    let is_sampled = note.job.as_ref().is_some_and(|job| is_sampled(job));
    let verdict = log.budget.lock().unwrap_or_else(PoisonError::into_inner).decide(
        unix_ms / MILLIS_PER_SECOND,
        note.event,
        is_sampled,
    );
    let Verdict::Write { suppressed } = verdict else {
        return;
    };
    let mut line = Map::new();
    line.insert("unix_ms".into(), unix_ms.into());
    line.insert("daemon".into(), log.daemon.as_str().into());
    line.insert("event".into(), note.event.into());
    if let Some(job) = &note.job {
        line.insert("job".into(), job.as_str().into());
    }
    for (name, value) in &note.fields {
        line.insert((*name).into(), value.as_str().into());
    }
    if suppressed > 0 {
        line.insert("suppressed".into(), suppressed.into());
    }
    spdlog::log!(Level::Info, "{}", Value::Object(line));
}

/// Writes the planner's lines until there are no more.
pub(crate) async fn write_notes(mut notes: UnboundedReceiver<LogEvent>) {
    while let Some(note) = notes.recv().await {
        log(note);
    }
}
