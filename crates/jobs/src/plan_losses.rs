//! Reports the workers that are lost while tasks run on them, with the evidence of what became of them.

use {
    crate::{LogEvent, Planner, RunId, TaskKey, WorkerCallError, run_view::RunState},
    fuchsiatack_model::WorkerName,
    std::fmt::Write,
};

/// Maximum number of runs that one log event names.
const MAX_LOGGED_RUNS: usize = 8;

/// What shows that a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LossEvidence {
    /// Its leases expired while it did not respond. It may run on behind a partition.
    Silence,
    /// It has restarted under its name.
    Restart,
    /// A worker with another name serves its address.
    Successor,
}

/// Why a worker is removed from the cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RemovalReason {
    /// It reported that it has left, does not respond any more and has no runs.
    Left,
    /// It has not responded for a long time and has no runs.
    Silent,
    /// A worker with another name serves its address.
    Successor,
}

impl RemovalReason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Silent => "silent",
            Self::Successor => WorkerCallError::WrongWorker.as_str(),
        }
    }
}

/// What the leader knows of the start of a lost run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StartKnowledge {
    /// The worker confirmed it to this leader.
    Confirmed,
    /// An earlier leader started the run, at an unknown time.
    Inherited,
    /// This leader ordered it. The worker may have crashed before the order arrived.
    Ordered,
}

/// A run that may have been at work when its worker was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub(crate) run: RunId,
    pub(crate) start: StartKnowledge,
    /// Time from the last sign of life of the worker to its loss in milliseconds.
    pub(crate) unheard_ms: u64,
    /// Time from the start order to the loss of the worker in milliseconds.
    pub(crate) worked_ms: u64,
}

impl LostRun {
    /// Returns whether the run was certainly ordered less than `recent_ms` before the loss.
    pub(crate) fn is_recent(&self, recent_ms: u64) -> bool {
        self.start != StartKnowledge::Inherited && self.worked_ms < recent_ms
    }
}

impl LossEvidence {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Silence => "leases expired in silence",
            Self::Restart => "restart under its name",
            Self::Successor => WorkerCallError::WrongWorker.as_str(),
        }
    }
}

impl Planner {
    /// Returns the runs that may have been at work on a worker when it was lost.
    pub(crate) fn lost_runs(&self, worker: &WorkerName) -> Vec<LostRun> {
        let Some(view) = self.workers.get(worker) else {
            return Vec::new();
        };
        let lost_ms = view.loss.map_or(self.now_ms, |loss| loss.since_ms);
        let present = view.runs.iter().filter_map(|task| self.runs.get(task));
        present
            .filter(|run| !run.is_loss_recorded && !run.state.is_stop_confirmed())
            .filter(|run| run.state != RunState::Ordered)
            .map(|run| LostRun {
                run: run.run,
                start: match run.state {
                    _ if run.is_inherited => StartKnowledge::Inherited,
                    RunState::Confirmed { .. } => StartKnowledge::Confirmed,
                    RunState::Stopping {
                        is_start_unconfirmed: false,
                        ..
                    } => StartKnowledge::Confirmed,
                    _ => StartKnowledge::Ordered,
                },
                unheard_ms: lost_ms.saturating_sub(view.last_contact_ms),
                worked_ms: lost_ms.saturating_sub(run.started_ms),
            })
            .collect()
    }

    /// Logs and records the loss of a worker with the runs that it put at risk. Returns the tasks whose jobs
    /// have to be given up.
    pub(crate) fn handle_loss(&mut self, worker: &WorkerName, evidence: LossEvidence) -> Vec<TaskKey> {
        let lost = self.lost_runs(worker);
        for run in &lost {
            if let Some(view) = self.runs.get_mut(&run.run.task) {
                view.is_loss_recorded = true;
            }
        }
        self.log_loss(worker, evidence, &lost);
        let mut crashing = self.record_loss(worker, evidence, &lost);
        if evidence != LossEvidence::Silence {
            crashing.extend(self.resolve_loss(worker, true));
        }
        crashing
    }

    /// Logs the loss of a worker with the runs that it puts at risk, the youngest first.
    fn log_loss(&mut self, worker: &WorkerName, evidence: LossEvidence, runs: &[LostRun]) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        if runs.is_empty() {
            return;
        }
        let lost_ms = view.loss.map_or(self.now_ms, |loss| loss.since_ms);
        let error = view.loss.map_or("", |loss| loss.error.as_str());
        let mut youngest = runs.to_vec();
        youngest.sort_by_key(|lost| lost.worked_ms);
        let mut tasks = String::new();
        for lost in youngest.iter().take(MAX_LOGGED_RUNS) {
            let separator = if tasks.is_empty() { "" } else { " " };
            // Writing to a string cannot fail.
            let _ = write!(tasks, "{separator}{}:{}ms", lost.run, lost.worked_ms);
        }
        self.log(
            LogEvent::new("worker lost with runs")
                .with("worker", worker)
                .with("evidence", evidence.as_str())
                .with("first_error", error)
                .with("lost_ms_ago", self.now_ms.saturating_sub(lost_ms))
                .with("contact_ms_ago", self.now_ms.saturating_sub(view.last_contact_ms))
                .with("runs", runs.len())
                .with(
                    "unconfirmed",
                    runs.iter()
                        .filter(|lost| lost.start != StartKnowledge::Confirmed)
                        .count(),
                )
                .with("tasks", tasks),
        );
    }
}
