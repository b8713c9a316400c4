//! Counters and latency histograms of a daemon.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::time::Duration,
};

/// Smallest bucket of the latency histograms in seconds.
const SMALLEST_BUCKET_SECONDS: f64 = 0.001;
/// Factor between two buckets: 14 buckets reach from 1 ms to 8 s.
const BUCKET_FACTOR: f64 = 2.0;
const BUCKETS: u16 = 14;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabel {
    call: &'static str,
}

/// Metrics of one daemon. Labels come from closed sets.
pub(crate) struct Metrics {
    calls: Family<CallLabels, Counter>,
    pub(crate) leads: Gauge,
    pub(crate) ready: Gauge,
    registry: Registry,
    seconds: Family<CallLabel, Histogram>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let latency = || {
            Histogram::new(exponential_buckets(
                SMALLEST_BUCKET_SECONDS,
                BUCKET_FACTOR,
                BUCKETS,
            ))
        };
        let mut metrics = Self {
            calls: Family::default(),
            leads: Gauge::default(),
            ready: Gauge::default(),
            registry: Registry::with_prefix("fuchsiatack"),
            seconds: Family::new_with_constructor(latency),
        };
        let registry = &mut metrics.registry;
        registry.register("calls", "Calls by kind and outcome", metrics.calls.clone());
        registry.register(
            "call_seconds",
            "Time from the begin of a call to its end by kind",
            metrics.seconds.clone(),
        );
        registry.register(
            "leads",
            "1 while the daemon leads the store",
            metrics.leads.clone(),
        );
        registry.register("ready", "1 while callers may be sent here", metrics.ready.clone());
        metrics
    }

    /// Counts a call that has ended.
    pub(crate) fn called(&self, call: &'static str, outcome: &'static str, time: Duration) {
        self.calls.get_or_create(&CallLabels { call, outcome }).inc();
        let seconds = self.seconds.get_or_create(&CallLabel { call });
        seconds.observe(time.as_secs_f64());
    }

    /// Text that the metrics address returns.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Encoding into a string fails only if a metric is malformed, which tests would show.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
