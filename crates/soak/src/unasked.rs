//! Checks that workers receive orders only for what callers submitted, and that cancelled jobs stop.
//!
//! The cell is calm while no fault of a daemon or worker is in progress. Machines are in touch once the
//! cell has been calm for `CONTACT_MS`. An unanswered order is not a fault: the rules let a worker carry it
//! out seconds later, which only exempts that start from time bounds and gives its end `CONTACT_MS` more.

use {
    crate::checker::{Checker, KnownJob, Observations},
    fuchsiatack_jobs::{RunId, TaskKey},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// `contactMs` of the platform.
pub(crate) const CONTACT_MS: u64 = 3_000;
/// `cancel_ms` of the platform.
const CANCEL_MS: u64 = 3_000;
/// `stopMs` of the platform.
const STOP_MS: u64 = 200;
const WATCH_PERIOD: Duration = Duration::from_millis(20);

/// Faults that may still affect the cell.
#[derive(Default)]
pub(crate) struct FaultTimes {
    /// Whether the injection of a fault is in progress.
    is_in_progress: bool,
    /// Time at which the effect of the last fault ends.
    until_ms: u64,
}

impl FaultTimes {
    pub(crate) fn begin(&mut self) {
        self.is_in_progress = true;
    }

    /// Ends the injection of a fault whose effect lasts until `until_ms`.
    pub(crate) fn end(&mut self, until_ms: u64) {
        self.is_in_progress = false;
        self.until_ms = self.until_ms.max(until_ms);
    }

    /// Time from which all machines are in touch, unless another fault begins.
    pub(crate) fn in_touch_from_ms(&self) -> Option<u64> {
        (!self.is_in_progress).then_some(self.until_ms + CONTACT_MS)
    }
}

/// When a worker carried out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// On arrival.
    Prompt,
    /// Some time after its arrival and without a response.
    Late,
    /// Like `Late`, but after a crash and restart of the worker.
    LateAfterRestart,
}

impl Execution {
    /// Text that follows a violation.
    pub(crate) fn note(self) -> &'static str {
        match self {
            Self::Prompt => "",
            Self::Late => ", order carried out late",
            Self::LateAfterRestart => ", order carried out late after a restart of the worker",
        }
    }
}

/// A run from its start to its end on one worker.
pub(crate) struct RecordedRun {
    pub(crate) ended_ms: Option<u64>,
    pub(crate) execution: Execution,
    /// Whether the run was reported as overdue.
    is_reported: bool,
    pub(crate) started_ms: u64,
}

/// Runs by worker and run. A worker that restarts may repeat a run; the last one counts.
pub(crate) type RecordedRuns = BTreeMap<(usize, RunId), RecordedRun>;

impl RecordedRun {
    pub(crate) fn new(started_ms: u64, execution: Execution) -> Self {
        Self {
            ended_ms: None,
            execution,
            is_reported: false,
            started_ms,
        }
    }
}

/// What an order to start a run tells the worker.
pub(crate) struct StartOrder<'a> {
    pub(crate) checkpoint: &'a str,
    pub(crate) payload: &'a str,
    pub(crate) run: RunId,
}

/// Returns how the content of an order differs from what callers and workers produced.
pub(crate) fn order_violation(observed: &Observations, order: &StartOrder<'_>) -> Option<&'static str> {
    let task = order.run.task;
    let spec = observed
        .jobs
        .get(&task.step.job)
        .and_then(|job| job.spec.as_ref());
    let step = spec.and_then(|spec| spec.steps.get(task.step.step as usize));
    let (Some(spec), Some(step)) = (spec, step) else {
        return Some("is not part of a submitted job");
    };
    let owns = |owner: &TaskKey| match step.gang {
        true => owner.step == task.step,
        false => *owner == task,
    };
    let owner = observed
        .checkpoints
        .get(order.checkpoint)
        .map(|issued| &issued.task);
    match order.checkpoint {
        _ if task.step.occurrence != 0 || task.index >= step.tasks => Some("is not part of its job's step"),
        _ if order.payload != spec.payload.as_str() => Some("was ordered with another payload"),
        "" => None,
        _ if owner.is_some_and(owns) => None,
        _ => Some("was ordered with a checkpoint that is not of its task"),
    }
}

/// Returns a violation if a run starts at `now_ms` too long after its job was cancelled.
pub(crate) fn late_start(observed: &Observations, run: RunId, now_ms: u64) -> Option<String> {
    let job = observed.jobs.get(&run.task.step.job)?;
    let cancelled_ms = job.cancelled_ms?;
    let is_in_touch = observed
        .faults
        .in_touch_from_ms()
        .is_some_and(|from_ms| from_ms <= now_ms);
    let is_late = is_in_touch && now_ms > cancelled_ms + CANCEL_MS;
    is_late.then(|| format!("started after {}", describe(job, cancelled_ms)))
}

/// Reports runs that continue too long after their job was cancelled. Never returns.
pub(crate) async fn watch_cancelled_runs(checker: Arc<Checker>) {
    loop {
        sleep(WATCH_PERIOD).await;
        let now_ms = checker.now_ms();
        let overdue = overdue_runs(&mut checker.observations(), now_ms);
        overdue
            .into_iter()
            .for_each(|violation| checker.record_violation(violation));
    }
}

/// Returns a violation for each run that continues after `CANCEL_MS` and `STOP_MS` in which its job was
/// cancelled and all machines were in touch.
fn overdue_runs(observed: &mut Observations, now_ms: u64) -> Vec<String> {
    let Some(in_touch_from_ms) = observed.faults.in_touch_from_ms() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for ((worker, run), record) in &mut observed.runs {
        let job = observed.jobs.get(&run.task.step.job);
        let Some((job, cancelled_ms)) = job.and_then(|job| Some((job, job.cancelled_ms?))) else {
            continue;
        };
        let settled_ms = match record.execution {
            Execution::Prompt => record.started_ms,
            Execution::Late | Execution::LateAfterRestart => record.started_ms + CONTACT_MS,
        };
        let from_ms = cancelled_ms.max(in_touch_from_ms).max(settled_ms);
        let is_overdue = record.ended_ms.is_none() && now_ms > from_ms + CANCEL_MS + STOP_MS;
        if is_overdue && !record.is_reported {
            record.is_reported = true;
            violations.push(format!(
                "run {run} on worker {worker}, started at {} ms, continues after {}{}",
                record.started_ms,
                describe(job, cancelled_ms),
                record.execution.note()
            ));
        }
    }
    violations
}

fn describe(job: &KnownJob, cancelled_ms: u64) -> String {
    let status = job.cancel_status;
    let doubt = match job.accepted {
        true => "",
        false => " while its submission was in doubt",
    };
    format!("its cancellation was acknowledged with status {status} at {cancelled_ms} ms{doubt}")
}
