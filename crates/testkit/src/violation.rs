//! Violations that the history checker reports.

use {
    fuchsiatack_derives::value,
    fuchsiatack_model::{TaskId, TeamName, WorkerName},
    smol_str::SmolStr,
    std::fmt::{Display, Formatter, Result},
};

/// Violation of an invariant of the design.
#[value]
pub enum Violation {
    /// The running tasks of a worker needed more resources than it has.
    CapacityExceeded {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// Task that exceeded the capacity.
        task: TaskId,
        /// Worker whose capacity was exceeded.
        worker: WorkerName,
    },
    /// The same task, request or work task ran twice at the same time.
    ConcurrentRuns {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// Task, request, or work and task number.
        subject: SmolStr,
        /// Workers of the earlier and the later run.
        workers: [WorkerName; 2],
    },
    /// A team had more running tasks than its limit.
    LimitExceeded {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// Highest limit in force within the propagation time before.
        limit: u32,
        /// Number of running tasks.
        running: u32,
        /// Team that exceeded its limit.
        team: TeamName,
    },
    /// A work task or a request was accepted, but did not end exactly once.
    NotEndedOnce {
        /// Contradiction that was found.
        cause: SmolStr,
        /// Request, or work and task number.
        subject: SmolStr,
    },
    /// A request was reported as not run, but a worker had started it.
    NotRunButStarted {
        /// Request identifier.
        request: SmolStr,
    },
    /// A request or work task that must not run again was started more than once.
    RepeatedRun {
        /// Number of starts.
        starts: usize,
        /// Request, or work and task number.
        subject: SmolStr,
    },
    /// A task started on a worker later than permitted after it was leaving or drained.
    WorkAfterLeaving {
        /// Time since the worker announced that it was leaving or the drain was accepted, in
        /// microseconds.
        after_us: u64,
        /// Task that started.
        task: TaskId,
        /// Worker that was leaving or drained.
        worker: WorkerName,
    },
    /// A request was accepted or started later than permitted after its key was withdrawn.
    WorkAfterWithdrawal {
        /// Time since the withdrawal was accepted, in microseconds.
        after_us: u64,
        /// Request identifier.
        request: SmolStr,
    },
    /// A response was incomplete or belonged to another request.
    WrongResponse {
        /// Whether the response was complete, so that it belonged to another request.
        is_complete: bool,
        /// Request identifier.
        request: SmolStr,
    },
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            Self::CapacityExceeded { at_us, task, worker } => {
                write!(
                    formatter,
                    "task {task} exceeds the capacity of worker {worker} at {at_us} us"
                )
            }
            Self::ConcurrentRuns {
                at_us,
                subject,
                workers: [first, second],
            } => write!(
                formatter,
                "{subject} runs on {first} and on {second} at {at_us} us"
            ),
            Self::LimitExceeded {
                at_us,
                limit,
                running,
                team,
            } => write!(
                formatter,
                "team {team} has {running} running tasks at {at_us} us, with a limit of {limit}"
            ),
            Self::NotEndedOnce { cause, subject } => {
                write!(formatter, "{subject} did not end exactly once: {cause}")
            }
            Self::NotRunButStarted { request } => {
                write!(
                    formatter,
                    "request {request} was reported as not run, but a worker had started it"
                )
            }
            Self::RepeatedRun { starts, subject } => {
                write!(
                    formatter,
                    "{subject} must run once, but was started {starts} times"
                )
            }
            Self::WorkAfterLeaving {
                after_us,
                task,
                worker,
            } => write!(
                formatter,
                "task {task} started {after_us} us after worker {worker} was leaving or drained"
            ),
            Self::WorkAfterWithdrawal { after_us, request } => write!(
                formatter,
                "request {request} was accepted or started {after_us} us after its key was withdrawn"
            ),
            Self::WrongResponse { is_complete, request } => {
                let fault = if *is_complete {
                    "belongs to another request"
                } else {
                    "is incomplete"
                };
                write!(formatter, "the response to request {request} {fault}")
            }
        }
    }
}
