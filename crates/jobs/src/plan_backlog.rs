//! Reports the steps that wait and the room in the cell, for logs and metrics.

use {
    crate::{
        CellReport, LogEvent, Planner, ServiceRoom, StepId, WaitTimes, WithheldReason, WorkerEntry,
        step_view::StepView,
    },
    fuchsiatack_derives::value,
    std::collections::BTreeMap,
};

/// Interval between two reports, in milliseconds. A waiting step that was not tried for as long counts as
/// untried.
const INTERVAL_MS: u64 = 1_000;
/// Number of reports for each of which the room is logged.
const REPORTS_PER_ROOM_LOG: u64 = 5;
/// Wait from which a step is logged, in milliseconds.
const LOGGED_WAIT_MS: u64 = 1_000;
/// Maximum number of priorities in a report.
const MAX_PRIORITIES: usize = 8;
/// Maximum number of services in a report.
const MAX_SERVICES: usize = 16;

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
    /// How the waits of all steps divide since the leadership started.
    pub waits: WaitTimes,
}

impl PriorityBacklog {
    fn new(priority: u32) -> Self {
        Self {
            longest_wait_ms: 0,
            priority,
            untried_steps: 0,
            waiting_steps: 0,
            waits: WaitTimes::default(),
        }
    }
}

impl Planner {
    /// Reports the waiting steps of each priority and the room of each service. Logs the step that has
    /// waited longest, and now and then the room.
    pub(crate) fn report_backlog(&mut self) {
        if self.now_ms < self.backlog_due_ms {
            return;
        }
        self.backlog_due_ms = self.now_ms + INTERVAL_MS;
        let longest = self.longest_waits();
        for (step, backlog) in longest.values() {
            if backlog.longest_wait_ms >= LOGGED_WAIT_MS
                && let Some(step) = step
                && let Some(view) = self.steps.get(step)
            {
                let event = backlog_event(self.now_ms, *step, view, backlog);
                self.log(event);
            }
        }
        let backlog = longest.into_values().map(|(_, backlog)| backlog).collect();
        let rooms = self.rooms_of_services();
        let report = CellReport {
            advice_in_flight: self.advice_in_flight(),
            backlog,
            cold_workers: self.cold_workers(),
            evacuations: self.evacuation_reports(),
            calls_without_start: self.calls_without_start,
            lapsed_tickets: self.lapsed_tickets,
            shares: self.largest_shares(&rooms),
            rooms,
            withheld_workers: self.withheld_workers(),
        };
        if (self.now_ms / INTERVAL_MS).is_multiple_of(REPORTS_PER_ROOM_LOG) {
            for room in &report.rooms {
                let event = room_event(room, &report);
                self.log(event);
            }
        }
        self.output.report = Some(report);
    }

    /// Returns the backlog of each priority, with the step that has waited longest.
    fn longest_waits(&self) -> BTreeMap<u32, (Option<StepId>, PriorityBacklog)> {
        let now_ms = self.now_ms;
        let mut longest: BTreeMap<_, _> = self
            .priority_waits
            .iter()
            .map(|(priority, waits)| {
                let backlog = PriorityBacklog {
                    waits: waits.clone(),
                    ..PriorityBacklog::new(*priority)
                };
                (*priority, (None, backlog))
            })
            .collect();
        for (step, view) in &self.steps {
            let Some(wait_ms) = view.wait_ms(now_ms) else {
                continue;
            };
            let (longest_step, backlog) = longest
                .entry(view.priority)
                .or_insert_with(|| (None, PriorityBacklog::new(view.priority)));
            backlog.waiting_steps += 1;
            backlog.untried_steps += usize::from(now_ms > view.tried_ms + INTERVAL_MS);
            if wait_ms > backlog.longest_wait_ms {
                backlog.longest_wait_ms = wait_ms;
                *longest_step = Some(*step);
            }
        }
        longest.into_iter().take(MAX_PRIORITIES).collect()
    }

    fn rooms_of_services(&self) -> Vec<ServiceRoom> {
        let mut rooms = BTreeMap::new();
        for (name, view) in &self.workers {
            let entry = self.store.workers.get(name);
            let is_usable = |entry: &&WorkerEntry| {
                !entry.draining && !self.is_evacuated(&entry.data_center) && view.accepts_runs(self.now_ms)
            };
            let Some(entry) = entry.filter(is_usable) else {
                continue;
            };
            let room = rooms
                .entry(&entry.service)
                .or_insert_with(|| ServiceRoom::new(entry.service.clone()));
            room.add(&entry.capacity, &view.used, self.reservations.has_holds(name));
        }
        rooms.into_values().take(MAX_SERVICES).collect()
    }

    fn withheld_workers(&self) -> BTreeMap<WithheldReason, usize> {
        let mut counts = BTreeMap::new();
        let views = self.workers.values();
        for reason in views.filter_map(|view| view.withheld_reason(self.now_ms)) {
            *counts.entry(reason).or_insert(0) += 1;
        }
        counts
    }

    fn advice_in_flight(&self) -> usize {
        let steps = self.steps.values();
        steps.map(|view| view.advice.requests.len()).sum()
    }
}

fn room_event(room: &ServiceRoom, report: &CellReport) -> LogEvent {
    LogEvent::new("room in the cell")
        .with("service", &room.service)
        .with("workers", room.workers)
        .with("reserved_workers", room.reserved_workers)
        .with("processors_millis", room.capacity.processors_millis)
        .with("free_processors_millis", room.free.processors_millis)
        .with(
            "largest_free_processors_millis",
            room.largest_free.processors_millis,
        )
        .with("memory_bytes", room.capacity.memory_bytes)
        .with("free_memory_bytes", room.free.memory_bytes)
        .with("largest_free_memory_bytes", room.largest_free.memory_bytes)
        .with("accelerators", room.capacity.accelerators)
        .with("free_accelerators", room.free.accelerators)
        .with("largest_free_accelerators", room.largest_free.accelerators)
        .with("advice_in_flight", report.advice_in_flight)
        .with("lapsed_tickets", report.lapsed_tickets)
        .with("cold_workers", report.cold_workers)
        .with("advice_without_start", report.calls_without_start)
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
        .with("waits", &view.waits)
        .with("tasks", view.waiting.len())
        .with("tried_ms_ago", now_ms - view.tried_ms)
        .with("reason", reason)
        .with("evaluated", view.advice.evaluated.len())
        .with("eligible", view.advice.eligible.len())
        .with("tickets", tickets.count())
        .with("unused_rounds", view.advice.unused_rounds)
}
