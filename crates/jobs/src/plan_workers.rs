//! Handles heartbeats of workers and their loss.
//!
//! A run on an unreachable worker may continue until its lease has certainly expired. Until then it
//! counts towards the use of its worker and its team, and its task is not started elsewhere.

use {
    crate::{
        JobCommand, LogEvent, Planner, RunEnd, WorkerCallError, WorkerEntry, WorkerReport,
        plan_losses::{LossEvidence, RemovalReason},
        run_view::RunState,
        worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
};

/// Time without contact after which an unreachable worker without runs is removed, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 15_000;
/// Fewest workers of which the heartbeats show whether the leader receives any.
const MIN_WORKERS_OF_SAMPLE: usize = 8;

impl Planner {
    /// Handles a heartbeat. Those that arrive out of order or very late, or
    /// with a clock or an identity that the worker cannot have, are ignored. One with an earlier start time than
    /// that of the present incarnation only makes the leader request a report. `cold_remaining_ms` is how much
    /// longer the worker is slow after its start.
    pub(crate) fn handle_heartbeat(&mut self, report: &WorkerReport, cold_remaining_ms: u64) {
        let now_ms = self.now_ms;
        let entry = WorkerEntry::from(report);
        let present = self.store.workers.get(&report.name);
        let is_restarted = present.is_some_and(|present| entry.started_unix_ms > present.started_unix_ms);
        let is_stale = present.is_some_and(|present| entry.started_unix_ms < present.started_unix_ms);
        let has_start_time = entry.started_unix_ms > 0;
        let is_new = present.is_none();
        let is_changed = present.is_none_or(|present| *present != entry);
        // Without a start time, a restart at another address could not be told from another writer.
        let is_other_worker =
            has_start_time && present.is_some_and(|present| !present.is_same_worker(&entry));
        let view = self
            .workers
            .entry(report.name.clone())
            .or_insert_with(|| WorkerView::new(now_ms, 0));
        if is_stale {
            // It was delayed, or the clock of the worker was set back before it restarted; a report tells.
            if has_start_time {
                view.schedule_check(now_ms);
            }
            return;
        }
        if !is_restarted && !is_new && report.sequence <= view.sequence {
            return;
        }
        if !is_restarted && !view.is_plausible_clock(now_ms, report.clock_ms) {
            return self.log_ignored_heartbeat(report, "clock");
        }
        if !is_restarted && is_other_worker && view.is_reachable() {
            return self.log_ignored_heartbeat(report, "identity");
        }
        if is_new {
            self.record_predecessors(report);
        }
        if is_restarted {
            self.handle_restart(&report.name, entry.started_unix_ms);
        }
        if let Some(view) = self.workers.get_mut(&report.name) {
            view.last_contact_ms = now_ms;
            view.last_heartbeat_ms = now_ms;
            view.sequence = report.sequence;
            let has_returned = view.left_ms.take().is_some();
            view.observe_clock(now_ms, report.clock_ms);
            if has_returned {
                self.repeat_stops_on(&report.name);
            }
        }
        self.observe_cold(&report.name, cold_remaining_ms);
        if is_changed {
            self.log(
                LogEvent::new(if is_new {
                    "worker registered"
                } else {
                    "worker updated"
                })
                .with("worker", &report.name)
                .with("address", entry.address)
                .with("draining", entry.draining)
                .with("born_unix_ms", entry.started_unix_ms)
                .with("sequence", report.sequence),
            );
            self.propose(JobCommand::PutWorker {
                entry,
                worker: report.name.clone(),
            });
            if is_new {
                self.stop_late_starts_on(&report.name);
            }
            self.needs_placement = true;
        }
        if report.draining {
            self.evacuate(&report.name, report.remaining_ms);
        }
    }

    /// Logs the first of a series of heartbeats that do not come from the worker they name, or that were
    /// delayed for long.
    fn log_ignored_heartbeat(&mut self, report: &WorkerReport, field: &str) {
        let Some(view) = self.workers.get_mut(&report.name) else {
            return;
        };
        if !std::mem::replace(&mut view.has_ignored_heartbeats, true) {
            self.log(
                LogEvent::new("implausible heartbeat ignored")
                    .with("worker", &report.name)
                    .with("field", field)
                    .with("address", report.address)
                    .with("sequence", report.sequence),
            );
        }
    }

    /// Records the crash of the unreachable workers that a new worker has followed at its address. It may
    /// crash itself before a call to them reaches it. Their runs count until such a call or the end of their
    /// leases, since the start times of two workers are no proof if the clock was set back in between.
    fn record_predecessors(&mut self, report: &WorkerReport) {
        let is_predecessor = |name: &WorkerName, entry: &WorkerEntry| {
            *name != report.name
                && entry.address == report.address
                && entry.started_unix_ms < report.started_unix_ms
                && self.workers.get(name).is_some_and(|view| view.failures > 0)
        };
        let entries = self.store.workers.iter();
        let predecessors: Vec<_> = entries
            .filter(|(name, entry)| is_predecessor(name, entry))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in predecessors {
            let crashing = self.handle_loss(&worker, LossEvidence::Successor);
            self.give_up(crashing);
        }
    }

    pub(crate) fn handle_restart(&mut self, worker: &WorkerName, started_unix_ms: u64) {
        let now_ms = self.now_ms;
        let leases_until_ms = self.inherited_until_ms(self.settings.max_lease_ms);
        let crashing = self.handle_loss(worker, LossEvidence::Restart);
        self.remember_acknowledgement_in_flight(worker);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.reset(now_ms, leases_until_ms);
        for task in view.runs.clone() {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            if let RunState::Confirmed { .. } = run.state {
                run.state = RunState::Unverified { since_ms: now_ms };
            }
        }
        self.repeat_stops_on(worker);
        for step in self.steps.values_mut() {
            step.advice.eligible.remove(worker);
            step.advice.evaluated.remove(worker);
        }
        self.stop_late_starts_on(worker);
        self.log(
            LogEvent::new("worker restarted")
                .with("worker", worker)
                .with("born_unix_ms", started_unix_ms),
        );
        self.give_up(crashing);
    }

    /// Observes whether most heartbeats are overdue. Then the leader does not receive them in time, and
    /// their age tells nothing about single workers.
    pub(crate) fn observe_heartbeats(&mut self) {
        let now_ms = self.now_ms;
        let reachable = || self.workers.values().filter(|view| view.is_reachable());
        let overdue = reachable().filter(|view| view.is_heartbeat_overdue(now_ms));
        let (overdue, all) = (overdue.count(), reachable().count());
        self.are_heartbeats_late = all >= MIN_WORKERS_OF_SAMPLE && overdue * 2 > all;
    }

    /// Returns whether the capacity of a worker may have changed since its last heartbeat.
    pub(crate) fn is_capacity_outdated(&self, view: &WorkerView) -> bool {
        !self.are_heartbeats_late && view.is_heartbeat_overdue(self.now_ms)
    }

    /// Ends the runs on unreachable workers whose leases have expired, and removes unreachable workers
    /// without runs after `SILENCE_LIMIT_MS` without contact.
    pub(crate) fn expire_workers(&mut self) {
        let now_ms = self.now_ms;
        let lapsed: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| (view.failures > 0 || !view.is_verified) && now_ms >= view.leases_end_ms())
            .filter(|(_, view)| !self.runs_to_give_up(view).is_empty())
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in lapsed {
            self.expire_leases(&worker);
        }
        let silent: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.failures > 0 && view.runs.is_empty())
            .filter(|(_, view)| now_ms > view.last_contact_ms + SILENCE_LIMIT_MS)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in silent {
            self.remove_worker(&worker, RemovalReason::Silent);
        }
    }

    fn expire_leases(&mut self, worker: &WorkerName) {
        let crashing = self.handle_loss(worker, LossEvidence::Silence);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.is_verified = false;
        let silent_ms = self.now_ms.saturating_sub(view.last_contact_ms);
        let runs = self.runs_to_give_up_on(worker);
        self.log(
            LogEvent::new("leases on an unreachable worker expired")
                .with("worker", worker)
                .with("runs", runs.len())
                .with("silent_ms", silent_ms),
        );
        for task in runs {
            if let Some((run, state)) = self.runs.get(&task).map(|view| (view.run, view.state)) {
                self.remember_late_start(worker, run, state);
                self.end_run(
                    run,
                    RunEnd::Interrupted,
                    None,
                    "lease expired on an unreachable worker",
                );
            }
        }
        self.give_up(crashing);
    }

    /// Removes a worker and ends its runs. While the start order of one of them may still be carried out, the
    /// worker stays as an unreachable one with this run, and a later call to it leads here again.
    pub(crate) fn remove_worker(&mut self, worker: &WorkerName, reason: RemovalReason) {
        let crashing = match reason {
            RemovalReason::Successor => self.handle_loss(worker, LossEvidence::Successor),
            RemovalReason::Left | RemovalReason::Silent => {
                self.resolve_loss(worker, false);
                Vec::new()
            }
        };
        let runs = self.runs_to_give_up_on(worker);
        let present = self.workers.get(worker).map_or(0, |view| view.runs.len());
        let is_removed = runs.len() == present;
        if is_removed || !runs.is_empty() {
            self.log(
                LogEvent::new(if is_removed {
                    "worker removed"
                } else {
                    "worker kept: start orders may still be carried out"
                })
                .with("worker", worker)
                .with("reason", reason.as_str())
                .with("runs", runs.len()),
            );
        }
        for task in runs {
            if let Some((run, state)) = self.runs.get(&task).map(|view| (view.run, view.state)) {
                self.remember_late_start(worker, run, state);
                self.end_run(run, RunEnd::Interrupted, None, "worker removed from the cell");
            }
        }
        self.remember_acknowledgement_in_flight(worker);
        match self.workers.get_mut(worker) {
            Some(view) if !is_removed => {
                view.record_failure(self.now_ms, WorkerCallError::WrongWorker);
                self.stop_kept_runs(worker);
            }
            Some(_) | None => {
                self.propose(JobCommand::RemoveWorker(worker.clone()));
                self.workers.remove(worker);
            }
        }
        self.needs_placement = true;
        self.give_up(crashing);
    }
}
