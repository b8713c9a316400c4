//! Commands for sessions and the ownership of workers.

use {
    crate::{
        Change, DaemonInfo, Ledger, LedgerError, Reply, WorkerEntry, changes::Changes, session::Session,
        worker::Worker,
    },
    fuchsiatack_model::{Epoch, LogIndex, SessionId, WorkerAnnouncement, WorkerName},
};

/// Largest number of workers: three times the planned size of a cell.
const MAX_WORKERS: usize = 10_000;

impl Ledger {
    /// Assigns a worker without an owner to a session.
    pub(crate) fn assign_worker(
        &mut self,
        index: LogIndex,
        session: SessionId,
        worker: WorkerName,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        let entry = &mut self.worker_mut(&worker)?.entry;
        if entry.owner.is_some() {
            return Err(stale_epoch(&worker));
        }
        let epoch = Epoch(index.0);
        entry.epoch = epoch;
        entry.fenced = false;
        entry.lost = false;
        entry.owner = Some(session);
        changes.broadcast(Change::WorkerChanged(Box::new(entry.clone())));
        self.live_session(session)?.owned_workers.insert(worker);
        self.revisions.fleet += 1;
        Ok(Reply::Assigned(epoch))
    }

    /// Ends a session and removes it as the owner of its workers.
    pub(crate) fn end_session(
        &mut self,
        session: SessionId,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let state = self.live_session(session)?;
        state.ended = true;
        let owned = std::mem::take(&mut state.owned_workers);
        changes.broadcast(Change::DaemonLeft { session });
        for worker in &owned {
            self.clear_owner(worker, changes);
        }
        self.journal.end_session(session);
        self.revisions.fleet += 1;
        self.revisions.tokens += 1;
        self.remove_ended_session(session);
        Ok(Reply::Applied)
    }

    /// Removes an ended session once all its workers are fenced by others or lost. Frees its tokens,
    /// and ends its tasks or makes them wait again.
    pub(crate) fn remove_ended_session(&mut self, session: SessionId) {
        let is_removable = self
            .sessions
            .get(&session)
            .is_some_and(|state| state.ended && state.counted_workers.is_empty());
        if is_removable {
            self.sessions.remove(&session);
            self.tokens.remove_session(session);
            self.works.end_session(session);
            self.revisions.tokens += 1;
            self.revisions.work += 1;
            self.evict_ended_works();
        }
    }

    /// Opens a session and ends older sessions of the same daemon name.
    pub(crate) fn open_session(
        &mut self,
        index: LogIndex,
        daemon: DaemonInfo,
        changes: &mut Changes,
    ) -> Reply {
        let older: Vec<SessionId> = self
            .live_sessions()
            .filter(|(_, state)| state.daemon.name == daemon.name)
            .map(|(session, _)| session)
            .collect();
        for session in older {
            let _ = self.end_session(session, changes);
        }
        let session = SessionId(index.0);
        self.sessions.insert(session, Session::new(daemon.clone()));
        self.revisions.fleet += 1;
        self.revisions.tokens += 1;
        changes.broadcast(Change::DaemonJoined { daemon, session });
        Reply::SessionOpened(session)
    }

    /// Creates a worker or updates its announcement.
    pub(crate) fn register_worker(
        &mut self,
        announcement: WorkerAnnouncement,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let name = announcement.name.clone();
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&name) {
            return Err(LedgerError::TooManyWorkers {
                limit: MAX_WORKERS as u32,
            });
        }
        let worker = self.workers.entry(name).or_insert_with(|| Worker {
            counted_for: None,
            entry: WorkerEntry {
                announcement: announcement.clone(),
                epoch: Epoch::default(),
                fenced: false,
                lost: true,
                owner: None,
            },
        });
        let entry = &mut worker.entry;
        if entry.lost || entry.announcement != announcement {
            entry.announcement = announcement;
            entry.lost = false;
            changes.broadcast(Change::WorkerChanged(Box::new(entry.clone())));
            self.revisions.fleet += 1;
            self.revisions.work += 1;
        }
        Ok(Reply::Applied)
    }

    /// Removes the owner of a worker at the owner's request.
    pub(crate) fn release_worker(
        &mut self,
        session: SessionId,
        worker: &WorkerName,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        if self.worker_mut(worker)?.entry.owner != Some(session) {
            return Err(stale_epoch(worker));
        }
        self.live_session(session)?.owned_workers.remove(worker);
        self.clear_owner(worker, changes);
        self.revisions.fleet += 1;
        Ok(Reply::Applied)
    }

    /// Returns a worker, or an error if it does not exist.
    pub(crate) fn worker_mut(&mut self, worker: &WorkerName) -> Result<&mut Worker, LedgerError> {
        self.workers.get_mut(worker).ok_or_else(|| LedgerError::NotFound {
            kind: "worker".into(),
            name: worker.0.clone(),
        })
    }

    fn clear_owner(&mut self, worker: &WorkerName, changes: &mut Changes) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.entry.fenced = false;
            worker.entry.owner = None;
            changes.broadcast(Change::WorkerChanged(Box::new(worker.entry.clone())));
        }
    }
}

/// Returns the error for a command whose epoch or owner is not the current one of the worker.
pub(crate) fn stale_epoch(worker: &WorkerName) -> LedgerError {
    LedgerError::StaleEpoch {
        worker: worker.0.clone(),
    }
}
