//! State of the store, replicated by applying the same commands on every member.

use {
    crate::{
        AddressedChange, Change, Command, LedgerError, LedgerStatus, Query, QueryReply, Reply, SessionStatus,
        TokenStatus, changes::Changes, journal_store::JournalStore, record_store::RecordStore,
        session::Session, token_pools::TokenPools, work_store::WorkStore, worker::Worker,
    },
    fuchsiatack_derives::{message, value},
    fuchsiatack_jobs::JobStore,
    fuchsiatack_model::{Epoch, LogIndex, Resources, SessionId, WorkerName},
    fuchsiatack_records::Kind,
    std::collections::{BTreeMap, VecDeque},
};

/// Result of applying one command.
#[value]
pub struct Applied {
    /// Changes to send to followers, in order.
    pub changes: Vec<AddressedChange>,
    /// Result returned to the proposer.
    pub reply: Reply,
}

/// Counters that are incremented when a part of the state changes, so that the allocator replans
/// only that part.
#[derive(Default)]
#[message]
pub(crate) struct Revisions {
    /// Revision of sessions, workers and their owners.
    pub(crate) fleet: u64,
    /// Revision of limits, shares and token pools.
    pub(crate) tokens: u64,
    /// Revision of waiting tasks and of the workers that may run them.
    pub(crate) work: u64,
}

/// Replicated state of the store. Encoded with postcard, it is the snapshot.
#[derive(Default)]
#[message]
pub struct Ledger {
    /// Log index of the last applied command.
    pub(crate) applied: LogIndex,
    pub(crate) jobs: JobStore,
    pub(crate) journal: JournalStore,
    /// Lost workers with their epoch, oldest loss first. Entries of workers that returned since are
    /// skipped.
    pub(crate) lost_workers: VecDeque<(WorkerName, Epoch)>,
    pub(crate) records: RecordStore,
    pub(crate) revisions: Revisions,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) tokens: TokenPools,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) works: WorkStore,
}

impl Ledger {
    /// Applies the command with log index `index`. The index advances even if the command is refused.
    pub fn apply(&mut self, index: LogIndex, command: Command) -> Applied {
        let mut changes = Changes::default();
        self.applied = index;
        let result = self.dispatch(index, command, &mut changes);
        Applied {
            changes: changes.into_vec(),
            reply: result.unwrap_or_else(Reply::Refused),
        }
    }

    /// Returns the full directory for a new follower of `session`.
    ///
    /// The directory contains every live session, so a journalled start whose session is missing
    /// belongs to a session that has ended.
    pub fn directory(&self, session: SessionId) -> Vec<Change> {
        let daemons = self.live_sessions().map(|(session, state)| Change::DaemonJoined {
            daemon: state.daemon.clone(),
            session,
        });
        let records = self
            .records
            .all()
            .filter(|record| record.kind() != Kind::Work)
            .map(|record| Change::RecordWritten(Box::new(record.clone())));
        let workers = self
            .workers
            .values()
            .map(|worker| Change::WorkerChanged(Box::new(worker.entry.clone())));
        daemons
            .chain(records)
            .chain(workers)
            .chain(self.session_tokens(session))
            .chain(self.works.session_changes(session))
            .collect()
    }

    /// Returns the command that expires journal entries, or `None` if there is nothing to expire.
    /// `now_unix_ms` is the leader's clock in milliseconds since the Unix epoch.
    pub fn journal_expiry(&self, now_unix_ms: u64) -> Option<Command> {
        let before_unix_ms = self.journal.expiry(now_unix_ms)?;
        Some(Command::ExpireJournal { before_unix_ms })
    }

    /// Returns the state of jobs.
    pub fn jobs(&self) -> &JobStore {
        &self.jobs
    }

    /// Reads the state as of the last applied command.
    pub fn query(&self, query: &Query) -> QueryReply {
        match query {
            Query::Journal(key) => QueryReply::Journal(self.journal.get(key).cloned()),
            Query::Record { kind, name } => {
                QueryReply::Record(self.records.get(*kind, name).cloned().map(Box::new))
            }
            Query::Records(kind) => QueryReply::Records(self.records.of_kind(*kind).cloned().collect()),
            Query::Status => QueryReply::Status(Box::new(self.status())),
            Query::Work(work) => QueryReply::Work(self.work_status(work).map(Box::new)),
        }
    }

    /// Returns the sessions that have not ended, by id.
    pub(crate) fn live_sessions(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions
            .iter()
            .filter(|(_, session)| !session.ended)
            .map(|(id, session)| (*id, session))
    }

