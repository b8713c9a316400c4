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

/// Identifier of a record write, chosen at random by the writer. A resend has the same identifier.
#[derive(Default)]
#[key]
#[serde(transparent)]
pub struct OperationId(pub u128);

/// Reason for the end of a session.
#[key]
pub enum EndReason {
    /// The leader received no renewal for the lease and its margin.
    Expired,
    /// The daemon ended the session in a planned stop.
    Stopped,
}

/// Number of running tasks or tokens of one team.
#[message]
pub struct TeamCount {
    /// Number of tasks or tokens.
    pub count: u32,
    /// Team that they belong to.
    pub team: TeamName,
}

/// Action of a record write.
#[message]
pub enum RecordAction {
    /// Deletes the record if its version is `version`.
    Delete {
        /// Kind of the record.
        kind: Kind,
        /// Name of the record.
        name: SmolStr,
        /// Version that the writer has read.
        version: u64,
    },
    /// Creates the record if its `version` is 0; otherwise replaces that version.
    Put(Box<Record>),
}

/// Record write of an operator, or of a caller that submits work.
#[message]
pub struct RecordWrite {
    /// Creation, replacement or deletion.
    pub action: RecordAction,
    /// Name of the writer, reported to a writer whose write conflicts with this one.
    pub author: SmolStr,
    /// Identifier that detects resends.
    pub operation: OperationId,
}

/// One entry of the replicated log. Variants are sorted by name.
#[message]
pub enum Command {
    /// Assigns waiting tasks of a work to a session. Ignored for tasks that are not waiting.
    AssignTasks {
        /// Session that receives the tasks.
        session: SessionId,
        /// Numbers of the tasks.
        tasks: Vec<u32>,
        /// Name of the work.
        work: WorkName,
    },
    /// Assigns a worker without an owner to a session; refused as stale if the worker has an owner.
    /// The log index of the command becomes the worker's epoch.
    AssignWorker {
        /// New owner.
        session: SessionId,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Ends a session.
    EndSession {
        /// Reason for the end.
        reason: EndReason,
        /// Session to end.
        session: SessionId,
    },
    /// Removes journal entries that ended before a time.
    ExpireJournal {
        /// Milliseconds since the Unix epoch, by the leader's clock.
        before_unix_ms: u64,
    },
    /// Stores the end of one task of a work. Refused as not found, with no effect, unless the
    /// session holds the task or relays its call. The sender need not retry a refused command.
    FinishTask {
        /// Outcome of the task.
        outcome: TaskOutcome,
        /// Session that ran the task.
        session: SessionId,
        /// Work and number of the task.
        task: WorkTask,
    },
    /// Adds tokens to a session's pool without exceeding the team's limit in total.
    GrantTokens {
        /// Session that receives the tokens.
        session: SessionId,
        /// Team that the tokens belong to.
        team: TeamName,
        /// Number of tokens to add.
        tokens: u32,
    },
    /// Commands of the job state, applied in order.
    Jobs(Vec<JobCommand>),
    /// Removes the journalled start of a request that never reached a worker.
    JournalAbort {
        /// Key of the request.
        key: JournalKey,
        /// Session that started the request.
        session: SessionId,
        /// Time of the start to remove. A later start of the same request is kept.
        unix_ms: u64,
    },
    /// Stores the outcome of a journalled request.
    JournalFinish {
        /// Outcome and response of the request.
        response: StoredResponse,
        /// Key of the request.
        key: JournalKey,
        /// Session that started the request.
        session: SessionId,
    },
    /// Starts a non-idempotent request unless the journal has an entry for it.
    ///
    /// A daemon that proposes a start twice gets `JournalKnown` with its own session and
    /// `unix_ms`. It must have at most one start of a key in flight, so that it can distinguish
    /// this case from a second request. A start whose session is not in the directory at the
    /// reply's log index has ended, and its outcome is unknown.
    JournalStart {
        /// Hash of the body, which detects a different request under the same identifier.
        body_hash: u64,
        /// Key of the request.
        key: JournalKey,
        /// Session that will run the request.
        session: SessionId,
        /// Milliseconds since the Unix epoch, by the daemon's clock.
        unix_ms: u64,
    },
    /// Entry that a new leader appends; changes nothing.
    Noop,
    /// Opens a session for an entry daemon and ends older sessions of the same daemon name.
    OpenSession(DaemonInfo),
    /// Creates or updates a worker from its announcement.
    RegisterWorker(WorkerAnnouncement),
    /// Releases a worker as part of a planned hand-over.
    ReleaseWorker {
        /// Owner that releases the worker.
        session: SessionId,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Returns tasks that have not run, or idempotent tasks that are known to have ended.
    ReturnTasks {
        /// Session that holds the tasks.
        session: SessionId,
        /// Numbers of the tasks.
        tasks: Vec<u32>,
        /// Name of the work.
        work: WorkName,
    },
    /// Removes tokens from a session's pool.
    ReturnTokens {
        /// Sequence number of the return for this session and team, from 1. A command whose number
        /// is not higher than the last applied one is a resend and changes nothing.
        sequence: u64,
        /// Session that returns the tokens.
        session: SessionId,
        /// Team that the tokens belong to.
        team: TeamName,
        /// Number of tokens to remove.
        tokens: u32,
    },
    /// Reports that the owner fenced a worker, and the tasks that were running on it. A resend has
    /// no effect.
    WorkerFenced {
        /// Epoch that the worker accepted.
        epoch: Epoch,
        /// Number of running tasks of each team.
        running: Vec<TeamCount>,
        /// Name of the worker.
        worker: WorkerName,
        /// Running tasks that belong to queued works.
        work_tasks: Vec<WorkTask>,
    },
    /// Reports that the leases of all tasks on a worker have ended. The worker has no owner until
    /// it announces itself again and is assigned under a new epoch.
    WorkerLost {
        /// Epoch of the assignment under which the worker could not be reached.
        epoch: Epoch,
        /// Name of the worker.
        worker: WorkerName,
    },
    /// Creates, replaces or deletes a record.
    WriteRecord(RecordWrite),
}
