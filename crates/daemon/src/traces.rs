//! Traces: spans of requests on their way through the cell, written as JSON lines.

use {
    crate::{DaemonError, TraceSettings},
    opentelemetry::{
        Context,
        propagation::TextMapPropagator,
        trace::{SpanKind, TraceContextExt, Tracer, TracerProvider},
    },
    opentelemetry_sdk::{
        error::{OTelSdkError, OTelSdkResult},
        propagation::TraceContextPropagator,
        trace::{Sampler, SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
    },
    serde_json::{Map, Value, json},
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        fs::File,
        io::Write,
        sync::{Mutex, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

const SCOPE: &str = "fuchsiatackd";
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;
const TRACE_HEADER: &str = "traceparent";

/// Creates spans. No spans are recorded without a trace file.
pub(crate) struct Traces {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

impl Traces {
    /// Opens the trace file, if the settings name one.
    pub(crate) fn new(settings: &TraceSettings, daemon: &str) -> Result<Self, DaemonError> {
        let Some(path) = &settings.file else {
            return Ok(Self {
                provider: None,
                tracer: None,
            });
        };
        let file = File::options()
            .append(true)
            .create(true)
            .open(path)
            .map_err(|error| DaemonError::Traces(format!("cannot open {}: {error}", path.display())))?;
        let exporter = JsonLinesExporter {
            daemon: daemon.into(),
            file: Mutex::new(file),
        };
        let ratio = f64::from(settings.sample_millis) / THOUSANDTHS_PER_UNIT;
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_sampler(Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(ratio))))
            .build();
        let tracer = Some(provider.tracer(SCOPE));
        Ok(Self {
            provider: Some(provider),
            tracer,
        })
    }

    /// Starts a span. `parent` is a W3C `traceparent`; a new trace starts without it.
    pub(crate) fn start_span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: Option<&SmolStr>,
    ) -> SpanGuard {
        let Some(tracer) = &self.tracer else {
            return SpanGuard {
                context: None,
                parent: parent.cloned(),
            };
        };
        let builder = tracer.span_builder(name).with_kind(kind);
        let span = tracer.build_with_context(builder, &context_of(parent));
        SpanGuard {
            context: Some(Context::new().with_span(span)),
            parent: None,
        }
    }

    /// Writes all remaining spans to the trace file.
    pub(crate) fn shut_down(&self) {
        if let Some(provider) = &self.provider {
            let _ = provider.shutdown();
        }
    }
}

/// A started span, which ends when this is dropped.
pub(crate) struct SpanGuard {
    context: Option<Context>,
    parent: Option<SmolStr>,
}

impl SpanGuard {
    /// Returns the W3C `traceparent` for child spans; that of the parent if traces are off.
    pub(crate) fn trace_parent(&self) -> Option<SmolStr> {
        let Some(context) = &self.context else {
            return self.parent.clone();
        };
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(context, &mut headers);
        headers.get(TRACE_HEADER).map(SmolStr::new)
    }
}

impl Drop for SpanGuard {
    fn drop(&mut self) {
        if let Some(context) = &self.context {
            context.span().end();
        }
    }
}

fn context_of(parent: Option<&SmolStr>) -> Context {
    let headers: HashMap<_, _> = parent
        .map(|parent| (TRACE_HEADER.to_owned(), parent.to_string()))
        .into_iter()
        .collect();
    TraceContextPropagator::new().extract_with_context(&Context::new(), &headers)
}

#[derive(Debug)]
struct JsonLinesExporter {
    daemon: SmolStr,
    file: Mutex<File>,
}

impl JsonLinesExporter {
    fn line(&self, span: &SpanData) -> String {
        let attributes: Map<String, Value> = span
            .attributes
            .iter()
            .map(|pair| (pair.key.to_string(), pair.value.to_string().into()))
            .collect();
        let mut line = json!({
            "attributes": attributes,
            "daemon": self.daemon,
            "end_us": unix_us(span.end_time),
            "kind": format!("{:?}", span.span_kind).to_lowercase(),
            "name": span.name,
            "parent_span_id": span.parent_span_id.to_string(),
            "span_id": span.span_context.span_id().to_string(),
            "start_us": unix_us(span.start_time),
            "trace_id": span.span_context.trace_id().to_string(),
        })
        .to_string();
        line.push('\n');
        line
    }
}

impl SpanExporter for JsonLinesExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let lines: String = batch.iter().map(|span| self.line(span)).collect();
        self.file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(lines.as_bytes())
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn unix_us(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as u64)
}
