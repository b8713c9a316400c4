//! What the history checker found.

use {
    fuchsiatack_derives::value,
    fuchsiatack_model::{TaskId, TeamName, WorkerName},
    smol_str::SmolStr,
    std::fmt::{Display, Formatter, Result},
};

/// A broken invariant.
#[value]
pub enum Violation {
    /// A team had more running than its limit.
    AboveLimit {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// Highest limit in force in the propagation time before.
        limit: u32,
        /// Running tasks.
        running: u32,
        /// The team.
        team: TeamName,
    },
    /// A worker had more running than it holds.
    CapacityExceeded {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// The task that was too much.
        task: TaskId,
        /// The worker.
        worker: WorkerName,
    },
    /// Work or a request was accepted, but did not end exactly once.
    NotEndedOnce {
        /// What was found.
        cause: SmolStr,
        /// Request, or work and task number.
        subject: SmolStr,
    },
    /// A request was answered `not run`, but a worker started it.
    NotRunRan {
        /// The request.
        request: SmolStr,
    },
    /// A request or task that must not run again was started more than once.
    RanTwice {
        /// Number of starts.
        starts: usize,
        /// Request, or work and task number.
        subject: SmolStr,
    },
    /// The same task ran in two places at one time.
    TwoPlaces {
        /// Time in microseconds since the Unix epoch.
        at_us: u64,
        /// Task, request, or work and task number.
        subject: SmolStr,
        /// The workers.
        workers: [WorkerName; 2],
    },
    /// A task started on a worker that was leaving or drained for more than the allowed time.
    WorkAfterLeaving {
        /// Time since the worker announced it or the drain was accepted, in microseconds.
        after_us: u64,
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerName,
    },
    /// Work was accepted or started for a key that was withdrawn for more than the allowed time.
    WorkAfterWithdrawal {
        /// Time since the withdrawal was accepted, in microseconds.
        after_us: u64,
        /// The request.
        request: SmolStr,
    },
    /// An answer was not complete or not the caller's own.
    WrongAnswer {
        /// Whether it was at least complete.
        is_whole: bool,
        /// The request.
        request: SmolStr,
    },
}

impl Display for Violation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        match self {
            Self::AboveLimit {
                at_us,
                limit,
                running,
                team,
            } => write!(
                formatter,
                "team {team} has {running} running with limit {limit} at {at_us} us"
            ),
            Self::CapacityExceeded { at_us, task, worker } => {
                write!(
                    formatter,
                    "task {task} exceeds the capacity of {worker} at {at_us} us"
                )
            }
            Self::NotEndedOnce { cause, subject } => {
                write!(formatter, "{subject} did not end exactly once: {cause}")
            }
            Self::NotRunRan { request } => {
                write!(formatter, "request {request} ran and was answered not run")
            }
            Self::RanTwice { starts, subject } => {
                write!(
                    formatter,
                    "{subject} must run once and was started {starts} times"
                )
            }
            Self::TwoPlaces {
                at_us,
                subject,
                workers: [first, second],
            } => write!(formatter, "{subject} runs on {first} and {second} at {at_us} us"),
            Self::WorkAfterLeaving {
                after_us,
                task,
                worker,
            } => write!(
                formatter,
                "task {task} started {after_us} us after {worker} was leaving or drained"
            ),
            Self::WorkAfterWithdrawal { after_us, request } => write!(
                formatter,
                "request {request} was taken {after_us} us after its key was withdrawn"
            ),
            Self::WrongAnswer { is_whole, request } => {
                let what = if *is_whole {
                    "of another request"
                } else {
                    "incomplete"
                };
                write!(formatter, "the answer to request {request} is {what}")
            }
        }
    }
}
