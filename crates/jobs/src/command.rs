//! Commands of the replicated log that concern jobs.

use {
    crate::{Configuration, JobId, JobSpec, RunId, Wave, WorkerEntry},
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{QueueName, TeamName, WorkerName},
    smol_str::SmolStr,
};

/// How a run ended.
#[key]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It never started, or was stopped, or its lease lapsed, or its worker is gone.
    Interrupted,
}

impl RunEnd {
    /// Returns the end's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Interrupted => "interrupted",
        }
    }
}

/// A job that is accepted.
#[message]
pub struct Submission {
    /// Time of acceptance in milliseconds since the Unix epoch, by the leader's clock.
    pub accepted_unix_ms: u64,
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// What was submitted.
    pub spec: JobSpec,
    /// Team that it counts for.
    pub team: Option<TeamName>,
}

/// One change of the job state. Variants are sorted by name.
#[message]
pub enum JobCommand {
    /// Ends a job by its caller's wish.
    Cancel {
        /// The job.
        job: JobId,
        /// Time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// Stores a configuration if its version is higher than the present one.
    Configure(Box<Configuration>),
    /// Records that a run is over.
    End {
        /// Latest checkpoint, or empty.
        checkpoint: SmolStr,
        /// How it ended.
        end: RunEnd,
        /// Whether the job fails with it.
        is_final: bool,
        /// The run.
        run: RunId,
        /// Time in milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// Forgets jobs that ended long ago.
    RemoveJobs(Vec<JobId>),
    /// Records that a machine's maintenance was ordered.
    RecordMaintenance {
        /// The machine.
        machine: SmolStr,
        /// The wave.
        wave: u64,
    },
    /// Adds a worker or replaces what is known of it.
    PutWorker {
        /// What is known.
        entry: WorkerEntry,
        /// The worker.
        worker: WorkerName,
    },
    /// Removes a worker. Its runs are over.
    RemoveWorker(WorkerName),
    /// Records the intent to start runs on a worker, before the orders leave.
    Start {
        /// The runs.
        runs: Vec<RunId>,
        /// The worker.
        worker: WorkerName,
    },
    /// Stores a wave.
    StartWave(Wave),
    /// Accepts a job.
    Submit(Box<Submission>),
}
