//! Commands for fenced and lost workers. They settle the tokens and tasks of the former owner.

use {
    crate::{
        Change, Ledger, LedgerError, Reply, TeamCount, apply_sessions::stale_epoch, changes::Changes,
        worker::Worker,
    },
    fuchsiatack_model::{Epoch, SessionId, TeamName, WorkTask, WorkerName},
    std::collections::BTreeMap,
};

/// Largest number of lost workers, so that workers that never return do not accumulate. About 46
/// VMs fail a day, so a lost worker is kept for some weeks.
const MAX_LOST_WORKERS: usize = 1_000;

impl Ledger {
    /// Marks a worker as fenced by its owner and moves the tokens and tasks that run there to the
    /// owner.
    ///
    /// A resend for an epoch that is already fenced changes nothing.
    pub(crate) fn worker_fenced(
        &mut self,
        epoch: Epoch,
        name: &WorkerName,
        running: &[TeamCount],
        work_tasks: &[WorkTask],
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let worker = self.worker_mut(name)?;
        let owner = match worker.entry.owner {
            Some(owner) if worker.entry.epoch == epoch => owner,
            _ => return Err(stale_epoch(name)),
        };
        if worker.entry.fenced {
            return Ok(Reply::Applied);
        }
        worker.entry.fenced = true;
        let former = worker.counted_for.replace(owner);
        let entry = Box::new(worker.entry.clone());
        self.move_tokens(name, former, owner, running, changes);
        changes.broadcast(Change::WorkerChanged(entry));
        self.works.move_running(work_tasks, former, owner, changes);
        self.live_session(owner)?.counted_workers.insert(name.clone());
        self.remove_counted_worker(name, former.filter(|former| *former != owner));
        self.revisions.fleet += 1;
        Ok(Reply::Applied)
    }

    /// Marks a worker as lost, so that no task can run on it, and removes its owner.
    ///
    /// A resend for a worker that is already lost changes nothing.
    pub(crate) fn worker_lost(
        &mut self,
        epoch: Epoch,
        name: &WorkerName,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let worker = self.worker_mut(name)?;
        let owner = match worker.entry.owner {
            Some(owner) if worker.entry.epoch == epoch => owner,
            None if worker.entry.epoch == epoch && worker.entry.lost => return Ok(Reply::Applied),
            _ => return Err(stale_epoch(name)),
        };
        worker.entry.fenced = false;
        worker.entry.lost = true;
        worker.entry.owner = None;
        let former = worker.counted_for.take();
        let entry = Box::new(worker.entry.clone());
        self.live_session(owner)?.owned_workers.remove(name);
        self.send_detached(name, former, Vec::new(), changes);
        changes.broadcast(Change::WorkerChanged(entry));
        self.remove_counted_worker(name, former);
        self.lost_workers.push_back((name.clone(), epoch));
        self.evict_lost_workers(changes);
        self.revisions.fleet += 1;
        self.revisions.work += 1;
        Ok(Reply::Applied)
    }

    fn remove_counted_worker(&mut self, worker: &WorkerName, former: Option<SessionId>) {
        let Some(former) = former else { return };
        if let Some(state) = self.sessions.get_mut(&former) {
            state.counted_workers.remove(worker);
        }
        self.remove_ended_session(former);
    }

    fn evict_lost_workers(&mut self, changes: &mut Changes) {
        while self.lost_workers.len() > MAX_LOST_WORKERS
            && let Some((worker, epoch)) = self.lost_workers.pop_front()
        {
            let is_still_lost = |known: &Worker| known.entry.lost && known.entry.epoch == epoch;
            if self.workers.get(&worker).is_some_and(is_still_lost) {
                self.workers.remove(&worker);
                changes.broadcast(Change::WorkerRemoved { worker });
            }
        }
    }

    fn move_tokens(
        &mut self,
        worker: &WorkerName,
        former: Option<SessionId>,
        owner: SessionId,
        running: &[TeamCount],
        changes: &mut Changes,
    ) {
        let Some(former) = former else { return };
        let mut moved_tokens = Vec::new();
        if former != owner {
            for (team, count) in sum_by_team(running) {
                let count = self.tokens.transfer(&team, former, owner, count);
                if count > 0 {
                    moved_tokens.push(TeamCount { count, team });
                }
            }
        }
        self.revisions.tokens += 1;
        self.send_detached(worker, Some(former), moved_tokens.clone(), changes);
        for TeamCount { team, .. } in moved_tokens {
            self.send_tokens(former, &team, changes);
            self.send_tokens(owner, &team, changes);
        }
    }

    fn send_detached(
        &self,
        worker: &WorkerName,
        former: Option<SessionId>,
        moved_tokens: Vec<TeamCount>,
        changes: &mut Changes,
    ) {
        if let Some(former) = former
            && self.is_live(former)
        {
            let worker = worker.clone();
            changes.send_to(former, Change::WorkerDetached { moved_tokens, worker });
        }
    }
}

fn sum_by_team(running: &[TeamCount]) -> BTreeMap<TeamName, u32> {
    let mut sums = BTreeMap::new();
    for TeamCount { count, team } in running {
        let sum: &mut u32 = sums.entry(team.clone()).or_default();
        *sum = sum.saturating_add(*count);
    }
    sums
}
