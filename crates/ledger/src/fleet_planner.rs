//! Distribution of workers over sessions.

use {
    crate::{
        Command, Ledger, WorkerEntry,
        demand::Demand,
        fleet_view::{FleetView, slots},
    },
    fuchsiatack_model::{SessionId, WorkerName},
    std::collections::BTreeMap,
};

/// Assignments in one plan, so that a cell that starts does not fill the log at once.
const MAX_ASSIGNMENTS: usize = 256;

/// Moves that are begun in one second.
const MAX_MOVES: usize = 4;

/// Time between two rounds of moves.
const MOVE_INTERVAL_MS: u64 = 1_000;

/// Time after which an assignment that was not applied is proposed again.
const RETRY_MS: u64 = 1_000;

/// Part of a session's slots that it may differ from its part without moves: one eighth.
const TOLERANCE_DIVISOR: u64 = 8;

/// A worker on its way to a session.
struct Move {
    /// Owner that should release it; `None` if it has no owner.
    from: Option<SessionId>,
    to: SessionId,
    /// Time at which the move is given up.
    until_ms: u64,
}

/// Plans assignments and moves of workers.
pub(crate) struct FleetPlanner {
    /// Time a worker may take to be released: its calls go on, so only the proposal counts.
    move_ms: u64,
    moves: BTreeMap<WorkerName, Move>,
    next_moves_ms: u64,
    /// Time at which the plan is made again even if nothing changed.
    recheck_ms: Option<u64>,
    seen: Option<(u64, u64)>,
}

impl FleetPlanner {
    /// Creates a planner that gives a move up after `move_ms`.
    pub(crate) fn new(move_ms: u64) -> Self {
        Self {
            move_ms,
            moves: BTreeMap::new(),
            next_moves_ms: 0,
            recheck_ms: None,
            seen: None,
        }
    }

    /// Adds assignments of workers without an owner, and plans moves if there are none.
    pub(crate) fn plan(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand, out: &mut Vec<Command>) {
        let seen = Some((ledger.revisions.fleet, demand.revision));
        let is_due = self.recheck_ms.is_some_and(|recheck_ms| now_ms >= recheck_ms);
        if self.seen == seen && !is_due {
            return;
        }
        self.seen = seen;
        self.recheck_ms = None;
        self.forget_moves(now_ms, ledger, demand);
        let moves = &self.moves;
        let mut view = FleetView::new(ledger, demand, |worker| {
            moves.get(worker).map(|planned| planned.to)
        });
        if view.members.is_empty() {
            return;
        }
        let is_complete = self.assign(now_ms, ledger, &mut view, out);
        if is_complete && now_ms >= self.next_moves_ms {
            self.balance(now_ms, ledger, &mut view);
        }
        self.schedule(now_ms, is_complete);
    }

    /// Returns the workers that a session should release.
    pub(crate) fn releases(&self, session: SessionId, ledger: &Ledger) -> Vec<WorkerName> {
        let is_owner = |worker: &WorkerName| {
            let worker = ledger.workers.get(worker);
            worker.is_some_and(|worker| worker.entry.owner == Some(session))
        };
        self.moves
            .iter()
            .filter(|(worker, planned)| planned.from == Some(session) && is_owner(worker))
            .map(|(worker, _)| worker.clone())
            .collect()
    }

