//! State of one task or gang.

use {
    crate::{team::TeamKey, waiting::LaneKey, worker::WorkerKey},
    fuchsiatack_model::{Policy, Resources, TaskId},
    slotmap::new_key_type,
};

new_key_type! {
    /// Key of a gang in its slot map.
    pub(crate) struct GangKey;
    /// Key of a task in its slot map.
    pub(crate) struct TaskKey;
}

/// Stage in the life of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Holds no resources or tokens here, but the call to its worker has not ended yet.
    Detached {
        /// Whether the attempt has certainly ended.
        ended: bool,
    },
    /// Lost the connection to its worker. It holds its resources until a report of the worker
    /// omits it.
    ConnectionLost(WorkerKey),
    /// Runs on a worker.
    Running(WorkerKey),
    /// Waits in a lane, or belongs to a gang whose first task does.
    Waiting(LaneKey),
}

impl Task {
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting(_))
    }

    /// Returns whether the task ends when a report of its worker omits it, since no call will
    /// report its end.
    pub(crate) fn ends_by_report(&self) -> bool {
        self.inherited || matches!(self.stage, Stage::ConnectionLost(_))
    }
}

/// Tasks that start all at once or not at all.
pub(crate) struct Gang {
    /// Number of reservations that expired before they were complete.
    pub(crate) attempts: u32,
    pub(crate) members: Vec<TaskKey>,
    /// Whether it waits for its turn to reserve resources, or has had a turn before.
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

/// A task that waits, runs, or whose call has not ended yet.
pub(crate) struct Task {
    pub(crate) deadline_us: Option<u64>,
    pub(crate) demand: Resources,
    pub(crate) gang: Option<GangKey>,
    pub(crate) id: TaskId,
    pub(crate) idempotent: bool,
    /// Whether a former owner of the worker started it.
    pub(crate) inherited: bool,
    pub(crate) policy: Policy,
    /// Number of its arrival, which orders the tasks of a lane.
    pub(crate) sequence: u64,
    pub(crate) stage: Stage,
    /// Whether a worker may have started it in an earlier attempt.
    pub(crate) started: bool,
    /// Whether it was stopped because its resources are needed for other work.
    pub(crate) preempted: bool,
    pub(crate) cancelled: bool,
    /// Time of the last start in microseconds, or of the arrival before the first start.
    pub(crate) started_us: u64,
    /// Time of arrival in microseconds, from which the start bound counts.
    pub(crate) submitted_us: u64,
    pub(crate) team: TeamKey,
}
