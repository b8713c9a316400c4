//! Changes of the state that followers receive.

use {
    crate::{DaemonInfo, TeamCount},
    fuchsiatack_derives::message,
    fuchsiatack_model::{Epoch, SessionId, TeamName, WorkName, WorkSpec, WorkerAnnouncement, WorkerName},
    fuchsiatack_records::{Kind, Record},
    smol_str::SmolStr,
};

/// Receivers of a change.
#[derive(Copy, Eq)]
#[message]
pub enum Audience {
    /// Every follower.
    All,
    /// The follower of one session.
    Session(SessionId),
}

/// A change with its receivers.
#[message]
pub struct AddressedChange {
    /// Receivers of the change.
    pub audience: Audience,
    /// Change to send.
    pub change: Change,
}

/// State of a worker in the cell.
#[message]
pub struct WorkerEntry {
    /// Last announcement of the worker.
    pub announcement: WorkerAnnouncement,
    /// Epoch of the last assignment.
    pub epoch: Epoch,
    /// Whether the current owner has fenced the worker.
    pub fenced: bool,
    /// Whether the worker was reported lost and has not been registered or assigned since. The
    /// allocator assigns it again only after a `RegisterWorker`, whose announcement may be unchanged.
    pub lost: bool,
    /// Current owner; `None` if the worker is not assigned.
    pub owner: Option<SessionId>,
}

/// One change of a follower's directory. Variants are sorted by name.
#[message]
pub enum Change {
    /// A session was opened.
    DaemonJoined {
        /// Daemon that opened the session.
        daemon: DaemonInfo,
        /// New session.
        session: SessionId,
    },
    /// A session ended.
    DaemonLeft {
        /// Ended session.
        session: SessionId,
    },
    /// A record was deleted.
    RecordDeleted {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
    },
    /// A record was created or replaced. Records of kind `work` are not sent.
    RecordWritten(Box<Record>),
    /// Tasks of a work were assigned to this session.
    TasksAssigned {
        /// Whether a fenced worker of this session already runs the tasks. The session must not
        /// start them; it waits for their end and reports it.
        running: bool,
        /// Specification of the work.
        spec: Box<WorkSpec>,
        /// Numbers of the assigned tasks.
        tasks: Vec<u32>,
        /// Name of the work.
        work: WorkName,
    },
    /// The size of this session's pool of tokens was set.
    TokensSet {
        /// Team that the tokens belong to.
        team: TeamName,
        /// Number of tokens that the session holds, as an absolute value.
        tokens: u32,
    },
    /// A work of which this session holds or relays tasks was cancelled.
    WorkCancelled {
        /// Name of the work.
        work: WorkName,
    },
    /// A worker was registered, assigned, released, fenced or lost, or its announcement changed.
    WorkerChanged(Box<WorkerEntry>),
    /// A worker whose running tasks counted for this session was lost, or was fenced by its owner.
    ///
    /// If the owner is another session, the tokens of the running tasks move to it. Each reduced
    /// pool of this session follows as a `TokensSet`.
    WorkerDetached {
        /// Number of tokens of each team that moved to the owner.
        moved_tokens: Vec<TeamCount>,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// A worker that was lost long ago was removed from the directory.
    WorkerRemoved {
        /// Name of the worker.
        worker: WorkerName,
    },
}
