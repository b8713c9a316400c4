//! Heartbeats and loss of workers.
//!
//! A run on a worker that does not answer may be at work until its lease has ended for certain.
//! Until then it counts on its worker and its team, and its task is not started elsewhere.

use {
    crate::{
        JobCommand, LogEvent, Planner, RunEnd, WorkerEntry, WorkerReport, run_view::RunState,
        worker_view::WorkerView,
    },
    fuchsiatack_model::WorkerName,
};

/// Silence after which a worker without runs is forgotten, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 15_000;

impl Planner {
    /// Takes a heartbeat.
    pub(crate) fn worker_reported(&mut self, report: &WorkerReport) {
        let now_ms = self.now_ms;
        let entry = WorkerEntry::from(report);
        let present = self.book.workers.get(&report.name);
        let is_reborn = present.is_some_and(|present| entry.started_unix_ms > present.started_unix_ms);
        let is_stale = present.is_some_and(|present| entry.started_unix_ms < present.started_unix_ms);
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
            self.reborn(&report.name, entry.started_unix_ms);
        }
        if let Some(view) = self.workers.get_mut(&report.name) {
            view.heard_ms = now_ms;
            view.sequence = report.sequence;
            view.left = false;
            view.observe_clock(now_ms, report.clock_ms);
        }
        if is_changed {
            self.note(
                LogEvent::new(if is_new { "worker found" } else { "worker changed" })
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
            self.dirty = true;
        }
        if report.draining {
            self.evacuate(&report.name, report.remaining_ms);
        }
    }

    pub(crate) fn reborn(&mut self, worker: &WorkerName, started_unix_ms: u64) {
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
            LogEvent::new("worker started again")
                .with("worker", worker)
                .with("born_unix_ms", started_unix_ms),
        );
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
            LogEvent::new("leases of a lost worker have ended")
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
            LogEvent::new("worker removed")
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
