//! Commands of the replicated log.

use {
    crate::{DaemonInfo, JournalKey, StoredResponse},
    fuchsiatack_derives::{key, message},
    fuchsiatack_jobs::JobCommand,
    fuchsiatack_model::{
        Epoch, SessionId, TaskOutcome, TeamName, WorkName, WorkTask, WorkerAnnouncement, WorkerName,
    },
    fuchsiatack_records::{Kind, Record},
    smol_str::SmolStr,
};

/// Identifier of a write, chosen at random by its sender. A resend carries the same one.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct OperationId(pub u128);

/// Why a session ended.
#[key]
pub enum EndReason {
    /// The leader saw no renewal for a lease and its margin.
    Expired,
    /// The daemon stopped as planned.
    Stopped,
}

/// A number of tasks of one team.
#[message]
pub struct TeamCount {
    /// Number of tasks.
    pub count: u32,
    /// The team.
    pub team: TeamName,
}

/// What a record write does.
#[message]
pub enum RecordAction {
    /// Withdraws the record if its version is `version`.
    Delete {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
        /// Version that is withdrawn.
        version: u64,
    },
    /// Creates the record if its `version` is 0, else replaces that version.
    Put(Box<Record>),
}

/// A write of an operator or of a caller that submits work.
#[message]
pub struct RecordWrite {
    /// What to do.
    pub action: RecordAction,
    /// Who writes, shown to the loser of a race.
    pub author: SmolStr,
    /// Identifier for resends.
    pub operation: OperationId,
}

/// One entry of the replicated log. Variants are sorted by name.
#[message]
pub enum Command {
    /// Gives waiting tasks of a work to a session. Ignored for tasks that are not waiting.
    AssignTasks {
        /// Receiving session.
        session: SessionId,
        /// Task numbers.
        tasks: Vec<u32>,
        /// The work.
        work: WorkName,
    },
    /// Makes a session the owner of a worker that has none; refused as stale if it has one. The command's log index is the new epoch.
    AssignWorker {
        /// New owner.
        session: SessionId,
        /// The worker.
        worker: WorkerName,
    },
    /// Ends a session.
    EndSession {
        /// Why.
        reason: EndReason,
        /// The session.
        session: SessionId,
    },
    /// Removes journal entries that ended before a time.
    ExpireJournal {
        /// Milliseconds since the Unix epoch, by the leader's clock.
        before_unix_ms: u64,
    },
    /// Records the end of one task of a work. Refused as not found, with no effect, unless the
    /// session holds the task or relays its call; the sender need not try again.
    FinishTask {
        /// How it ended.
        outcome: TaskOutcome,
        /// Session that ran it.
        session: SessionId,
        /// The task.
        task: WorkTask,
    },
    /// Adds tokens to a session's pool, up to what the team's limit leaves.
    GrantTokens {
        /// Receiving session.
        session: SessionId,
        /// The team.
        team: TeamName,
        /// Tokens to add.
        tokens: u32,
    },
    /// Changes of the job state, in order.
    Jobs(Vec<JobCommand>),
    /// Withdraws a journalled start that never reached a worker.
    JournalAbort {
        /// The request.
        key: JournalKey,
        /// Session that started it.
        session: SessionId,
        /// Time of the start that is withdrawn. A later start of the same request stays.
        unix_ms: u64,
    },
    /// Stores the outcome of a journalled request.
    JournalFinish {
        /// Outcome and answer.
        response: StoredResponse,
        /// The request.
        key: JournalKey,
        /// Session that started it.
        session: SessionId,
    },
    /// Starts a non-idempotent request unless the journal knows it.
    ///
    /// A daemon that proposes a start twice gets `JournalKnown` with its own session and
    /// `unix_ms`. It must send at most one start of a key at a time, so that it can tell this
    /// from a second request. A start whose session is not in the directory at the reply's
    /// index has ended, and its outcome is unknown.
    JournalStart {
        /// Hash of the body, to detect another request under the same identifier.
        body_hash: u64,
        /// The request.
        key: JournalKey,
        /// Session that will run it.
        session: SessionId,
        /// Milliseconds since the Unix epoch, by the daemon's clock.
        unix_ms: u64,
    },
    /// Entry that a new leader appends; changes nothing.
    Noop,
    /// Opens a session for an entry daemon and ends older sessions of the same name.
    OpenSession(DaemonInfo),
    /// Creates or updates a worker from its announcement.
    RegisterWorker(WorkerAnnouncement),
    /// Gives a worker back as part of a planned hand-over.
    ReleaseWorker {
        /// Owner that releases it.
        session: SessionId,
        /// The worker.
        worker: WorkerName,
    },
    /// Gives back tasks that have not run, or idempotent ones that are known to be over.
    ReturnTasks {
        /// Session that held them.
        session: SessionId,
        /// Task numbers.
        tasks: Vec<u32>,
        /// The work.
        work: WorkName,
    },
    /// Takes tokens out of a session's pool.
    ReturnTokens {
        /// Number of the return among those of the session and team, from 1. One that is not
        /// higher than the last applied one is a resend and changes nothing.
        sequence: u64,
        /// Session that returns them.
        session: SessionId,
        /// The team.
        team: TeamName,
        /// Number of tokens.
        tokens: u32,
    },
    /// Reports that the owner fenced a worker and what it found running. A resend has no effect.
    WorkerFenced {
        /// Epoch that the worker accepted.
        epoch: Epoch,
        /// Running tasks of each team.
        running: Vec<TeamCount>,
        /// The worker.
        worker: WorkerName,
        /// Running tasks of queued works.
        work_tasks: Vec<WorkTask>,
    },
    /// Reports that the leases of a worker's tasks have certainly ended. The worker has no owner
    /// until it announces itself again and is assigned under a new epoch.
    WorkerLost {
        /// Epoch of the ownership under which it could not be reached.
        epoch: Epoch,
        /// The worker.
        worker: WorkerName,
    },
    /// Writes a record.
    WriteRecord(RecordWrite),
}
