//! Changes that followers receive.

use {
    crate::{DaemonInfo, TeamCount},
    fuchsiatack_derives::message,
    fuchsiatack_model::{Epoch, SessionId, TeamName, WorkName, WorkSpec, WorkerAnnouncement, WorkerName},
    fuchsiatack_records::{Kind, Record},
    smol_str::SmolStr,
};

/// Who receives a change.
#[derive(Copy, Eq)]
#[message]
pub enum Audience {
    /// Every follower.
    All,
    /// The follower of one session.
    Session(SessionId),
}

/// A change with its audience.
#[message]
pub struct AddressedChange {
    /// Who receives it.
    pub audience: Audience,
    /// The change.
    pub change: Change,
}

/// A worker as the cell knows it.
#[message]
pub struct WorkerEntry {
    /// Last announcement.
    pub announcement: WorkerAnnouncement,
    /// Epoch of the present assignment.
    pub epoch: Epoch,
    /// Whether the present owner has fenced it.
    pub fenced: bool,
    /// Whether it was reported lost and has not announced itself since. It gets no owner
    /// until `RegisterWorker` is applied again, with an unchanged announcement too.
    pub lost: bool,
    /// Present owner.
    pub owner: Option<SessionId>,
}

/// One change of the directory that followers keep. Variants are sorted by name.
#[message]
pub enum Change {
    /// A session was opened.
    DaemonJoined {
        /// The daemon.
        daemon: DaemonInfo,
        /// Its session.
        session: SessionId,
    },
    /// A session ended.
    DaemonLeft {
        /// The session.
        session: SessionId,
    },
    /// A record was withdrawn.
    RecordDeleted {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
    },
    /// A record was created or replaced. Records of kind `work` are not sent.
    RecordWritten(Box<Record>),
    /// Tasks of a work were given to this session.
    TasksAssigned {
        /// Whether a fenced worker of this session already runs the tasks. The session must
        /// not start them, waits for their end and reports it.
        running: bool,
        /// What the work asks for.
        spec: Box<WorkSpec>,
        /// Task numbers.
        tasks: Vec<u32>,
        /// The work.
        work: WorkName,
    },
    /// This session's pool of tokens of a team, as an absolute number.
    TokensSet {
        /// The team.
        team: TeamName,
        /// Tokens that the session holds.
        tokens: u32,
    },
    /// A work was cancelled; this session holds tasks of it.
    WorkCancelled {
        /// The work.
        work: WorkName,
    },
    /// A worker was registered, assigned, fenced or announced a change.
    WorkerChanged(Box<WorkerEntry>),
    /// A worker that this session released or lost was fenced by its new owner, or lost.
    ///
    /// `moved_tokens` says how many of this session's tokens went to the new owner with the tasks
    /// that were running. A `TokensSet` with the lower number comes with it.
    WorkerDetached {
        /// Tokens that moved.
        moved_tokens: Vec<TeamCount>,
        /// The worker.
        worker: WorkerName,
    },
    /// A worker that was lost long ago was removed from the directory.
    WorkerRemoved {
        /// The worker.
        worker: WorkerName,
    },
}