    /// Assigns workers without an owner. Returns whether all of them were.
    fn assign<'a>(
        &mut self,
        now_ms: u64,
        ledger: &'a Ledger,
        view: &mut FleetView<'a>,
        out: &mut Vec<Command>,
    ) -> bool {
        let mut count = 0;
        let mut remote = Vec::new();
        for (name, worker) in ledger.workers.iter().filter(|(_, worker)| worker.needs_owner()) {
            let former = worker.counted_for;
            let planned = self.moves.get(name).map(|planned| (planned.from, planned.to));
            match planned {
                Some((None, _)) => continue,
                Some((Some(_), to)) => self.propose(now_ms, name, to, out),
                None => match view.choose(&worker.entry, former, true) {
                    Some(session) => {
                        view.own(session, &worker.entry);
                        self.propose(now_ms, name, session, out);
                    }
                    None => {
                        remote.push((name, worker));
                        continue;
                    }
                },
            }
            count += 1;
            if count >= MAX_ASSIGNMENTS {
                return false;
            }
        }
        for (name, worker) in remote {
            if let Some(session) = view.choose(&worker.entry, worker.counted_for, false) {
                view.own(session, &worker.entry);
                self.propose(now_ms, name, session, out);
            }
            count += 1;
            if count >= MAX_ASSIGNMENTS {
                return false;
            }
        }
        true
    }

    /// Plans a few moves from the session furthest above its part to the one furthest below.
    fn balance<'a>(&mut self, now_ms: u64, ledger: &'a Ledger, view: &mut FleetView<'a>) {
        for _ in 0..MAX_MOVES {
            let Some((from, to)) = widest_gap(view) else {
                return;
            };
            let Some((name, entry)) = self.best_worker(ledger, view, from, to) else {
                return;
            };
            let (above, below) = (&view.members[&from], &view.members[&to]);
            let gap = (above.owned + below.part).saturating_sub(above.part + below.owned);
            if gap <= 2 * slots(entry) || gap <= below.part / TOLERANCE_DIVISOR {
                return;
            }
            view.shift(from, to, entry);
            let planned = Move {
                from: Some(from),
                to,
                until_ms: now_ms + self.move_ms,
            };
            self.moves.insert(name.clone(), planned);
            self.next_moves_ms = now_ms + MOVE_INTERVAL_MS;
        }
    }

    fn best_worker<'a>(
        &self,
        ledger: &'a Ledger,
        view: &FleetView<'_>,
        from: SessionId,
        to: SessionId,
    ) -> Option<(&'a WorkerName, &'a WorkerEntry)> {
        let owned = &ledger.sessions.get(&from)?.owned;
        owned
            .iter()
            .filter(|name| !self.moves.contains_key(*name))
            .filter_map(|name| Some((name, &ledger.workers.get(name)?.entry)))
            .filter(|(_, entry)| entry.fenced && !entry.announcement.leaving)
            .min_by_key(|(_, entry)| view.move_rank(entry, from, to))
    }

    /// Drops moves that were made, given up or have become impossible.
    fn forget_moves(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
        self.moves.retain(|worker, planned| {
            let owner = ledger.workers.get(worker).and_then(|worker| worker.entry.owner);
            let is_open = owner.is_none() || (planned.from.is_some() && owner == planned.from);
            let is_stopping = demand.report(planned.to).is_some_and(|report| report.stopping);
            is_open && now_ms < planned.until_ms && ledger.is_live(planned.to) && !is_stopping
        });
    }

    fn propose(&mut self, now_ms: u64, worker: &WorkerName, session: SessionId, out: &mut Vec<Command>) {
        let planned = Move {
            from: None,
            to: session,
            until_ms: now_ms + RETRY_MS,
        };
        self.moves.insert(worker.clone(), planned);
        out.push(Command::AssignWorker {
            session,
            worker: worker.clone(),
        });
    }

    fn schedule(&mut self, now_ms: u64, is_complete: bool) {
        let open = self.moves.values().map(|planned| planned.until_ms).min();
        let next_round = (self.next_moves_ms > now_ms).then_some(self.next_moves_ms);
        self.recheck_ms = match is_complete {
            false => Some(now_ms),
            true => open.into_iter().chain(next_round).min(),
        };
    }
}

/// Returns the sessions that are furthest above and furthest below their part.
fn widest_gap(view: &FleetView<'_>) -> Option<(SessionId, SessionId)> {
    let surplus = |member: &crate::fleet_view::Member<'_>| member.owned as i64 - member.part as i64;
    let above = view.members.iter().max_by_key(|(_, member)| surplus(member))?;
    let below = view.members.iter().min_by_key(|(_, member)| surplus(member))?;
    (above.0 != below.0).then_some((*above.0, *below.0))
}
