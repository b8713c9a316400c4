//! Calls to the leader of the cell and their responses.

use {
    crate::{
        AdviceError, ColdStart, Configuration, JobId, JobSpec, StepId, WorkerOrder, WorkerReport,
        WorkerResponse,
    },
    fuchsiatack_derives::{key, message},
    fuchsiatack_model::{DataCenter, WorkerName},
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Operation that a caller requests.
#[message]
pub enum JobAction {
    /// Ends a job.
    Cancel,
    /// Reads the state of a job, or of a queue if the path names no job.
    Read,
    /// Submits a job.
    Submit(Box<JobSpec>),
}

/// Request of a caller on a queue or a job.
#[message]
pub struct JobCall {
    /// Requested operation.
    pub action: JobAction,
    /// Host of the request; part of the queue's route.
    pub host: SmolStr,
    /// Key of the caller's team, if the request carries one.
    pub key: Option<SmolStr>,
    /// Path of the request: the queue's prefix, then the job's identifier.
    pub path: SmolStr,
}

/// State of a job as callers read it.
#[key]
pub enum JobState {
    /// Cancelled by a caller.
    Cancelled,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
}

impl JobState {
    /// Returns the state's name in logs and metrics.
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

/// Response to a caller.
#[message]
pub enum JobResponse {
    /// The job is stored, now or by an earlier request.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The request or its job is invalid, for this reason; nothing was stored.
    Invalid(SmolStr),
    /// The cell has no configuration yet; nothing was stored.
    NotConfigured,
    /// The queue does not have such a job.
    NoSuchJob,
    /// Number of accepted jobs of the queue that have not started.
    Pending(u64),
    /// The job was not accepted and never runs.
    Rejected {
        /// Time after which the caller may submit it again, in milliseconds.
        retry_after_ms: u64,
    },
    /// Present state of the job.
    State(JobState),
    /// The key is not known.
    UnknownKey,
    /// There is no such queue.
    UnknownQueue,
}

/// Announcement of a daemon that accepts callers' requests.
#[message]
pub struct EntryReport {
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Daemon name, for logs.
    pub name: SmolStr,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// Request to the advice service: which of these workers may run a step.
#[message]
pub struct AdviceRequest {
    /// Step to be placed.
    pub step: StepId,
    /// Workers to decide on, the preferred ones first.
    pub workers: Vec<WorkerName>,
}

/// Response of the advice service.
#[message]
pub struct AdviceResponse {
    /// Workers that may run the step, each with the ticket that a start order to it carries.
    pub eligible: Vec<(WorkerName, SmolStr)>,
    /// Validity of the tickets in milliseconds; `None` if the service does not state it.
    pub valid_ms: Option<u64>,
    /// Number of rows that could not be decoded.
    pub unreadable_rows: u32,
}

/// Maintenance wave: machines that an operator wants to have maintained.
#[message]
pub struct Wave {
    /// Time within which the wave is to be complete, in milliseconds.
    pub duration_ms: u64,
    /// Number of the wave, chosen by the operator.
    pub id: u64,
    /// Machines to maintain, by name.
    pub machines: Vec<SmolStr>,
    /// Maximum number of machines that may be down for the wave at the same time.
    pub max_down: u32,
}

/// A call to the cell. The encoding depends on the order of variants.
#[message]
pub enum CellCall {
    /// Sends an advice request on behalf of the leader; any daemon handles it.
    Advise(AdviceRequest),
    /// Stores a configuration.
    Configure(Box<Configuration>),
    /// Announces a daemon that accepts callers' requests.
    Entry(EntryReport),
    /// Heartbeat of a worker.
    Heartbeat(Box<WorkerReport>),
    /// Request of a caller.
    Job(JobCall),
    /// Reports that a worker has left.
    Leave(WorkerName),
    /// Reads the document of the configuration in force.
    ReadConfiguration,
    /// Reads whether the wave with this number is complete.
    ReadWave(u64),
    /// Starts a wave.
    StartWave(Wave),
    /// Calls a worker on behalf of the leader; any core member handles it.
    CallWorker {
        /// Order to send to the worker.
        order: Box<WorkerOrder>,
        /// Time at which the leader sent the call, by the planner's clock in milliseconds. The clock
        /// also counts while the VM is suspended.
        sent_ms: u64,
    },
    /// Orders that nothing more is started in a data centre.
    EvacuateDataCenter {
        /// Name of the data centre. It may have no workers yet.
        data_center: DataCenter,
        /// Name of the operator who gives the order; `None` if it is not known.
        ordered_by: Option<SmolStr>,
    },
    /// Withdraws the order to empty a data centre.
    RestoreDataCenter(DataCenter),
    /// Heartbeat of a worker that is cold. That of a warm one is a `Heartbeat`, which earlier builds know.
    ColdHeartbeat {
        /// Time for which the worker is still slow after its start, in milliseconds.
        cold_remaining_ms: u64,
        /// State of the worker.
        report: Box<WorkerReport>,
    },
    /// Stores a configuration with services whose workers start cold. One without such services is sent as
    /// `Configure`, which earlier builds know.
    ConfigureColdStarts {
        /// Behaviour of the workers after their start, by service.
        cold_starts: BTreeMap<SmolStr, ColdStart>,
        /// The rest of the configuration.
        configuration: Box<Configuration>,
    },
}

/// Response to a `CellCall`. The encoding depends on the order of variants.
#[message]
pub enum CellResponse {
    /// Response of the advice service.
    Advice(AdviceResponse),
    /// The configuration in force.
    Configuration(Vec<u8>),
    /// The call took effect.
    Done,
    /// The daemon could not carry the call out, for this reason; the call had no effect.
    Failed(SmolStr),
    /// Response to a caller.
    Job(JobResponse),
    /// There is no configuration yet, or the wave does not exist.
    NotFound,
    /// State of a wave.
    Wave {
        /// Whether maintenance was ordered for all its machines.
        completed: bool,
    },
    /// Response to the announcement of a daemon.
    Announced {
        /// Whether the cell has a configuration.
        configured: bool,
        /// Peer addresses of the store members.
        members: Vec<SocketAddr>,
    },
    /// Response of a worker to an order.
    Worker(Box<WorkerResponse>),
    /// The advice service gave no advice.
    AdviceFailed(AdviceError),
}

/// Number of a call, unique at one leader.
#[key]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Parses the part of a path after the queue's prefix as a job identifier.
pub(crate) fn parse_job_id(rest: &str) -> Option<JobId> {
    JobId::parse(rest)
}
