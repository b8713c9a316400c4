//! A job and the state of its tasks.

use {
    crate::{JobId, JobSpec, JobState, RunEnd, RunId, StepId, StepSpec, Submission, TaskKey},
    fuchsiatack_derives::message,
    fuchsiatack_model::{QueueName, TeamName, WorkerName},
    smol_str::SmolStr,
    std::{collections::BTreeMap, sync::Arc},
};

/// State of one task.
#[derive(Default)]
#[message]
pub struct Task {
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Whether a run of it has ended as done.
    pub done: bool,
    /// Number of the last failed run; it lets the failure of a gang count once.
    pub failed_run: u32,
    /// Number of failed runs. Those of a gang are counted on its first task.
    pub failures: u32,
    /// Number of the last run; 0 if there was none.
    pub last_run: u32,
    /// Worker of the present run; `None` if no run can be active.
    pub worker: Option<WorkerName>,
}

/// When and how a job ended.
#[message]
pub struct JobEnd {
    /// Final state of the job.
    pub state: JobState,
    /// Time of the end in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Task states of one occurrence, by step and task number.
pub type Occurrence = Vec<Vec<Task>>;

/// An accepted job.
#[message]
pub struct Job {
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// End of the job; `None` while it is queued or running.
    pub ended: Option<JobEnd>,
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// Started occurrences by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Queue to which it was submitted.
    pub queue: QueueName,
    /// Steps, schedule and payload, as the caller submitted them.
    pub spec: Arc<JobSpec>,
    /// Team whose limits and share it uses; `None` if it came without a known key.
    pub team: Option<TeamName>,
}

impl Job {
    pub(crate) fn new(submission: Submission) -> Self {
        Self {
            accepted_unix_ms: submission.accepted_unix_ms,
            ended: None,
            id: submission.job,
            occurrences: BTreeMap::new(),
            queue: submission.queue,
            spec: Arc::new(submission.spec),
            team: submission.team,
        }
    }

    /// Returns whether it stands for a job that was cancelled before it was submitted.
    pub(crate) fn is_placeholder(&self) -> bool {
        self.spec.steps.is_empty()
    }

    /// Returns how many times the steps run; 1 without a schedule.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the due time of an occurrence in milliseconds since the Unix epoch; without a
    /// schedule, the time of acceptance.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        match self.spec.schedule {
            None => self.accepted_unix_ms,
            Some(schedule) => {
                schedule.start_unix_ms + u64::from(occurrence).saturating_mul(schedule.interval_ms)
            }
        }
    }

    /// Returns the state that callers read.
    pub fn state(&self) -> JobState {
        match &self.ended {
            Some(ended) => ended.state,
            None if self.has_started() => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Returns whether a task has started.
    pub fn has_started(&self) -> bool {
        !self.occurrences.is_empty()
    }

    /// Returns the specification of a step.
    pub fn step(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(step as usize)
    }

    /// Returns the state of a task; `None` until its occurrence has started.
    pub fn task(&self, task: TaskKey) -> Option<&Task> {
        self.occurrences
            .get(&task.step.occurrence)?
            .get(task.step.step as usize)?
            .get(task.index as usize)
    }

    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let tasks = self
            .occurrences
            .get(&occurrence)
            .and_then(|occurrence| occurrence.get(step as usize));
        tasks.is_some_and(|tasks| tasks.iter().all(|task| task.done))
    }

    /// Returns the steps of a due occurrence that are not done and whose dependencies are done.
    pub fn open_steps(&self, occurrence: u32) -> impl Iterator<Item = StepId> {
        let is_open = move |(number, step): &(u32, &StepSpec)| {
            let is_ready = step
                .depends_on
                .iter()
                .all(|earlier| self.is_step_done(occurrence, *earlier));
            is_ready && !self.is_step_done(occurrence, *number)
        };
        (0..)
            .zip(self.spec.steps.iter())
            .filter(is_open)
            .map(move |(step, _)| StepId {
                job: self.id,
                occurrence,
                step,
            })
    }

    /// Returns the sum of the estimated durations along the longest chain of dependent steps, in
    /// milliseconds.
    pub fn chain_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.spec.steps.len());
        for step in &self.spec.steps {
            let start_ms = step
                .depends_on
                .iter()
                .filter_map(|earlier| ends_ms.get(*earlier as usize));
            ends_ms.push(start_ms.max().copied().unwrap_or(0) + step.estimated_ms);
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    pub(crate) fn start(&mut self, run: RunId, worker: &WorkerName) {
        let steps = &self.spec.steps;
        let fresh = || {
            steps
                .iter()
                .map(|step| vec![Task::default(); step.tasks as usize])
                .collect()
        };
        let occurrence = self
            .occurrences
            .entry(run.task.step.occurrence)
            .or_insert_with(fresh);
        let task = occurrence
            .get_mut(run.task.step.step as usize)
            .and_then(|step| step.get_mut(run.task.index as usize));
        if let Some(task) = task {
            task.last_run = run.number;
            task.worker = Some(worker.clone());
        }
    }

    /// Records the end of a run. Returns whether the run was the present one of its task.
    pub(crate) fn end(&mut self, run: RunId, end: RunEnd, checkpoint: &SmolStr) -> bool {
        let step = run.task.step;
        let is_gang = self.step(step.step).is_some_and(|spec| spec.gang);
        let tasks = self
            .occurrences
            .get_mut(&step.occurrence)
            .and_then(|occurrence| occurrence.get_mut(step.step as usize));
        let Some(tasks) = tasks else {
            return false;
        };
        match tasks.get_mut(run.task.index as usize) {
            Some(task) if task.last_run == run.number && task.worker.is_some() => {
                task.worker = None;
                if !checkpoint.is_empty() {
                    task.checkpoint = checkpoint.clone();
                }
            }
            _ => return false,
        }
        let counted = if is_gang { 0 } else { run.task.index as usize };
        match end {
            RunEnd::Done if is_gang => tasks.iter_mut().for_each(|task| task.done = true),
            RunEnd::Done => tasks[run.task.index as usize].done = true,
            RunEnd::Failed if tasks[counted].failed_run < run.number => {
                tasks[counted].failed_run = run.number;
                tasks[counted].failures += 1;
            }
            RunEnd::Failed | RunEnd::Interrupted => {}
        }
        true
    }

    /// Returns whether every task of every occurrence is done.
    pub(crate) fn is_complete(&self) -> bool {
        let count = self.occurrence_count();
        let is_done = |occurrence: &Occurrence| occurrence.iter().flatten().all(|task| task.done);
        self.occurrences.len() as u32 == count && self.occurrences.values().all(is_done)
    }

    /// Returns the present runs with their workers, in order of occurrence, step and task.
    pub fn runs(&self) -> impl Iterator<Item = (RunId, &WorkerName)> {
        self.occurrences.iter().flat_map(move |(occurrence, steps)| {
            (0..).zip(steps).flat_map(move |(step, tasks)| {
                (0..).zip(tasks).filter_map(move |(index, task): (u32, &Task)| {
                    let step = StepId {
                        job: self.id,
                        occurrence: *occurrence,
                        step,
                    };
                    let run = RunId {
                        number: task.last_run,
                        task: TaskKey { index, step },
                    };
                    task.worker.as_ref().map(|worker| (run, worker))
                })
            })
        })
    }
}
