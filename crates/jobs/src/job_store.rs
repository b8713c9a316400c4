//! Replicated state of jobs, workers and their configuration.

use {
    crate::{
        ColdStart, Configuration, CrashRecord, Evacuation, Job, JobCommand, JobEnd, JobId, JobState,
        JobStoreExtension, LostTask, RunEnd, RunId, TaskKey, Wave, WorkerEntry,
    },
    fuchsiatack_derives::message,
    fuchsiatack_model::{QueueName, WorkerName},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// A maintenance wave with the machines whose maintenance was ordered so far.
#[message]
pub struct WaveEntry {
    /// Machines whose maintenance was ordered; a subset of those of the wave.
    pub ordered: BTreeSet<SmolStr>,
    /// The wave as the operator submitted it.
    pub wave: Wave,
}

/// Job state that all store members replicate. It changes only through `apply`, which is
/// deterministic.
#[derive(Default)]
#[message]
pub struct JobStore {
    /// Configuration in force; `None` until the first one is stored.
    pub configuration: Option<Arc<Configuration>>,
    /// Jobs by identifier; ended jobs stay for the retention period.
    pub jobs: BTreeMap<JobId, Job>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, WaveEntry>,
    /// Registered workers by name.
    pub workers: BTreeMap<WorkerName, WorkerEntry>,
    /// Tasks under which workers were lost since they last proved that they crash none.
    pub crashes: BTreeMap<TaskKey, CrashRecord>,
    /// What the first form of snapshots lacks. Snapshots store it beside the rest, because a further field
    /// would make those of earlier builds unreadable.
    #[serde(skip)]
    pub extension: JobStoreExtension,
}

impl JobStore {
    /// Applies one command. A command that no longer matches the state has no effect.
    pub fn apply(&mut self, command: &JobCommand) {
        match command {
            JobCommand::Cancel { job, unix_ms } => self.end_job(*job, JobState::Cancelled, *unix_ms),
            JobCommand::Configure(configuration) => self.configure(configuration, &BTreeMap::new()),
            JobCommand::End {
                checkpoint,
                end,
                is_final,
                run,
                unix_ms,
            } => {
                if self.end_run(*run, *end, checkpoint) {
                    self.clear_ended(*run, *end);
                    self.update_job(*run, *end, *is_final, *unix_ms);
                }
            }
            JobCommand::RemoveJobs(jobs) => {
                for job in jobs {
                    self.jobs.remove(job);
                    self.clear_job(*job);
                }
            }
            JobCommand::RecordMaintenance { machine, wave } => {
                if let Some(entry) = self.waves.get_mut(wave) {
                    entry.ordered.insert(machine.clone());
                }
            }
            JobCommand::PutWorker { entry, worker } => {
                self.workers.insert(worker.clone(), entry.clone());
            }
            JobCommand::RemoveWorker(worker) => self.remove_worker(worker),
            JobCommand::Start { runs, worker } => {
                for run in runs {
                    if let Some(job) = self.jobs.get_mut(&run.task.step.job) {
                        job.start(*run, worker);
                    }
                }
            }
            JobCommand::StartWave(wave) => {
                self.waves.entry(wave.id).or_insert_with(|| WaveEntry {
                    ordered: BTreeSet::new(),
                    wave: wave.clone(),
                });
            }
            JobCommand::Submit(submission) => {
                self.jobs
                    .entry(submission.job)
                    .or_insert_with(|| Job::new(submission.as_ref().clone()));
            }
            JobCommand::RecordLoss(tasks) => {
                for lost in tasks {
                    self.record_loss(lost);
                }
            }
            JobCommand::ResolveLoss { is_crash, worker } => {
                self.crashes
                    .values_mut()
                    .for_each(|record| record.resolve(worker, *is_crash));
                self.crashes.retain(|_, record| !record.is_empty());
            }
            JobCommand::ClearLosses(tasks) => {
                for task in tasks {
                    self.crashes.remove(task);
                }
            }
            JobCommand::GiveUp { job, unix_ms } => self.end_job(*job, JobState::Failed, *unix_ms),
            JobCommand::Evacuate {
                data_center,
                ordered_by,
                unix_ms,
            } => {
                let evacuations = &mut self.extension.evacuations;
                evacuations
                    .entry(data_center.clone())
                    .or_insert_with(|| Evacuation {
                        ordered_by: ordered_by.clone(),
                        ordered_unix_ms: *unix_ms,
                    });
            }
            JobCommand::EndEvacuation(data_center) => {
                self.extension.evacuations.remove(data_center);
            }
            JobCommand::ConfigureColdStarts {
                cold_starts,
                configuration,
            } => self.configure(configuration, cold_starts),
        }
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let is_pending = |job: &&Job| job.queue == *queue && job.state() == JobState::Queued;
        self.jobs.values().filter(is_pending).count() as u64
    }

    fn configure(&mut self, configuration: &Configuration, cold_starts: &BTreeMap<SmolStr, ColdStart>) {
        let present = self.configuration.as_ref().map(|present| present.version);
        if present.is_none_or(|version| configuration.version > version) {
            self.configuration = Some(Arc::new(configuration.clone()));
            self.extension.cold_starts = cold_starts.clone();
        }
    }

    fn end_run(&mut self, run: RunId, end: RunEnd, checkpoint: &SmolStr) -> bool {
        self.jobs
            .get_mut(&run.task.step.job)
            .is_some_and(|job| job.end(run, end, checkpoint))
    }

    fn update_job(&mut self, run: RunId, end: RunEnd, is_final: bool, unix_ms: u64) {
        let job = run.task.step.job;
        let is_complete = end == RunEnd::Done && self.jobs.get(&job).is_some_and(Job::is_complete);
        match end {
            _ if is_complete => self.end_job(job, JobState::Completed, unix_ms),
            RunEnd::Failed if is_final => self.end_job(job, JobState::Failed, unix_ms),
            RunEnd::Done | RunEnd::Failed | RunEnd::Interrupted => {}
        }
    }

    fn end_job(&mut self, job: JobId, state: JobState, unix_ms: u64) {
        if let Some(job) = self.jobs.get_mut(&job) {
            job.ended.get_or_insert(JobEnd { state, unix_ms });
        }
        self.clear_job(job);
    }

    fn record_loss(&mut self, lost: &LostTask) {
        let job = self.jobs.get(&lost.task.step.job);
        let task = job
            .filter(|job| job.ended.is_none())
            .and_then(|job| job.task(lost.task));
        if task.is_some_and(|task| !task.done) {
            self.crashes.entry(lost.task).or_default().add(lost);
        }
    }

    /// Drops the record of a task whose run has ended by itself, and those of its gang if that is done.
    fn clear_ended(&mut self, run: RunId, end: RunEnd) {
        match end {
            RunEnd::Done => {
                let jobs = &self.jobs;
                let is_done = |task: &TaskKey| {
                    let job = jobs.get(&task.step.job);
                    job.and_then(|job| job.task(*task)).is_some_and(|task| task.done)
                };
                self.crashes
                    .retain(|task, _| task.step != run.task.step || !is_done(task));
            }
            RunEnd::Failed => {
                self.crashes.remove(&run.task);
            }
            RunEnd::Interrupted => {}
        }
    }

    fn clear_job(&mut self, job: JobId) {
        self.crashes.retain(|task, _| task.step.job != job);
    }

    fn remove_worker(&mut self, worker: &WorkerName) {
        self.workers.remove(worker);
        let on_worker = |job: &Job| {
            let runs = job.runs().filter(|(_, on)| *on == worker);
            runs.map(|(run, _)| run).collect::<Vec<_>>()
        };
        let runs: Vec<_> = self.jobs.values().flat_map(on_worker).collect();
        for run in runs {
            self.end_run(run, RunEnd::Interrupted, &SmolStr::default());
        }
    }
}
