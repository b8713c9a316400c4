//! Sessions and worker ownership.

use {
    crate::{
        Change, DaemonInfo, Ledger, LedgerError, Reply, WorkerEntry, changes::Changes, session::Session,
        worker::Worker,
    },
    fuchsiatack_model::{Epoch, LogIndex, SessionId, WorkerAnnouncement, WorkerName},
};

/// Workers that are known at once: three times the planned size of the cell.
const MAX_WORKERS: usize = 10_000;

impl Ledger {
    /// Makes a session the owner of a worker that has none.
    pub(crate) fn assign_worker(
        &mut self,
        index: LogIndex,
        session: SessionId,
        worker: WorkerName,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        let entry = &mut self.worker_mut(&worker)?.entry;
        if entry.owner.is_some() {
            return Err(stale(&worker));
        }
        let epoch = Epoch(index.0);
        entry.epoch = epoch;
        entry.fenced = false;
        entry.lost = false;
        entry.owner = Some(session);
        changes.all(Change::WorkerChanged(Box::new(entry.clone())));
        self.live(session)?.owned.insert(worker);
        self.revisions.fleet += 1;
        Ok(Reply::Assigned(epoch))
    }

    /// Ends a session and takes its workers away.
    pub(crate) fn end_session(
        &mut self,
        session: SessionId,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let state = self.live(session)?;
        state.ended = true;
        let owned = std::mem::take(&mut state.owned);
        changes.all(Change::DaemonLeft { session });
        for worker in &owned {
            self.disown(worker, changes);
        }
        self.journal.end_session(session);
        self.revisions.fleet += 1;
        self.revisions.tokens += 1;
        self.forget_if_counted(session);
        Ok(Reply::Applied)
    }

    /// Forgets an ended session whose workers are all fenced or lost: frees its tokens and
    /// gives back or ends its tasks.
    pub(crate) fn forget_if_counted(&mut self, session: SessionId) {
        let is_counted = self
            .sessions
            .get(&session)
            .is_some_and(|state| state.ended && state.counted.is_empty());
        if is_counted {
            self.sessions.remove(&session);
            self.tokens.remove_session(session);
            self.works.end_session(session);
            self.revisions.tokens += 1;
            self.revisions.work += 1;
            self.evict_ended_works();
        }
    }

    /// Opens a session and ends older ones of the same name.
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
        changes.all(Change::DaemonJoined { daemon, session });
        Reply::SessionOpened(session)
    }

    /// Creates or updates a worker.
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
            changes.all(Change::WorkerChanged(Box::new(entry.clone())));
            self.revisions.fleet += 1;
            self.revisions.work += 1;
        }
        Ok(Reply::Applied)
    }

    /// Takes a worker from its owner at the owner's wish.
    pub(crate) fn release_worker(
        &mut self,
        session: SessionId,
        worker: &WorkerName,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        if self.worker_mut(worker)?.entry.owner != Some(session) {
            return Err(stale(worker));
        }
        self.live(session)?.owned.remove(worker);
        self.disown(worker, changes);
        self.revisions.fleet += 1;
        Ok(Reply::Applied)
    }

    /// Returns a worker.
    pub(crate) fn worker_mut(&mut self, worker: &WorkerName) -> Result<&mut Worker, LedgerError> {
        self.workers.get_mut(worker).ok_or_else(|| LedgerError::NotFound {
            what: "worker".into(),
            name: worker.0.clone(),
        })
    }

    fn disown(&mut self, worker: &WorkerName, changes: &mut Changes) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.entry.fenced = false;
            worker.entry.owner = None;
            changes.all(Change::WorkerChanged(Box::new(worker.entry.clone())));
        }
    }
}

/// Error for a command under an ownership that is not the present one.
pub(crate) fn stale(worker: &WorkerName) -> LedgerError {
    LedgerError::StaleEpoch {
        worker: worker.0.clone(),
    }
}
