//! Structured log: JSON lines on standard output.
//!
//! A separate thread writes the lines. If the output blocks and the queue is full, lines are dropped,
//! so that logging never delays a scheduling decision.

use {
    crate::{CellError, LogBudget, LogDecision, log_budget::is_sampled, metrics::Metrics},
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
        sync::{Arc, Mutex, OnceLock, PoisonError},
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Capacity of the queue to the writing thread, in lines.
const QUEUE_LINES: usize = 2_048;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Formats a record as its payload, which is a JSON object, and a newline.
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

/// Initializes the log of this process. `daemon` is the daemon's name, which each line contains. Later
/// calls keep the first name.
pub fn init_logging(daemon: &SmolStr) -> Result<(), CellError> {
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
        // A dropped line is not worth another line that reports it.
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

/// Writes an event as a line. The event is dropped if its line budget is used up, or if `init_logging`
/// has not been called.
pub fn log(event: LogEvent) {
    let Some(log) = LOG.get() else {
        return;
    };
    let unix_ms = fuchsiatack_store::unix_ms();
    let is_sampled = event.job.as_ref().is_some_and(|job| is_sampled(job));
    let decision = log.budget.lock().unwrap_or_else(PoisonError::into_inner).decide(
        unix_ms / MILLIS_PER_SECOND,
        event.event,
        is_sampled,
    );
    let LogDecision::Write { suppressed } = decision else {
        return;
    };
    let mut line = Map::new();
    line.insert("unix_ms".into(), unix_ms.into());
    line.insert("daemon".into(), log.daemon.as_str().into());
    line.insert("event".into(), event.event.into());
    if let Some(job) = &event.job {
        line.insert("job".into(), job.as_str().into());
    }
    for (name, value) in &event.fields {
        line.insert((*name).into(), value.as_str().into());
    }
    if suppressed > 0 {
        line.insert("suppressed".into(), suppressed.into());
    }
    spdlog::log!(Level::Info, "{}", Value::Object(line));
}

/// Writes the planner's log events until the channel closes.
pub(crate) async fn write_log_events(mut events: UnboundedReceiver<LogEvent>, metrics: Arc<Metrics>) {
    while let Some(event) = events.recv().await {
        metrics.record_event(event.event);
        log(event);
    }
}
