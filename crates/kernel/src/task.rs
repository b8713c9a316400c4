//! One task.

use {
    crate::{team::TeamKey, waiting::LaneKey, worker::WorkerKey},
    fuchsiatack_model::{Policy, Resources, TaskId},
    slotmap::new_key_type,
};

new_key_type! {
    /// Address of a gang in its arena.
    pub(crate) struct GangKey;
    /// Address of a task in its arena.
    pub(crate) struct TaskKey;
}

/// Where a task is in its life.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// It no longer holds anything here, but the end of its call is still to be reported.
    /// `over` tells whether the attempt has certainly ended.
    Detached {
        /// Whether the attempt has certainly ended.
        ended: bool,
    },
    /// Its connection was lost; it holds its worker until a report omits it.
    ConnectionLost(WorkerKey),
    /// Started on a worker.
    Running(WorkerKey),
    /// In a lane, or a member of a gang whose first task is in a lane.
    Waiting(LaneKey),
}

impl Task {
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting(_))
    }

    /// Returns whether a worker's report tells the end of the task.
    pub(crate) fn ends_by_report(&self) -> bool {
        self.inherited || matches!(self.stage, Stage::ConnectionLost(_))
    }
}

/// Tasks that start together.
pub(crate) struct Gang {
    /// Reservations that expired.
    pub(crate) attempts: u32,
    pub(crate) members: Vec<TaskKey>,
    /// Whether it has had or awaits its turn to reserve room.
    pub(crate) queued: bool,
}

impl Gang {
    pub(crate) fn new(members: Vec<TaskKey>) -> Self {
        Self {
            attempts: 0,
            members,
            queued: false,
        }
    }
}

/// A task that waits, runs or is still to be accounted for.
pub(crate) struct Task {
    pub(crate) deadline_us: Option<u64>,
    pub(crate) demand: Resources,
    pub(crate) gang: Option<GangKey>,
    pub(crate) id: TaskId,
    pub(crate) idempotent: bool,
    /// Started by a former owner of the worker.
    pub(crate) inherited: bool,
    pub(crate) policy: Policy,
    /// Order of arrival.
    pub(crate) sequence: u64,
    pub(crate) stage: Stage,
    /// Whether a worker may have started it before.
    pub(crate) started: bool,
    /// `Stop` was decided because its place is needed.
    pub(crate) preempted: bool,
    pub(crate) cancelled: bool,
    pub(crate) started_us: u64,
    pub(crate) submitted_us: u64,
    pub(crate) team: TeamKey,
}
