//! Measures how long each kind of work holds up the runtime.
//!
//! The runtime sends heartbeats and handles their responses between two pieces of work, so that none may take
//! as long as the leader's lease.

use {
    prometheus_client::{
        encoding::EncodeLabelSet,
        metrics::{
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::time::Duration,
};

/// Upper bound of the smallest bucket in seconds.
const SMALLEST_BUCKET_SECONDS: f64 = 0.000_1;
/// Ratio between the bounds of successive buckets. The 8 bounds range from 0.1 ms to 1.6 s.
const BUCKET_FACTOR: f64 = 4.0;
const BUCKET_COUNT: u16 = 8;

/// Kind of work of the runtime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum WorkKind {
    /// Responses of the advice service.
    Advice,
    /// Applying committed commands to the ledger.
    Apply,
    /// Calls of callers, workers and operators.
    Calls,
    /// Encoding the commands of a turn as a log entry.
    Encode,
    /// Decoding a snapshot that the leader has sent.
    Install,
    /// Opening the steps that are ready and placing their tasks.
    Placement,
    /// Reports of workers, and results of orders to them.
    Reports,
    /// Creating the planner of a new leader.
    Restore,
    /// Copying the ledger for a snapshot.
    Snapshot,
    /// Periodic work of the planner.
    Tick,
    /// One turn of the runtime, with all that it does.
    Turn,
}

impl WorkKind {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Advice => "advice",
            Self::Apply => "apply",
            Self::Calls => "calls",
            Self::Encode => "encode",
            Self::Install => "install",
            Self::Placement => "placement",
            Self::Reports => "reports",
            Self::Restore => "restore",
            Self::Snapshot => "snapshot",
            Self::Tick => "tick",
            Self::Turn => "turn",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkLabel {
    kind: &'static str,
}

/// Durations of the runtime's work by kind. Clones share their values.
#[derive(Clone, Debug)]
pub struct WorkMetrics {
    seconds: Family<WorkLabel, Histogram>,
}

impl Default for WorkMetrics {
    fn default() -> Self {
        let durations = || {
            Histogram::new(exponential_buckets(
                SMALLEST_BUCKET_SECONDS,
                BUCKET_FACTOR,
                BUCKET_COUNT,
            ))
        };
        Self {
            seconds: Family::new_with_constructor(durations),
        }
    }
}

impl WorkMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "work_seconds",
            "Duration of the work of the store's runtime in seconds by kind",
            self.seconds.clone(),
        );
    }

    pub(crate) fn record(&self, kind: WorkKind, duration: Duration) {
        let label = WorkLabel { kind: kind.as_str() };
        self.seconds.get_or_create(&label).observe(duration.as_secs_f64());
    }
}
