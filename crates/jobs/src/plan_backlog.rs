//! Reports the steps that wait, for logs and metrics.

use {
    crate::{LogEvent, Planner, StepId, step_view::StepView},
    fuchsiatack_derives::value,
    std::collections::BTreeMap,
};

/// Interval between two reports, in milliseconds. A waiting step that was not tried for as long counts as
/// untried.
const INTERVAL_MS: u64 = 1_000;
/// Wait from which a step is logged, in milliseconds.
const LOGGED_WAIT_MS: u64 = 1_000;
/// Maximum number of priorities in a report.
const MAX_PRIORITIES: usize = 8;

/// Waiting steps of the queues of one priority.
#[value]
pub struct PriorityBacklog {
    /// Time for which the step that has waited longest has waited, in milliseconds.
    pub longest_wait_ms: u64,
    /// Priority of the queues.
    pub priority: u32,
    /// Number of steps that wait and were not tried in the last second.
    pub untried_steps: usize,
    /// Number of steps with waiting tasks.
    pub waiting_steps: usize,
}

impl Planner {
    /// Reports the waiting steps of each priority, and logs the one that has waited longest.
    pub(crate) fn report_backlog(&mut self) {
        if self.now_ms < self.backlog_due_ms {
            return;
        }
        self.backlog_due_ms = self.now_ms + INTERVAL_MS;
        let now_ms = self.now_ms;
        let mut longest: BTreeMap<u32, (StepId, PriorityBacklog)> = BTreeMap::new();
        for (step, view) in &self.steps {
            let Some(wait_ms) = view.wait_ms(now_ms) else {
                continue;
            };
            let (longest_step, backlog) = longest.entry(view.priority).or_insert_with(|| {
                let backlog = PriorityBacklog {
                    longest_wait_ms: 0,
                    priority: view.priority,
                    untried_steps: 0,
                    waiting_steps: 0,
                };
                (*step, backlog)
            });
            backlog.waiting_steps += 1;
            backlog.untried_steps += usize::from(now_ms > view.tried_ms + INTERVAL_MS);
            if wait_ms > backlog.longest_wait_ms {
                backlog.longest_wait_ms = wait_ms;
                *longest_step = *step;
            }
        }
        let longest: Vec<_> = longest.into_values().take(MAX_PRIORITIES).collect();
        for (step, backlog) in &longest {
            if backlog.longest_wait_ms >= LOGGED_WAIT_MS
                && let Some(view) = self.steps.get(step)
            {
                let event = backlog_event(now_ms, *step, view, backlog);
                self.log(event);
            }
        }
        self.output.backlog = Some(longest.into_iter().map(|(_, backlog)| backlog).collect());
    }
}

fn backlog_event(now_ms: u64, step: StepId, view: &StepView, backlog: &PriorityBacklog) -> LogEvent {
    let reason = view.wait_reason.map_or("not tried", |reason| reason.as_str());
    let eligible = view.advice.eligible.keys();
    let tickets = eligible.filter(|worker| view.advice.ticket(worker, now_ms).is_some());
    LogEvent::new("steps waiting")
        .job(step.job)
        .with("priority", backlog.priority)
        .with("waiting_steps", backlog.waiting_steps)
        .with("untried_steps", backlog.untried_steps)
        .with("step", step)
        .with("waited_ms", backlog.longest_wait_ms)
        .with("tasks", view.waiting.len())
        .with("tried_ms_ago", now_ms - view.tried_ms)
        .with("reason", reason)
        .with("evaluated", view.advice.evaluated.len())
        .with("eligible", view.advice.eligible.len())
        .with("tickets", tickets.count())
}
