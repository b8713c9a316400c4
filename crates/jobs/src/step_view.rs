//! The leader's view of a step that is ready, or soon will be.

use {
    crate::{WaitReason, WaitTimes, fair_share::Standing},
    fuchsiatack_model::{Resources, TeamName, WorkerName},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// An advice request without a response.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    /// Daemon that sends it; `None` is the leader itself.
    pub(crate) by: Option<SocketAddr>,
    pub(crate) sent_ms: u64,
    pub(crate) workers: Vec<WorkerName>,
}

/// Advice on a step and the state of its requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    /// Number of daemons that its last requests needed at the same time; 0 if there were enough.
    pub(crate) daemons_needed: usize,
    /// No request is sent before this time.
    pub(crate) request_due_ms: u64,
    /// Workers for which a response was received. The advice on a worker never changes within its
    /// incarnation.
    pub(crate) evaluated: BTreeSet<WorkerName>,
    /// Workers that may run the step, with the ticket and the time at which it expires.
    pub(crate) eligible: BTreeMap<WorkerName, (SmolStr, u64)>,
    /// Whether the tickets of a response since the last start were meant for a start, and not only to learn
    /// which workers may run the step.
    pub(crate) is_start_expected: bool,
    /// Requests without a response, each at another daemon.
    pub(crate) requests: Vec<SentRequest>,
    /// Time of the last response; `None` before the first.
    pub(crate) responded_ms: Option<u64>,
    /// Time since which it has waited for a daemon; `None` if it does not.
    pub(crate) sender_wait_since_ms: Option<u64>,
    /// Number of planning passes in a row that have sent the requests of other steps instead.
    pub(crate) times_passed: u32,
    /// Number of responses since the last start, or since the last round of tickets has expired.
    pub(crate) unused_calls: u32,
    /// Number of rounds of tickets in a row that have expired without a start.
    pub(crate) unused_rounds: u32,
}

impl StepAdvice {
    /// Returns the workers of the requests without a response.
    pub(crate) fn requested_workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.requests.iter().flat_map(|request| &request.workers)
    }

    /// Removes the request that a daemon has sent; `None` if it was given up before.
    pub(crate) fn take_request(&mut self, by: Option<SocketAddr>) -> Option<SentRequest> {
        let position = self.requests.iter().position(|request| request.by == by)?;
        Some(self.requests.remove(position))
    }

    /// Returns the ticket for a worker if it has not expired.
    pub(crate) fn ticket(&self, worker: &WorkerName, now_ms: u64) -> Option<&SmolStr> {
        let (ticket, valid_until_ms) = self.eligible.get(worker)?;
        (now_ms < *valid_until_ms).then_some(ticket)
    }

    /// Returns whether the last response came more than `age_ms` ago; false before the first one.
    pub(crate) fn is_response_older_than(&self, now_ms: u64, age_ms: u64) -> bool {
        self.responded_ms.is_some_and(|ms| now_ms > ms + age_ms)
    }

    /// Returns whether the step has a ticket that has not expired, for any worker.
    pub(crate) fn has_ticket(&self, now_ms: u64) -> bool {
        let mut tickets = self.eligible.values();
        tickets.any(|(_, valid_until_ms)| now_ms < *valid_until_ms)
    }

    /// Returns whether a response on a worker would bring anything new: the worker has no valid
    /// ticket and was not found ineligible.
    pub(crate) fn needs_advice(&self, worker: &WorkerName, now_ms: u64) -> bool {
        match self.eligible.get(worker) {
            Some((_, valid_until_ms)) => now_ms >= *valid_until_ms,
            None => !self.evaluated.contains(worker),
        }
    }
}

