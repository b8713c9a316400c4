//! Calls to the leader of the cell and their answers.

use {
    crate::{Configuration, JobId, JobSpec, StepId, WorkerOrder, WorkerReport, WorkerResponse},
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::WorkerName,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// What a caller wants.
#[message]
pub enum JobAction {
    /// Ends a job.
    Cancel,
    /// Reads the state of a job, or of a queue if the path names no job.
    Read,
    /// Hands a job in.
    Submit(Box<JobSpec>),
}

/// A call of a caller.
#[message]
pub struct JobCall {
    /// What it wants.
    pub action: JobAction,
    /// Host that it names.
    pub host: SmolStr,
    /// Key that it presents.
    pub key: Option<SmolStr>,
    /// Path that it names.
    pub path: SmolStr,
}

/// State of a job as callers see it.
#[key]
pub enum JobState {
    /// Ended by a caller.
    Cancelled,
    /// All tasks are done.
    Completed,
    /// A task has failed for the last time.
    Failed,
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
}

impl JobState {
    /// Returns the state's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Queued => "queued",
            Self::Running => "running",
        }
    }
}

/// Answer to a caller.
#[message]
pub enum JobResponse {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The call or the job in it is not valid; nothing was stored.
    Invalid(SmolStr),
    /// The cell has no configuration yet; nothing was stored.
    NotConfigured,
    /// The queue does not have such a job.
    NoSuchJob,
    /// Number of accepted jobs of the queue that have not started.
    Pending(u64),
    /// The job was not accepted and never runs.
    Rejected {
        /// When the caller may come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// State of the job.
    State(JobState),
    /// The key is not known.
    UnknownKey,
    /// There is no such queue.
    UnknownQueue,
}

/// What a daemon that takes callers' requests says of itself.
#[message]
pub struct EntryReport {
    /// Peer address.
    pub address: SocketAddr,
    /// Name.
    pub name: SmolStr,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// Workers that may run a step are asked for.
#[message]
pub struct AdviceRequest {
    /// The step.
    pub step: StepId,
    /// Workers to decide on.
    pub workers: Vec<WorkerName>,
}

/// Workers that may run a step.
#[message]
pub struct AdviceResponse {
    /// The workers, each with the ticket that a start on it carries.
    pub eligible: Vec<(WorkerName, SmolStr)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: Option<u64>,
}

/// Machines that an operator wants to have maintained.
#[message]
pub struct Wave {
    /// Time in which it is to be complete, in milliseconds.
    pub duration_ms: u64,
    /// Number of the wave.
    pub id: u64,
    /// The machines.
    pub machines: Vec<SmolStr>,
    /// Most machines that may be down for it at a time.
    pub max_down: u32,
}

/// A call to the cell. The encoding depends on the order of variants.
#[message]
pub enum CellCall {
    /// Asks the advice service on behalf of the leader; any daemon answers it.
    Advise(AdviceRequest),
    /// Stores a configuration.
    Configure(Box<Configuration>),
    /// Announces a daemon that takes callers' requests.
    Entry(EntryReport),
    /// Heartbeat of a worker.
    Heartbeat(Box<WorkerReport>),
    /// Call of a caller.
    Job(JobCall),
    /// A worker has left.
    Leave(WorkerName),
    /// Reads the configuration.
    ReadConfiguration,
    /// Reads how far a wave is.
    ReadWave(u64),
    /// Starts a wave.
    StartWave(Wave),
    /// Calls a worker on behalf of the leader; any core member does it.
    CallWorker {
        /// The call.
        order: Box<WorkerOrder>,
        /// When the leader sent it, by its steady clock in milliseconds.
        sent_ms: u64,
    },
}

/// Answer to a `CellCall`. The encoding depends on the order of variants.
#[message]
pub enum CellResponse {
    /// Answer of the advice service.
    Advice(AdviceResponse),
    /// The configuration in force.
    Configuration(Vec<u8>),
    /// The call took effect.
    Done,
    /// The daemon that was asked could not carry the call out; it had no effect.
    Failed(SmolStr),
    /// Answer to a caller.
    Job(JobResponse),
    /// There is no configuration yet, or no such thing.
    NotFound,
    /// Whether a wave is complete.
    Wave {
        /// Whether all its machines were maintained.
        completed: bool,
    },
    /// Peer addresses of the store members, and whether there is a configuration.
    Announced {
        /// Whether there is a configuration.
        configured: bool,
        /// Peer addresses of the store members.
        members: Vec<SocketAddr>,
    },
    /// Answer of a worker.
    Worker(Box<WorkerResponse>),
}

/// Number of a call at the leader.
#[key]
#[serde(transparent)]
pub struct CallId(pub u64);

/// A job in a path, as an identifier behind the queue's prefix.
pub(crate) fn job_of(rest: &str) -> Option<JobId> {
    JobId::parse(rest)
}
