//! Names, identifiers, resources, task outcomes and HTTP bodies that the other packages share.

mod announcement;
mod ids;
mod names;
mod outcome;
mod policy;
mod refusal;
mod resources;
mod running_task;
mod task_class;
mod work;
mod worker_messages;

pub use self::{
    announcement::{AnnounceResponse, WorkerAnnouncement},
    ids::{Epoch, LogIndex, SessionId, TaskId},
    names::{
        DaemonName, DataCenter, KeyName, QueueName, RackName, RequestId, TeamName, WorkName, WorkerName,
    },
    outcome::Outcome,
    policy::Policy,
    refusal::Refusal,
    resources::Resources,
    running_task::RunningTask,
    task_class::TaskClass,
    work::{TaskOutcome, WorkPhase, WorkSpec, WorkStatus, WorkTask},
    worker_messages::{EpochRequest, LeaseRequest, TaskCommand, WorkerReport},
};