    /// Returns a session, or an error if it has ended.
    pub(crate) fn live_session(&mut self, session: SessionId) -> Result<&mut Session, LedgerError> {
        match self.sessions.get_mut(&session) {
            Some(state) if !state.ended => Ok(state),
            _ => Err(LedgerError::SessionEnded(session)),
        }
    }

    /// Returns whether a session has not ended.
    pub(crate) fn is_live(&self, session: SessionId) -> bool {
        self.sessions.get(&session).is_some_and(|state| !state.ended)
    }

    /// Returns the capacity of a worker, or `None` if the worker is lost, leaving or drained.
    pub(crate) fn usable_capacity(&self, worker: &WorkerName) -> Option<&Resources> {
        let entry = &self.workers.get(worker)?.entry;
        let is_drained = self.records.get(Kind::Drain, &worker.0).is_some();
        let is_usable = !entry.lost && !entry.announcement.leaving && !is_drained;
        is_usable.then_some(&entry.announcement.capacity)
    }

    fn dispatch(
        &mut self,
        index: LogIndex,
        command: Command,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        match command {
            Command::AssignTasks { session, tasks, work } => {
                self.assign_tasks(session, &work, &tasks, changes)
            }
            Command::AssignWorker { session, worker } => self.assign_worker(index, session, worker, changes),
            Command::EndSession { session, .. } => self.end_session(session, changes),
            Command::ExpireJournal { before_unix_ms } => {
                self.journal.expire(before_unix_ms);
                Ok(Reply::Applied)
            }
            Command::FinishTask {
                outcome,
                session,
                task,
            } => self.finish_task(outcome, session, &task),
            Command::GrantTokens {
                session,
                team,
                tokens,
            } => self.grant_tokens(session, team, tokens, changes),
            Command::Jobs(commands) => {
                commands.iter().for_each(|command| self.jobs.apply(command));
                Ok(Reply::Applied)
            }
            Command::JournalAbort {
                key,
                session,
                unix_ms,
            } => {
                self.live_session(session)?;
                Ok(self.journal.abort(&key, session, unix_ms))
            }
            Command::JournalFinish {
                response,
                key,
                session,
            } => {
                self.live_session(session)?;
                Ok(self.journal.finish(key, session, response))
            }
            Command::JournalStart {
                body_hash,
                key,
                session,
                unix_ms,
            } => {
                self.live_session(session)?;
                Ok(self.journal.start(key, session, body_hash, unix_ms))
            }
            Command::Noop => Ok(Reply::Applied),
            Command::OpenSession(daemon) => Ok(self.open_session(index, daemon, changes)),
            Command::RegisterWorker(announcement) => self.register_worker(announcement, changes),
            Command::ReleaseWorker { session, worker } => self.release_worker(session, &worker, changes),
            Command::ReturnTasks { session, tasks, work } => self.return_tasks(session, &work, &tasks),
            Command::ReturnTokens {
                sequence,
                session,
                team,
                tokens,
            } => self.return_tokens(sequence, session, team, tokens, changes),
            Command::WorkerFenced {
                epoch,
                running,
                worker,
                work_tasks,
            } => self.worker_fenced(epoch, &worker, &running, &work_tasks, changes),
            Command::WorkerLost { epoch, worker } => self.worker_lost(epoch, &worker, changes),
            Command::WriteRecord(write) => Ok(self.write_record(index, write, changes)),
        }
    }

    fn session_tokens(&self, session: SessionId) -> impl Iterator<Item = Change> {
        self.tokens.teams().filter_map(move |(team, pool)| {
            let tokens = pool.held(session);
            (tokens > 0).then(|| Change::TokensSet {
                team: team.clone(),
                tokens,
            })
        })
    }

    fn status(&self) -> LedgerStatus {
        let sessions = self.sessions.iter().map(|(session, state)| SessionStatus {
            daemon: state.daemon.clone(),
            ended: state.ended,
            session: *session,
        });
        let tokens = self.tokens.teams().flat_map(|(team, pool)| {
            pool.sessions().map(|(session, tokens)| TokenStatus {
                session,
                team: team.clone(),
                tokens,
            })
        });
        LedgerStatus {
            journal_entries: self.journal.len(),
            sessions: sessions.collect(),
            tokens: tokens.collect(),
            workers: self.workers.values().map(|worker| worker.entry.clone()).collect(),
        }
    }
}
