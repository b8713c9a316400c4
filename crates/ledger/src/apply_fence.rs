//! Fencing and loss of workers, with the tokens and tasks of their former owners.

use {
    crate::{
        Change, Ledger, LedgerError, Reply, TeamCount, apply_sessions::stale, changes::Changes,
        worker::Worker,
    },
    fuchsiatack_model::{Epoch, SessionId, TeamName, WorkTask, WorkerName},
    std::collections::BTreeMap,
};

/// Lost workers that are known, so that workers which never return do not add up. About
/// 46 VMs fail a day, so a worker is known for some weeks.
const MAX_LOST_WORKERS: usize = 1_000;

impl Ledger {
    /// Notes that the owner fenced a worker, and moves the tokens and tasks that run there.
    ///
    /// A resend under the epoch that is already fenced changes nothing.
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
            _ => return Err(stale(name)),
        };
        if worker.entry.fenced {
            return Ok(Reply::Applied);
        }
        worker.entry.fenced = true;
        let former = worker.counted_for.replace(owner);
        let entry = Box::new(worker.entry.clone());
        self.move_tokens(name, former, owner, running, changes);
        changes.all(Change::WorkerChanged(entry));
        self.works.move_running(work_tasks, former, owner, changes);
        self.live(owner)?.counted.insert(name.clone());
        self.detach(name, former.filter(|former| *former != owner));
        self.revisions.fleet += 1;
        Ok(Reply::Applied)
    }

    /// Notes that nothing can run on a worker any more and takes it from its owner.
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
            _ => return Err(stale(name)),
        };
        worker.entry.fenced = false;
        worker.entry.lost = true;
        worker.entry.owner = None;
        let former = worker.counted_for.take();
        let entry = Box::new(worker.entry.clone());
        self.live(owner)?.owned.remove(name);
        self.send_detached(name, former, Vec::new(), changes);
        changes.all(Change::WorkerChanged(entry));
        self.detach(name, former);
        self.lost_workers.push_back((name.clone(), epoch));
        self.forget_lost_workers(changes);
        self.revisions.fleet += 1;
        self.revisions.work += 1;
        Ok(Reply::Applied)
    }

    fn detach(&mut self, worker: &WorkerName, former: Option<SessionId>) {
        let Some(former) = former else { return };
        if let Some(state) = self.sessions.get_mut(&former) {
            state.counted.remove(worker);
        }
        self.forget_if_counted(former);
    }

    fn forget_lost_workers(&mut self, changes: &mut Changes) {
        while self.lost_workers.len() > MAX_LOST_WORKERS
            && let Some((worker, epoch)) = self.lost_workers.pop_front()
        {
            let is_away = |known: &Worker| known.entry.lost && known.entry.epoch == epoch;
            if self.workers.get(&worker).is_some_and(is_away) {
                self.workers.remove(&worker);
                changes.all(Change::WorkerRemoved { worker });
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
        let mut moved = Vec::new();
        if former != owner {
            for (team, count) in sum_by_team(running) {
                let count = self.tokens.transfer(&team, former, owner, count);
                if count > 0 {
                    moved.push(TeamCount { count, team });
                }
            }
        }
        self.revisions.tokens += 1;
        self.send_detached(worker, Some(former), moved.clone(), changes);
        for TeamCount { team, .. } in moved {
            self.send_tokens(former, &team, changes);
            self.send_tokens(owner, &team, changes);
        }
    }

    fn send_detached(
        &self,
        worker: &WorkerName,
        former: Option<SessionId>,
        moved: Vec<TeamCount>,
        changes: &mut Changes,
    ) {
        if let Some(former) = former
            && self.is_live(former)
        {
            let worker = worker.clone();
            changes.session(
                former,
                Change::WorkerDetached {
                    moved_tokens: moved,
                    worker,
                },
            );
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
