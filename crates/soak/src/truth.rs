//! What callers and workers have seen, and the promises that follow from it.

use {
    fuchsiatack_jobs::{JobId, JobSpec, RunId, StepId, StepSpec, TaskKey},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// A job as its caller knows it.
#[derive(Clone, Default)]
pub(crate) struct KnownJob {
    pub(crate) accepted: bool,
    /// When a cancel was acknowledged, in milliseconds.
    pub(crate) cancelled_ms: Option<u64>,
    /// Whether some attempt to hand it in got no clear answer.
    pub(crate) in_doubt: bool,
    pub(crate) ended: bool,
    pub(crate) spec: Option<JobSpec>,
}

#[derive(Default)]
pub(crate) struct Seen {
    /// Tasks that a worker did, whether the end was recorded or not.
    pub(crate) done: BTreeSet<TaskKey>,
    pub(crate) jobs: BTreeMap<JobId, KnownJob>,
    /// Tasks whose done end was recorded.
    pub(crate) noted: BTreeSet<TaskKey>,
    /// Workers on which a task is at work.
    pub(crate) running: BTreeMap<TaskKey, BTreeSet<usize>>,
    pub(crate) starts: u64,
    pub(crate) violations: Vec<String>,
    /// Highest configuration version that was acknowledged, with the time.
    pub(crate) version: (u64, u64),
}

impl Seen {
    /// Whether workers did all tasks of a step. One done member stands for its whole gang.
    pub(crate) fn is_step_done(&self, step: StepId, spec: &StepSpec) -> bool {
        let is_done = |index| self.done.contains(&TaskKey { index, step });
        match spec.gang {
            true => (0..spec.tasks).any(is_done),
            false => (0..spec.tasks).all(is_done),
        }
    }
}

/// Shared by all stand-ins.
pub(crate) struct Truth {
    begin: Instant,
    seen: Mutex<Seen>,
}

impl Truth {
    pub(crate) fn new() -> Self {
        Self {
            begin: Instant::now(),
            seen: Mutex::default(),
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub(crate) fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Checks a start on a worker.
    pub(crate) fn started(&self, worker: usize, run: RunId) {
        let now_ms = self.now_ms();
        let mut seen = self.seen();
        let task = run.task;
        let mut found = Vec::new();
        let job = seen.jobs.get(&task.step.job).cloned().unwrap_or_default();
        if seen
            .running
            .get(&task)
            .is_some_and(|on| on.iter().any(|on| *on != worker))
        {
            found.push("runs in two places");
        }
        if seen.noted.contains(&task) {
            found.push("starts after its end was recorded");
        }
        if !job.accepted && !job.in_doubt {
            found.push("starts although its job was refused");
        }
        let earlier = job
            .spec
            .as_ref()
            .and_then(|spec| spec.steps.get(task.step.step as usize).map(|step| (spec, step)));
        let waits = earlier.is_some_and(|(spec, step)| {
            step.depends_on.iter().any(|number| {
                let earlier = StepId {
                    step: *number,
                    ..task.step
                };
                !seen.is_step_done(earlier, &spec.steps[*number as usize])
            })
        });
        if waits {
            found.push("starts before the steps it depends on");
        }
        seen.starts += 1;
        seen.running.entry(task).or_default().insert(worker);
        for what in found {
            seen.violations
                .push(format!("{now_ms} ms: {run} {what} (worker {worker})"));
        }
    }

    /// Notes that a task is no longer at work on a worker.
    pub(crate) fn left(&self, worker: usize, task: TaskKey, done: bool) {
        let mut seen = self.seen();
        if let Some(on) = seen.running.get_mut(&task) {
            on.remove(&worker);
        }
        if done {
            seen.done.insert(task);
        }
    }

    pub(crate) fn violate(&self, what: String) {
        let now_ms = self.now_ms();
        self.seen().violations.push(format!("{now_ms} ms: {what}"));
    }
}
