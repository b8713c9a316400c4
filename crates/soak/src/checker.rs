//! Collects what callers and workers observe and checks the scheduler's guarantees against it.

use {
    crate::{
        checkpoints::IssuedCheckpoint,
        unasked::{Execution, FaultTimes, RecordedRun, RecordedRuns, late_start},
    },
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
    /// Whether the submission was acknowledged.
    pub(crate) accepted: bool,
    /// Status of the first acknowledgement of the cancellation.
    pub(crate) cancel_status: u16,
    /// Time at which the cancellation was acknowledged, in milliseconds of the checker's clock.
    pub(crate) cancelled_ms: Option<u64>,
    /// Whether the cell may have accepted it without an acknowledgement that reached the caller. False only
    /// after each attempt to submit it was rejected with status 429 or 503.
    pub(crate) in_doubt: bool,
    /// Whether the caller saw it end or cancelled it.
    pub(crate) ended: bool,
    pub(crate) spec: Option<JobSpec>,
}

/// Everything observed in a soak run.
#[derive(Default)]
pub(crate) struct Observations {
    /// Checkpoints that workers produced.
    pub(crate) checkpoints: BTreeMap<String, IssuedCheckpoint>,
    /// Tasks that a worker completed, whether or not the cell has recorded their end.
    pub(crate) done: BTreeSet<TaskKey>,
    pub(crate) faults: FaultTimes,
    pub(crate) jobs: BTreeMap<JobId, KnownJob>,
    /// Completed tasks whose end the cell has recorded.
    pub(crate) recorded: BTreeSet<TaskKey>,
    /// Workers on which each task is running.
    pub(crate) running: BTreeMap<TaskKey, BTreeSet<usize>>,
    /// Each run that a worker started.
    pub(crate) runs: RecordedRuns,
    /// Number of runs that workers started.
    pub(crate) starts: u64,
    pub(crate) violations: Vec<String>,
    /// Highest acknowledged configuration version and the time of its acknowledgement in milliseconds.
    pub(crate) acknowledged_version: (u64, u64),
}

impl Observations {
    /// Records the end of the runs of a task on a worker.
    fn end_runs(&mut self, worker: usize, task: TaskKey, now_ms: u64) {
        let runs = [0, u32::MAX].map(|number| (worker, RunId { number, task }));
        for (_, record) in self.runs.range_mut(runs[0]..=runs[1]) {
            record.ended_ms.get_or_insert(now_ms);
        }
    }

    /// Returns whether workers completed all tasks of a step. A gang counts as completed
    /// with its first completed task.
    pub(crate) fn is_step_done(&self, step: StepId, spec: &StepSpec) -> bool {
        let is_done = |index| self.done.contains(&TaskKey { index, step });
        match spec.gang {
            true => (0..spec.tasks).any(is_done),
            false => (0..spec.tasks).all(is_done),
        }
    }
}

/// Records observations and checks the guarantees. All stubs of a soak run share it.
pub(crate) struct Checker {
    start: Instant,
    observed: Mutex<Observations>,
}

impl Checker {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            observed: Mutex::default(),
        }
    }

    /// Milliseconds since the start of the soak run.
    pub(crate) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run on a worker and checks that the run may start.
    pub(crate) fn record_start(&self, worker: usize, run: RunId, execution: Execution) {
        let now_ms = self.now_ms();
        let mut observed = self.observations();
        let task = run.task;
        let mut violations = Vec::new();
        let job = observed.jobs.get(&task.step.job).cloned().unwrap_or_default();
        if observed
            .running
            .get(&task)
            .is_some_and(|workers| workers.iter().any(|other| *other != worker))
        {
            violations.push("started while another worker runs the same task");
        }
        if observed
            .running
            .get(&task)
            .is_some_and(|workers| workers.contains(&worker))
        {
            violations.push("started while the same worker has another run of the task");
            observed.end_runs(worker, task, now_ms);
        }
        if observed.recorded.contains(&task) {
            violations.push("started after the end of its task was recorded");
        }
        if !job.accepted && !job.in_doubt {
            violations.push("started although its job was rejected");
        }
        let step = job
            .spec
            .as_ref()
            .and_then(|spec| spec.steps.get(task.step.step as usize).map(|step| (spec, step)));
        let has_open_dependency = step.is_some_and(|(spec, step)| {
            step.depends_on.iter().any(|number| {
                let dependency = StepId {
                    step: *number,
                    ..task.step
                };
                !observed.is_step_done(dependency, &spec.steps[*number as usize])
            })
        });
        if has_open_dependency {
            violations.push("started before the steps that its step depends on were done");
        }
        let is_prompt = execution == Execution::Prompt;
        let late_start = is_prompt.then(|| late_start(&observed, run, now_ms)).flatten();
        let record = RecordedRun::new(now_ms, execution);
        observed.runs.insert((worker, run), record);
        observed.starts += 1;
        observed.running.entry(task).or_default().insert(worker);
        let note = execution.note();
        let violations = violations.into_iter().map(str::to_owned).chain(late_start);
        observed.violations.extend(
            violations.map(|violation| format!("{now_ms} ms: run {run} {violation} (worker {worker}{note})")),
        );
    }

    /// Records that a task no longer runs on a worker, and whether it completed there.
    pub(crate) fn record_stop(&self, worker: usize, task: TaskKey, is_done: bool) {
        let now_ms = self.now_ms();
        let mut observed = self.observations();
        if let Some(workers) = observed.running.get_mut(&task) {
            workers.remove(&worker);
        }
        observed.end_runs(worker, task, now_ms);
        if is_done {
            observed.done.insert(task);
        }
    }

    /// Records that the cancellation of a job was acknowledged.
    pub(crate) fn record_cancellation(&self, job: JobId, status: u16) {
        let now_ms = self.now_ms();
        if let Some(job) = self.observations().jobs.get_mut(&job)
            && job.cancelled_ms.is_none()
        {
            job.cancel_status = status;
            job.cancelled_ms = Some(now_ms);
            job.ended = true;
        }
    }

    /// Records a violated guarantee, or a fault of the soak test itself, with the current time.
    pub(crate) fn record_violation(&self, violation: String) {
        let now_ms = self.now_ms();
        self.observations()
            .violations
            .push(format!("{now_ms} ms: {violation}"));
    }
}
