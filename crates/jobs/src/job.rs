//! A job and the state of its tasks.

use {
    crate::{
        JobId, JobSpec, JobState, Occurrence, Occurrences, RunEnd, RunId, StepId, StepSpec, Submission,
        TaskKey,
    },
    fuchsiatack_derives::message,
    fuchsiatack_model::{QueueName, TeamName, WorkerName},
    smol_str::SmolStr,
    std::sync::Arc,
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

impl Task {
    /// Counts the failure of a run, once for all members of a gang.
    fn count_failure(&mut self, run: u32) {
        if self.failed_run < run {
            self.failed_run = run;
            self.failures += 1;
        }
    }
}

/// When and how a job ended.
#[message]
pub struct JobEnd {
    /// Final state of the job.
    pub state: JobState,
    /// Time of the end in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

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
    pub occurrences: Occurrences,
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
            occurrences: Occurrences::default(),
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
        let occurrence = self.occurrences.get(task.step.occurrence)?;
        occurrence.tasks(task.step.step).get(task.index as usize)
    }

    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let occurrence = self.occurrences.get(occurrence);
        occurrence.is_some_and(|occurrence| occurrence.is_step_done(step))
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
        let create = || {
            let steps = steps.iter();
            let tasks = steps.map(|step| vec![Task::default(); step.tasks as usize]);
            Occurrence::from(tasks.collect::<Vec<_>>())
        };
        let step = run.task.step;
        self.occurrences.start(step.occurrence, create);
        self.occurrences.update(step.occurrence, |occurrence| {
            occurrence.update(step.step, run.task.index, |task| {
                task.last_run = run.number;
                task.worker = Some(worker.clone());
            })
        });
    }

    /// Records the end of a run. Returns whether the run was the present one of its task.
    pub(crate) fn end(&mut self, run: RunId, end: RunEnd, checkpoint: &SmolStr) -> bool {
        let step = run.task.step;
        let is_gang = self.step(step.step).is_some_and(|spec| spec.gang);
        let is_present = self.occurrences.update(step.occurrence, |occurrence| {
            let is_present = end_present_run(occurrence, run, checkpoint);
            match end {
                _ if !is_present => {}
                RunEnd::Done if is_gang => occurrence.finish_step(step.step),
                RunEnd::Done => {
                    occurrence.update(step.step, run.task.index, |task| task.done = true);
                }
                RunEnd::Failed => {
                    let counted = if is_gang { 0 } else { run.task.index };
                    occurrence.update(step.step, counted, |task| task.count_failure(run.number));
                }
                RunEnd::Interrupted => {}
            }
            is_present
        });
        is_present.unwrap_or(false)
    }

    /// Returns whether every task of every occurrence is done.
    pub(crate) fn is_complete(&self) -> bool {
        self.occurrences.done() == self.occurrence_count()
    }

    /// Returns the present runs with their workers, in order of occurrence, step and task.
    pub fn runs(&self) -> impl Iterator<Item = (RunId, &WorkerName)> {
        let with_runs = self.occurrences.iter().filter(|(_, state)| state.has_runs());
        with_runs.flat_map(move |(occurrence, state)| {
            state.running().filter_map(move |(step, index, task)| {
                let step = StepId {
                    job: self.id,
                    occurrence,
                    step,
                };
                let run = RunId {
                    number: task.last_run,
                    task: TaskKey { index, step },
                };
                task.worker.as_ref().map(|worker| (run, worker))
            })
        })
    }
}

/// Ends a run if it is the present one of its task, and returns whether it was.
fn end_present_run(occurrence: &mut Occurrence, run: RunId, checkpoint: &SmolStr) -> bool {
    let was_present = occurrence.update(run.task.step.step, run.task.index, |task| {
        let is_present = task.last_run == run.number && task.worker.is_some();
        if is_present {
            task.worker = None;
            if !checkpoint.is_empty() {
                task.checkpoint = checkpoint.clone();
            }
        }
        is_present
    });
    was_present.unwrap_or(false)
}
