//! Heartbeats, leases and loss of workers.
//!
//! A run on a worker that does not answer may be at work until its lease has ended for certain.
//! Until then it counts on its worker and its team, and its task is not started elsewhere.

use {
    crate::{
        Effect, EndedRun, HoldReport, JobCommand, ListedEnd, Note, Planner, RunEnd, RunId, WorkerCallError,
        WorkerEntry, WorkerReport, run_view::RunState, worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
    std::collections::BTreeMap,
};

/// Pause after a failed renewal, for each failure in a row, in milliseconds.
const HOLD_RETRY_MS: u64 = 100;
/// Longest pause after a failed renewal in milliseconds.
const HOLD_RETRY_LIMIT_MS: u64 = 1_000;
/// Silence after which a worker without runs is forgotten, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 15_000;
/// Time after which a worker without runs is told which ends were seen, in milliseconds. It is
/// shorter than `SAME_LIFE_MS`.
const IDLE_ACKNOWLEDGEMENT_MS: u64 = 300;
/// Time after an answer in which a worker cannot have crashed and started again, in milliseconds.
/// Numbers of ends begin anew in each life, so a number of the earlier life would make the new one
/// forget ends that nobody has seen.
const SAME_LIFE_MS: u64 = 500;

impl Planner {
    /// Takes a heartbeat.
    pub(crate) fn worker_reported(&mut self, report: &WorkerReport) {
        let now_ms = self.now_ms;
        let entry = WorkerEntry::from(report);
        let present = self.book.workers.get(&report.name);
        let is_reborn = present.is_some_and(|present| entry.born_unix_ms > present.born_unix_ms);
        let is_stale = present.is_some_and(|present| entry.born_unix_ms < present.born_unix_ms);
        let is_new = present.is_none();
        let is_changed = present.is_none_or(|present| *present != entry);
        let view = self
            .workers
            .entry(report.name.clone())
            .or_insert_with(|| WorkerView::new(now_ms, 0));
        if is_stale || (!is_reborn && !is_new && report.sequence <= view.sequence) {
            return;
        }
        if is_reborn {
            self.reborn(&report.name, entry.born_unix_ms);
        }
        if let Some(view) = self.workers.get_mut(&report.name) {
            view.heard_ms = now_ms;
            view.sequence = report.sequence;
            view.left = false;
            view.observe_clock(now_ms, report.clock_ms);
        }
        if is_changed {
            self.note(
                Note::new(if is_new { "worker found" } else { "worker changed" })
                    .with("worker", &report.name)
                    .with("address", entry.address)
                    .with("draining", entry.draining)
                    .with("born_unix_ms", entry.born_unix_ms)
                    .with("sequence", report.sequence),
            );
            self.propose(JobCommand::PutWorker {
                entry,
                worker: report.name.clone(),
            });
            self.dirty = true;
        }
        if report.draining {
            self.evacuate(&report.name, report.remaining_ms);
        }
    }

    fn reborn(&mut self, worker: &WorkerName, born_unix_ms: u64) {
        let now_ms = self.now_ms;
        let leases_until_ms = self.inherited_until_ms(self.settings.max_lease_ms);
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.reborn(now_ms, leases_until_ms);
        for task in view.runs.clone() {
            if let Some(run) = self.runs.get_mut(&task)
                && matches!(run.state, RunState::Confirmed { .. })
            {
                run.state = RunState::Unverified { since_ms: now_ms };
            }
        }
        for step in self.steps.values_mut() {
            step.advice.good.remove(worker);
            step.advice.asked.remove(worker);
        }
        self.note(
            Note::new("worker started again")
                .with("worker", worker)
                .with("born_unix_ms", born_unix_ms),
        );
    }

    /// Sends the renewals that are due.
    pub(crate) fn renew_due(&mut self) {
        let due: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| self.needs_hold(view))
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in due {
            self.renew(&worker);
        }
    }

    fn needs_hold(&self, view: &WorkerView) -> bool {
        let is_idle_due =
            view.told_seen < view.last_seen && self.now_ms >= view.hold_due_ms + IDLE_ACKNOWLEDGEMENT_MS;
        let is_wanted = !view.verified || view.left || !view.runs.is_empty() || is_idle_due;
        !view.hold_in_flight && self.now_ms >= view.hold_due_ms && is_wanted
    }

    fn renew(&mut self, worker: &WorkerName) {
        let Some(to) = self.callee(worker) else {
            return;
        };
        let (now_ms, lease_ms) = (self.now_ms, self.settings.lease_ms);
        let wait_ms = self.settings.hold_wait_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let is_sound = view.verified && view.failures == 0 && !view.left;
        // A worker that may not answer gets no longer lease, so that its runs can be taken over.
        let deadline_ms = view
            .clock
            .filter(|_| is_sound && !view.runs.is_empty())
            .map(|clock| clock.at_least_ms(now_ms) + lease_ms);
        view.granted_ms = view.granted_ms.max(deadline_ms.unwrap_or(0));
        view.hold_in_flight = true;
        let is_same_life = is_sound && now_ms < view.answered_ms + SAME_LIFE_MS;
        let last_seen = if is_same_life { view.last_seen } else { 0 };
        view.told_seen = last_seen;
        let waits = is_sound && !view.runs.is_empty();
        self.after_commit(Effect::Hold {
            deadline_ms,
            last_seen,
            to,
            wait_ms: if waits { wait_ms } else { 0 },
        });
    }

    /// Takes the answer to a renewal.
    pub(crate) fn held(
        &mut self,
        worker: &WorkerName,
        sent_ms: u64,
        result: Result<HoldReport, WorkerCallError>,
    ) {
        let now_ms = self.now_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.hold_in_flight = false;
        match result {
            Ok(report) => self.renewed(worker, sent_ms, report),
            Err(error) => {
                view.failures += 1;
                view.hold_due_ms =
                    now_ms + (HOLD_RETRY_MS * u64::from(view.failures)).min(HOLD_RETRY_LIMIT_MS);
                let (failures, left) = (view.failures, view.left);
                if failures == 1 {
                    self.note(
                        Note::new("worker lost")
                            .with("worker", worker)
                            .with("error", error.as_str())
                            .with("sent_ms_ago", now_ms.saturating_sub(sent_ms)),
                    );
                }
                if error == WorkerCallError::OtherWorker || left {
                    self.remove_worker(worker, error.as_str());
                }
            }
        }
    }

    fn renewed(&mut self, worker: &WorkerName, sent_ms: u64, report: HoldReport) {
        let now_ms = self.now_ms;
        let known_unix_ms = self
            .book
            .workers
            .get(worker)
            .map_or(0, |entry| entry.born_unix_ms);
        let born_unix_ms = report.born_unix_ms.unwrap_or(known_unix_ms);
        if born_unix_ms < known_unix_ms {
            return;
        }
        if born_unix_ms > known_unix_ms {
            self.reborn(worker, born_unix_ms);
            if let Some(mut entry) = self.book.workers.get(worker).cloned() {
                entry.born_unix_ms = born_unix_ms;
                self.propose(JobCommand::PutWorker {
                    entry,
                    worker: worker.clone(),
                });
            }
        }
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let was_lost = view.failures > 0 || !view.verified;
        let failures = std::mem::take(&mut view.failures);
        view.answered_ms = now_ms;
        view.verified = true;
        view.heard_ms = now_ms;
        view.observe_clock(now_ms, report.clock_ms);
        let has_ends = report.ended.iter().any(|ended| ended.sequence > view.last_seen);
        view.hold_due_ms = if has_ends {
            now_ms + self.settings.hold_pause_ms
        } else {
            now_ms
        };
        if was_lost {
            self.dirty = true;
            self.note(
                Note::new("worker reached")
                    .with("worker", worker)
                    .with("failures", failures)
                    .with("running", report.running.len())
                    .with("ended", report.ended.len()),
            );
        }
        for ended in &report.ended {
            self.take_end(worker, ended);
        }
        self.compare_runs(worker, sent_ms, &report);
    }

    fn take_end(&mut self, worker: &WorkerName, ended: &EndedRun) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        if ended.sequence <= view.last_seen {
            return;
        }
        view.last_seen = ended.sequence;
        let is_present = self
            .runs
            .get(&ended.run.task)
            .is_some_and(|run| run.run == ended.run && run.worker == *worker);
        if !is_present {
            self.note(
                Note::new("end of a superseded run ignored")
                    .job(ended.run.task.step.job)
                    .with("run", ended.run)
                    .with("worker", worker)
                    .with("end", &ended.reason),
            );
            return;
        }
        let end = match ended.end {
            ListedEnd::Done => RunEnd::Done,
            ListedEnd::Failed => RunEnd::Failed,
            ListedEnd::Interrupted => RunEnd::Interrupted,
        };
        self.end_run(ended.run, end, Some(&ended.checkpoint), &ended.reason);
    }

    /// Compares the listed runs with those that should be there.
    fn compare_runs(&mut self, worker: &WorkerName, sent_ms: u64, report: &HoldReport) {
        let listed: BTreeMap<RunId, _> = report.running.iter().map(|listed| (listed.run, listed)).collect();
        for (run, present) in &listed {
            let view = self
                .runs
                .get_mut(&run.task)
                .filter(|view| view.run == *run && view.worker == *worker);
            let Some(view) = view else {
                self.stop_stray(worker, *run);
                continue;
            };
            if !present.checkpoint.is_empty() {
                view.checkpoint = present.checkpoint.clone();
            }
            match view.state {
                RunState::Stopping { .. } => {}
                _ => {
                    view.state = RunState::Confirmed {
                        clock_ms: report.clock_ms,
                    }
                }
            }
        }
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let missing: Vec<_> = view
            .runs
            .iter()
            .filter_map(|task| self.runs.get(task))
            .filter(|view| !listed.contains_key(&view.run))
            .map(|view| (view.run, view.state))
            .collect();
        for (run, state) in missing {
            match state {
                RunState::Unverified { since_ms } if sent_ms >= since_ms => {
                    self.end_run(run, RunEnd::Interrupted, None, "not at its worker");
                }
                RunState::Confirmed { clock_ms } if report.clock_ms > clock_ms => {
                    self.end_run(run, RunEnd::Interrupted, None, "no longer at its worker");
                }
                RunState::Stopping {
                    settled_ms: Some(settled_ms),
                    ..
                } if sent_ms >= settled_ms => {
                    self.end_run(run, RunEnd::Interrupted, None, "stopped before it started");
                }
                // The order may still arrive. A stop keeps it from starting the run.
                RunState::Unanswered { since_ms } if sent_ms > since_ms => self.stop_run(run.task),
                RunState::Confirmed { .. }
                | RunState::Ordered
                | RunState::Stopping { .. }
                | RunState::Unanswered { .. }
                | RunState::Unverified { .. } => {}
            }
        }
    }

    fn stop_stray(&mut self, worker: &WorkerName, run: RunId) {
        let Some(to) = self.callee(worker) else {
            return;
        };
        self.note(
            Note::new("superseded run stopped")
                .job(run.task.step.job)
                .with("run", run)
                .with("worker", worker),
        );
        self.after_commit(Effect::Stop { run, to });
    }

    /// Ends the runs of workers whose leases have ended, and forgets workers that are silent.
    pub(crate) fn watch_workers(&mut self) {
        let now_ms = self.now_ms;
        let lapsed: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| (view.failures > 0 || !view.verified) && !view.runs.is_empty())
            .filter(|(_, view)| now_ms >= view.lapses_ms())
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in lapsed {
            self.lapse(&worker);
        }
        let silent: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, view)| view.failures > 0 && view.runs.is_empty())
            .filter(|(_, view)| now_ms > view.heard_ms + SILENCE_LIMIT_MS)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in silent {
            self.remove_worker(&worker, "silent");
        }
    }

    fn lapse(&mut self, worker: &WorkerName) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        view.verified = false;
        let runs = view.runs.clone();
        let silent_ms = self.now_ms.saturating_sub(view.heard_ms);
        self.note(
            Note::new("leases of a lost worker have ended")
                .with("worker", worker)
                .with("runs", runs.len())
                .with("silent_ms", silent_ms),
        );
        for task in runs {
            if let Some(run) = self.runs.get(&task).map(|view| view.run) {
                self.end_run(run, RunEnd::Interrupted, None, "lease ended on a lost worker");
            }
        }
    }

    pub(crate) fn remove_worker(&mut self, worker: &WorkerName, reason: &str) {
        let runs = self
            .workers
            .get(worker)
            .map(|view| view.runs.clone())
            .unwrap_or_default();
        self.note(
            Note::new("worker removed")
                .with("worker", worker)
                .with("reason", reason)
                .with("runs", runs.len()),
        );
        for task in runs {
            if let Some(run) = self.runs.get(&task).map(|view| view.run) {
                self.end_run(run, RunEnd::Interrupted, None, "worker is gone");
            }
        }
        self.propose(JobCommand::RemoveWorker(worker.clone()));
        self.workers.remove(worker);
        self.dirty = true;
    }
}
