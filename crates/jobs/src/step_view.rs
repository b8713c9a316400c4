//! A step whose turn has come, as the leader sees it.

use {
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::collections::{BTreeMap, BTreeSet},
};

/// What the advice service said of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// No question is sent before this time.
    pub(crate) request_due_ms: u64,
    /// Workers that were asked about. The answer for a worker never changes in its life.
    pub(crate) evaluated: BTreeSet<WorkerName>,
    /// Workers that may run the step, with the ticket and the time up to which it is valid.
    pub(crate) eligible: BTreeMap<WorkerName, (SmolStr, u64)>,
    /// When the present question was sent, if one is open.
    pub(crate) request_sent_ms: Option<u64>,
    /// Workers of the open question.
    pub(crate) requested_workers: Vec<WorkerName>,
}

impl StepAdvice {
    /// Ticket for a worker, if it is valid.
    pub(crate) fn ticket(&self, worker: &WorkerName, now_ms: u64) -> Option<&SmolStr> {
        let (ticket, valid_until_ms) = self.eligible.get(worker)?;
        (now_ms < *valid_until_ms).then_some(ticket)
    }

    /// Returns whether an answer about a worker tells anything new: it has no valid ticket and was
    /// not found unfit.
    pub(crate) fn needs_advice(&self, worker: &WorkerName, now_ms: u64) -> bool {
        match self.eligible.get(worker) {
            Some((_, valid_until_ms)) => now_ms >= *valid_until_ms,
            None => !self.evaluated.contains(worker),
        }
    }
}

/// An open step.
#[derive(Clone, Debug)]
pub(crate) struct StepView {
    pub(crate) advice: StepAdvice,
    /// Latency objective of its job, by the planner's clock in milliseconds.
    pub(crate) due_ms: u64,
    /// Durations of the last tasks that are done, as on a worker of a kind that is neither fast nor slow.
    pub(crate) durations_ms: Vec<u64>,
    /// Workers on which a task has failed, by its number.
    pub(crate) failed_on: BTreeMap<u32, BTreeSet<WorkerName>>,
    /// No attempt to place it is made before this time.
    pub(crate) held_until_ms: u64,
    /// Whether its turn has not come yet and only advice is asked for.
    pub(crate) is_prefetch: bool,
    pub(crate) opened_ms: u64,
    pub(crate) priority: u32,
    /// Estimated time from now to the end of the job, once the step starts.
    pub(crate) remaining_ms: u64,
    /// Tasks that have no present run and are not done.
    pub(crate) waiting: BTreeSet<u32>,
}

/// Durations of a step that are kept; a step may have thousands of tasks.
const MAX_DURATIONS: usize = 32;

impl StepView {
    /// Keeps the duration of a task that is done, in place of the oldest one.
    pub(crate) fn add_duration(&mut self, duration_ms: u64) {
        if self.durations_ms.len() >= MAX_DURATIONS {
            self.durations_ms.remove(0);
        }
        self.durations_ms.push(duration_ms);
    }
}