/// A step with its waiting tasks and what placement needs to know of it.
#[derive(Clone, Debug)]
pub(crate) struct StepView {
    pub(crate) advice: StepAdvice,
    /// Resources that one task needs.
    pub(crate) demand: Resources,
    /// Time by which its job should end to meet its latency objective, by the planner's clock in
    /// milliseconds.
    pub(crate) due_ms: u64,
    /// Durations of the last tasks that are done, scaled to a worker of neutral speed, in
    /// milliseconds.
    pub(crate) durations_ms: Vec<u64>,
    /// Workers on which a task has failed, or with which a run of it was lost, by task number.
    pub(crate) failed_on: BTreeMap<u32, BTreeSet<WorkerName>>,
    /// Time at which the step was opened.
    pub(crate) opened_ms: u64,
    /// No placement of the step is tried before this time.
    pub(crate) paused_until_ms: u64,
    /// Whether the step is not ready yet and only advice is requested for it.
    pub(crate) is_prefetch: bool,
    /// Whether its tasks run until the job is cancelled.
    pub(crate) is_long_running: bool,
    pub(crate) priority: u32,
    /// Estimated time from the start of the step to the end of the job, in milliseconds.
    pub(crate) remaining_ms: u64,
    /// Service whose workers run its tasks; empty if its queue is not configured.
    pub(crate) service: SmolStr,
    /// How its team compares with its share; the first of all while no steps of the same priority and service
    /// wait for capacity.
    pub(crate) standing: Standing,
    /// Team of its job; the empty name if it has none.
    pub(crate) team: TeamName,
    /// Time of the last attempt to place its tasks.
    pub(crate) tried_ms: u64,
    /// Time of its last turn before the urgent steps; 0 if it had none.
    pub(crate) turn_ms: u64,
    /// Why the last attempt left tasks waiting; `None` before the first attempt.
    pub(crate) wait_reason: Option<WaitReason>,
    /// Numbers of the tasks that have no present run and are not done.
    pub(crate) waiting: BTreeSet<u32>,
    /// Time since which tasks have been waiting without a break; `None` if none waits.
    pub(crate) waiting_since_ms: Option<u64>,
    /// How the time since then divides, up to the last attempt.
    pub(crate) waits: WaitTimes,
}

/// Maximum number of durations kept for a step, which may have thousands of tasks.
const MAX_DURATIONS: usize = 32;

impl StepView {
    /// Returns the time for which tasks have been waiting, in milliseconds; `None` if none waits.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> Option<u64> {
        let since_ms = self.waiting_since_ms.filter(|_| !self.waiting.is_empty())?;
        Some(now_ms.saturating_sub(since_ms))
    }

    /// Returns whether its job is late, and the time by which its tasks should start or its job should
    /// end. Steps of a priority are placed in this order. A lasting task is never late: it is due when it
    /// begins to wait, however long ago its job was submitted.
    pub(crate) fn urgency(&self, now_ms: u64) -> (bool, u64) {
        match (self.is_long_running, self.waiting_since_ms) {
            (true, Some(since_ms)) => (false, since_ms),
            _ => (now_ms + self.remaining_ms > self.due_ms, self.due_ms),
        }
    }

    /// Updates the time since which tasks have been waiting.
    pub(crate) fn observe_waiting(&mut self, now_ms: u64) {
        match (self.waiting.is_empty(), self.waiting_since_ms) {
            (true, _) => {
                self.waiting_since_ms = None;
                self.wait_reason = None;
                self.waits = WaitTimes::default();
            }
            (false, None) => {
                self.waiting_since_ms = Some(now_ms);
                self.tried_ms = now_ms;
            }
            (false, Some(_)) => {}
        }
    }

    /// Adds the time since the last attempt to what its tasks have waited for, and returns the reason and
    /// the time in milliseconds.
    pub(crate) fn account_wait(&mut self, now_ms: u64) -> (WaitReason, u64) {
        let reason = self.wait_reason.unwrap_or(WaitReason::NotTried);
        let waited_ms = now_ms.saturating_sub(self.tried_ms);
        self.waits.add(reason, waited_ms);
        (reason, waited_ms)
    }

    /// Adds the duration of a task that is done; beyond the maximum it replaces the oldest one.
    pub(crate) fn add_duration(&mut self, duration_ms: u64) {
        if self.durations_ms.len() >= MAX_DURATIONS {
            self.durations_ms.remove(0);
        }
        self.durations_ms.push(duration_ms);
    }
}
