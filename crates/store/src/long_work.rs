//! Records how long work of the runtime takes, and logs what takes long enough to delay heartbeats.

use {
    crate::{JobsSettings, work_metrics::WorkKind},
    fuchsiatack_jobs::{LogEvent, Planner},
    std::time::{Duration, Instant},
};

/// Duration from which work is logged. Responses and heartbeats wait for it.
const LONG_WORK: Duration = Duration::from_millis(40);

impl JobsSettings {
    /// Records work that began at `started_at` and has ended now. `planner` is the one that did it, or for
    /// which it was done; its busiest job is logged.
    pub(crate) fn record_work(&self, kind: WorkKind, started_at: Instant, planner: Option<&Planner>) {
        let took = started_at.elapsed();
        self.work.record(kind, took);
        if took < LONG_WORK {
            return;
        }
        let mut event = LogEvent::new("store work took long")
            .with("kind", kind.as_str())
            .with("took_ms", took.as_millis());
        if let Some(planner) = planner {
            event = event.with("waiting_steps", planner.waiting_steps());
        }
        if let Some(busiest) = planner.and_then(Planner::busiest_job) {
            event = event.job(busiest.job).with("work_units", busiest.units);
        }
        // The receiver ends only with the process.
        let _ = self.log_events.send(event);
    }
}
