//! Commands of the replicated log that change the job state.

use {
    crate::{ColdStart, Configuration, JobId, JobSpec, LostTask, RunId, TaskKey, Wave, WorkerEntry},
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{DataCenter, QueueName, TeamName, WorkerName},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// How a run ended.
#[key]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The run failed because of the task or of its worker.
    Failed,
    /// The run never started, was stopped, lost its lease or lost its worker. It is not counted as
    /// an attempt.
    Interrupted,
}

impl RunEnd {
    /// Returns the name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Interrupted => "interrupted",
        }
    }
}

/// An accepted job.
#[message]
pub struct Submission {
    /// Time of acceptance in milliseconds since the Unix epoch, by the leader's clock.
    pub accepted_unix_ms: u64,
    /// Identifier of the job.
    pub job: JobId,
    /// Queue to which it was submitted.
    pub queue: QueueName,
    /// Steps, schedule and payload, as the caller submitted them.
    pub spec: JobSpec,
    /// Team whose limits and share it uses; `None` if it came without a known key.
    pub team: Option<TeamName>,
}

impl Submission {
    /// Returns the size of the stored form in bytes; 0 if it cannot be encoded.
    pub(crate) fn encoded_bytes(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(0)
    }
}

/// One change to the job state. The encoding depends on the order of variants.
#[message]
pub enum JobCommand {
    /// Cancels a job at its caller's request.
    Cancel {
        /// Identifier of the job.
        job: JobId,
        /// Time of the change in milliseconds since the Unix epoch, by the leader's clock.
        unix_ms: u64,
    },
    /// Stores a configuration if its version is higher than that of the present one.
    Configure(Box<Configuration>),
    /// Records the end of a run.
    End {
        /// Latest checkpoint of the run; empty if there is none.
        checkpoint: SmolStr,
        /// How the run ended.
        end: RunEnd,
        /// Whether a failure of this run fails the job.
        is_final: bool,
        /// Run that ended.
        run: RunId,
        /// Time of the change in milliseconds since the Unix epoch, by the leader's clock.
        unix_ms: u64,
    },
    /// Removes jobs whose retention period is over.
    RemoveJobs(Vec<JobId>),
    /// Records that a machine's maintenance was ordered.
    RecordMaintenance {
        /// Name of the machine.
        machine: SmolStr,
        /// Number of the wave.
        wave: u64,
    },
    /// Adds a worker or replaces its entry.
    PutWorker {
        /// New entry.
        entry: WorkerEntry,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Removes a worker and ends its runs as interrupted.
    RemoveWorker(WorkerName),
    /// Records the intent to start runs on a worker, before the start orders are sent.
    Start {
        /// Runs to start.
        runs: Vec<RunId>,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Stores a maintenance wave, unless its number is known.
    StartWave(Wave),
    /// Stores an accepted job, unless its identifier is known.
    Submit(Box<Submission>),
    /// Records the loss of a worker for the tasks that ran there.
    RecordLoss(Vec<LostTask>),
    /// Records whether a worker on which leases had expired has crashed or not.
    ResolveLoss {
        /// Whether it has crashed.
        is_crash: bool,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Drops the records of lost workers of tasks.
    ClearLosses(Vec<TaskKey>),
    /// Fails a job because a task of it crashes the workers that run it.
    GiveUp {
        /// Identifier of the job.
        job: JobId,
        /// Time of the change in milliseconds since the Unix epoch, by the leader's clock.
        unix_ms: u64,
    },
    /// Records the order that nothing more is started in a data centre, unless it is recorded already.
    Evacuate {
        /// Name of the data centre.
        data_center: DataCenter,
        /// Name of the operator who gave the order; `None` if it is not known.
        ordered_by: Option<SmolStr>,
        /// Time of the order in milliseconds since the Unix epoch, by the leader's clock.
        unix_ms: u64,
    },
    /// Records that tasks may be started in a data centre again.
    EndEvacuation(DataCenter),
    /// Stores a configuration like `Configure`, with services whose workers start cold.
    ConfigureColdStarts {
        /// Behaviour of the workers after their start, by service.
        cold_starts: BTreeMap<SmolStr, ColdStart>,
        /// The rest of the configuration.
        configuration: Box<Configuration>,
    },
}
