//! Names, identifiers, resources and outcomes that all packages share.

mod announcement;
mod class;
mod ids;
mod names;
mod outcome;
mod policy;
mod refusal;
mod resources;
mod run_report;
mod running_task;
mod work;

pub use self::{
    announcement::{AnnounceReply, WorkerAnnouncement},
    class::TaskClass,
    ids::{Epoch, LogIndex, SessionId, TaskId},
    names::{
        DaemonName, DataCenter, KeyName, QueueName, RackName, RequestId, TeamName, WorkName, WorkerName,
    },
    outcome::Outcome,
    policy::Policy,
    refusal::Refusal,
    resources::Resources,
    run_report::{EpochRequest, LeaseRequest, TaskCommand, WorkerReport},
    running_task::RunningTask,
    work::{TaskOutcome, WorkPhase, WorkSpec, WorkStatus, WorkTask},
};
