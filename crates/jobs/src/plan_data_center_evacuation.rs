//! Empties data centres by order of an operator.
//!
//! Handles work that must not be started any more in a data centre that is about to be switched off or
//! repaired, while the rest of the cell stays loaded. The order is part of the replicated state, so that
//! every later leader keeps it. It is acknowledged once it is committed.

use {
    crate::{
        CallId, CellResponse, EvacuationReport, JobCommand, LogEvent, Planner, StepId, StepSpec, WaitReason,
        WorkerEntry, plan_candidates::is_suitable, run_view::RunState,
    },
    fuchsiatack_model::{DataCenter, WorkerName},
    smol_str::SmolStr,
};

/// Time for which a start order into an evacuated data centre may be without a response before its run is
/// stopped, in milliseconds. A check shows most of these runs within half a second; the stop has to arrive
/// before the platform's 5 s after the acknowledgement are over.
const UNANSWERED_START_MS: u64 = 1_000;
/// Maximum number of evacuated data centres in a report, which bounds the number of metrics.
const MAX_REPORTED: usize = 16;

impl Planner {
    /// Orders that nothing more is started in a data centre. A repeated order changes nothing.
    pub(crate) fn evacuate_data_center(
        &mut self,
        id: CallId,
        data_center: DataCenter,
        ordered_by: Option<SmolStr>,
    ) {
        let is_new = !self.is_evacuated(&data_center);
        self.log(
            LogEvent::new(match is_new {
                true => "data centre evacuated",
                false => "data centre already evacuated",
            })
            .with("data_center", &data_center)
            .with("by", ordered_by.as_deref().unwrap_or_default())
            .with("workers", self.workers_in(&data_center).len())
            .with("runs", self.runs_in(&data_center)),
        );
        if is_new {
            self.propose(JobCommand::Evacuate {
                data_center: data_center.clone(),
                ordered_by,
                unix_ms: self.now_unix_ms,
            });
            for worker in self.workers_in(&data_center) {
                self.withdraw_worker(&worker);
            }
            self.needs_placement = true;
        }
        self.respond(id, CellResponse::Done);
    }

    /// Withdraws the order to empty a data centre. Changes nothing if there is none.
    pub(crate) fn restore_data_center(&mut self, id: CallId, data_center: DataCenter) {
        let evacuation = self.store.extension.evacuations.get(&data_center);
        let ordered_unix_ms = evacuation.map(|evacuation| evacuation.ordered_unix_ms);
        self.log(
            LogEvent::new(match ordered_unix_ms {
                Some(_) => "data centre restored",
                None => "data centre not evacuated",
            })
            .with("data_center", &data_center)
            .with("workers", self.workers_in(&data_center).len())
            .with(
                "evacuated_ms",
                ordered_unix_ms.map_or(0, |unix_ms| self.now_unix_ms.saturating_sub(unix_ms)),
            ),
        );
        if ordered_unix_ms.is_some() {
            self.propose(JobCommand::EndEvacuation(data_center));
            self.needs_placement = true;
        }
        self.respond(id, CellResponse::Done);
    }

    /// Returns whether nothing may be started in a data centre.
    pub(crate) fn is_evacuated(&self, data_center: &DataCenter) -> bool {
        self.store.extension.evacuations.contains_key(data_center)
    }

    /// Returns whether a worker is in an evacuated data centre.
    pub(crate) fn is_worker_evacuated(&self, worker: &WorkerName) -> bool {
        let entry = self.store.workers.get(worker);
        entry.is_some_and(|entry| self.is_evacuated(&entry.data_center))
    }

    /// Stops runs whose start orders into evacuated data centres have had no response. Without the stop, a
    /// delayed order could still start them there.
    pub(crate) fn stop_unanswered_starts(&mut self) {
        if self.store.extension.evacuations.is_empty() {
            return;
        }
        let is_overdue = |state: RunState| match state {
            RunState::Unanswered { since_ms } => self.now_ms >= since_ms + UNANSWERED_START_MS,
            RunState::Confirmed { .. }
            | RunState::Ordered
            | RunState::Stopping { .. }
            | RunState::Unverified { .. } => false,
        };
        let overdue: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, view)| is_overdue(view.state) && self.is_worker_evacuated(&view.worker))
            .map(|(task, _)| *task)
            .collect();
        for task in overdue {
            self.stop_run(task);
        }
    }

    /// Replaces the reason for which a step waits if only workers in evacuated data centres could run it.
    pub(crate) fn refine_wait_reason(&self, step: StepId, reason: WaitReason) -> WaitReason {
        match reason {
            WaitReason::NoCapacity if self.fits_only_evacuated(step) => WaitReason::Evacuated,
            reason => reason,
        }
    }

    /// Returns the evacuated data centres with what still runs there.
    pub(crate) fn evacuation_reports(&self) -> Vec<EvacuationReport> {
        let evacuations = self.store.extension.evacuations.iter().take(MAX_REPORTED);
        let reports = evacuations.map(|(data_center, evacuation)| EvacuationReport {
            data_center: data_center.clone(),
            ordered_unix_ms: evacuation.ordered_unix_ms,
            runs: self.runs_in(data_center),
            workers: self.workers_in(data_center).len(),
        });
        reports.collect()
    }

    /// Drops what steps have planned on a worker. The advice on it is asked for anew once it may be used
    /// again, since its tickets have expired by then.
    fn withdraw_worker(&mut self, worker: &WorkerName) {
        for view in self.steps.values_mut() {
            if view.advice.eligible.remove(worker).is_some() {
                view.advice.evaluated.remove(worker);
            }
        }
        self.reservations.end_on(worker);
        self.stop_late_starts_on(worker);
    }

    fn fits_only_evacuated(&self, step: StepId) -> bool {
        let spec = self.store.jobs.get(&step.job).and_then(|job| job.step(step.step));
        let (Some(spec), Some(queue)) = (spec, self.queue_of(step.job)) else {
            return false;
        };
        if self.store.extension.evacuations.is_empty() {
            return false;
        }
        let fitting = |entry: &&WorkerEntry| fits(spec, &queue.service, entry);
        let mut fitting = self.store.workers.values().filter(fitting).peekable();
        fitting.peek().is_some() && fitting.all(|entry| self.is_evacuated(&entry.data_center))
    }

    fn workers_in(&self, data_center: &DataCenter) -> Vec<WorkerName> {
        let workers = self.store.workers.iter();
        let here = workers.filter(|(_, entry)| entry.data_center == *data_center);
        here.map(|(worker, _)| worker.clone()).collect()
    }

    fn runs_in(&self, data_center: &DataCenter) -> usize {
        let workers = self.store.workers.iter();
        let here = workers.filter(|(_, entry)| entry.data_center == *data_center);
        here.filter_map(|(worker, _)| self.workers.get(worker))
            .map(|view| view.runs.len())
            .sum()
    }
}

fn fits(spec: &StepSpec, service: &SmolStr, entry: &WorkerEntry) -> bool {
    entry.capacity.covers(&spec.reserved()) && is_suitable(spec, service, entry)
}
