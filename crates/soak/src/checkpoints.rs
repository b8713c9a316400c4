//! Checkpoints that a worker stub produces for runs of steps that save progress.

use {
    crate::checker::Checker,
    fuchsiatack_jobs::{RunId, TaskKey},
    std::collections::BTreeMap,
};

/// `checkpointS` of the platform, in milliseconds.
const CHECKPOINT_MS: u64 = 1_000;
/// `restoreMs` of the platform.
const RESTORE_MS: u64 = 600;

/// A checkpoint that a worker produced.
pub(crate) struct IssuedCheckpoint {
    /// Work that it saves.
    progress_ms: u64,
    pub(crate) task: TaskKey,
}

struct SavedRun {
    /// Time at which the run would have begun without a checkpoint.
    begin_ms: u64,
    /// Work that `value` saves.
    progress_ms: u64,
    value: String,
}

/// Checkpoints of the runs of one incarnation of a worker.
#[derive(Default)]
pub(crate) struct Checkpoints(BTreeMap<RunId, SavedRun>);

impl Checkpoints {
    /// Starts a run that resumes from a checkpoint, which may be empty. Returns the time at which it ends.
    pub(crate) fn start(
        &mut self,
        checker: &Checker,
        run: RunId,
        checkpoint: &str,
        now_ms: u64,
        total_ms: u64,
    ) -> u64 {
        let resumed_ms = checker
            .observations()
            .checkpoints
            .get(checkpoint)
            .map(|issued| issued.progress_ms);
        let saved = SavedRun {
            begin_ms: resumed_ms.map_or(now_ms, |progress_ms| {
                (now_ms + RESTORE_MS).saturating_sub(progress_ms)
            }),
            progress_ms: resumed_ms.unwrap_or(0),
            value: checkpoint.to_owned(),
        };
        let ends_ms = (saved.begin_ms + total_ms).max(now_ms + 1);
        self.0.insert(run, saved);
        ends_ms
    }

    /// Produces a new checkpoint if a run progressed for `CHECKPOINT_MS`, or if it `ends`.
    pub(crate) fn save(&mut self, checker: &Checker, run: RunId, now_ms: u64, ends: bool) {
        let Some(saved) = self.0.get_mut(&run) else {
            return;
        };
        let progress_ms = now_ms.saturating_sub(saved.begin_ms);
        let least_ms = saved.progress_ms + if ends { 1 } else { CHECKPOINT_MS };
        if progress_ms >= least_ms {
            saved.progress_ms = progress_ms;
            saved.value = issue(checker, run.task, progress_ms);
        }
    }

    /// Last checkpoint of a run; empty if there is none.
    pub(crate) fn value(&self, run: RunId) -> &str {
        self.0.get(&run).map_or("", |saved| &saved.value)
    }
}

fn issue(checker: &Checker, task: TaskKey, progress_ms: u64) -> String {
    let mut observed = checker.observations();
    let value = format!("{:016x}", observed.checkpoints.len() + 1);
    let issued = IssuedCheckpoint { progress_ms, task };
    observed.checkpoints.insert(value.clone(), issued);
    value
}
