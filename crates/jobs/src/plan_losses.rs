//! Reports the workers that are lost while tasks run on them, with the evidence of what became of them.

use {
    crate::{LogEvent, Planner, RunId, WorkerCallError, run_view::RunState},
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
    /// It reported that it has left and does not respond any more.
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

/// A run that may have been at work when its worker was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    pub(crate) run: RunId,
    /// Whether the worker has confirmed the start of the run to this leader.
    pub(crate) is_confirmed: bool,
    /// Time from the start order to the loss of the worker in milliseconds.
    pub(crate) worked_ms: u64,
}

impl LossEvidence {
    fn as_str(self) -> &'static str {
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
            .filter(|run| !run.state.is_stop_confirmed())
            .map(|run| LostRun {
                run: run.run,
                is_confirmed: matches!(run.state, RunState::Confirmed { .. }),
                worked_ms: lost_ms.saturating_sub(run.started_ms),
            })
            .collect()
    }

    /// Logs the loss of a worker with the runs that it puts at risk, the youngest first.
    pub(crate) fn log_loss(&mut self, worker: &WorkerName, evidence: LossEvidence, runs: &[LostRun]) {
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
                    runs.iter().filter(|lost| !lost.is_confirmed).count(),
                )
                .with("tasks", tasks),
        );
    }
}
