//! Distribution of workers over sessions. Workers without an owner are assigned first. After that,
//! a few workers at a time move from sessions with too many slots to sessions with too few.

use {
    crate::{
        Command, Ledger, WorkerEntry,
        demand::Demand,
        fleet_view::{FleetView, slots},
    },
    fuchsiatack_model::{SessionId, WorkerName},
    std::collections::BTreeMap,
};

/// Largest number of assignments in one plan, so that the start of a cell does not flood the log.
const MAX_ASSIGNMENTS_PER_PLAN: usize = 256;

/// Largest number of moves that one round of balancing starts.
const MAX_MOVES_PER_ROUND: usize = 4;

/// Shortest time between two rounds of balancing that start moves.
const BALANCE_INTERVAL_MS: u64 = 1_000;

/// Time after which an assignment is proposed again if it has not been applied.
const RETRY_MS: u64 = 1_000;

/// Workers move only if the gap between two sessions exceeds the receiving session's target slots
/// divided by this.
const TOLERANCE_DIVISOR: u64 = 8;

/// Planned move of a worker to a session.
struct Move {
    /// Owner that should release the worker; `None` once its assignment to `to` is proposed.
    from: Option<SessionId>,
    to: SessionId,
    /// Time at which the move is abandoned.
    until_ms: u64,
}

/// Plans assignments and moves of workers.
pub(crate) struct FleetPlanner {
    /// Longest time of a move, from its plan to the release. Running calls do not delay a release,
    /// so the time covers only the proposal.
    move_timeout_ms: u64,
    moves: BTreeMap<WorkerName, Move>,
    next_balance_ms: u64,
    /// Time of the next plan even if no revision changes.
    replan_ms: Option<u64>,
    /// Revisions of the fleet and of the demand at the last plan.
    seen_revisions: Option<(u64, u64)>,
}

impl FleetPlanner {
    /// Creates a planner that abandons a move after `move_timeout_ms`.
    pub(crate) fn new(move_timeout_ms: u64) -> Self {
        Self {
            move_timeout_ms,
            moves: BTreeMap::new(),
            next_balance_ms: 0,
            replan_ms: None,
            seen_revisions: None,
        }
    }

    /// Adds assignments of workers without an owner to `commands`. Plans moves unless the limit of
    /// assignments was reached.
    pub(crate) fn plan(
        &mut self,
        now_ms: u64,
        ledger: &Ledger,
        demand: &Demand,
        commands: &mut Vec<Command>,
    ) {
        let revisions = Some((ledger.revisions.fleet, demand.revision));
        let is_due = self.replan_ms.is_some_and(|replan_ms| now_ms >= replan_ms);
        if self.seen_revisions == revisions && !is_due {
            return;
        }
        self.seen_revisions = revisions;
        self.replan_ms = None;
        self.drop_ended_moves(now_ms, ledger, demand);
        let moves = &self.moves;
        let mut view = FleetView::new(ledger, demand, |worker| {
            moves.get(worker).map(|planned| planned.to)
        });
        if view.sessions.is_empty() {
            return;
        }
        let is_complete = self.assign(now_ms, ledger, &mut view, commands);
        if is_complete && now_ms >= self.next_balance_ms {
            self.balance(now_ms, ledger, &mut view);
        }
        self.schedule(now_ms, is_complete);
    }

    /// Returns the workers that a session should release.
    pub(crate) fn workers_to_release(&self, session: SessionId, ledger: &Ledger) -> Vec<WorkerName> {
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

    /// Assigns workers without an owner, first those that fit a session in their data centre.
    /// Returns false if the limit of assignments was reached.
    fn assign<'a>(
        &mut self,
        now_ms: u64,
        ledger: &'a Ledger,
        view: &mut FleetView<'a>,
        commands: &mut Vec<Command>,
    ) -> bool {
        let mut count = 0;
        let mut remote = Vec::new();
        for (name, worker) in ledger.workers.iter().filter(|(_, worker)| worker.needs_owner()) {
            let former = worker.counted_for;
            let planned = self.moves.get(name).map(|planned| (planned.from, planned.to));
            match planned {
                Some((None, _)) => continue,
                Some((Some(_), to)) => self.propose(now_ms, name, to, commands),
                None => match view.choose_owner(&worker.entry, former, true) {
                    Some(session) => {
                        view.add_worker(session, &worker.entry);
                        self.propose(now_ms, name, session, commands);
                    }
                    None => {
                        remote.push((name, worker));
                        continue;
                    }
                },
            }
            count += 1;
            if count >= MAX_ASSIGNMENTS_PER_PLAN {
                return false;
            }
        }
        for (name, worker) in remote {
            if let Some(session) = view.choose_owner(&worker.entry, worker.counted_for, false) {
                view.add_worker(session, &worker.entry);
                self.propose(now_ms, name, session, commands);
            }
            count += 1;
            if count >= MAX_ASSIGNMENTS_PER_PLAN {
                return false;
            }
        }
        true
    }

    /// Plans a few moves from the session with the largest surplus of slots to the one with the
    /// largest deficit.
    fn balance<'a>(&mut self, now_ms: u64, ledger: &'a Ledger, view: &mut FleetView<'a>) {
        for _ in 0..MAX_MOVES_PER_ROUND {
            let Some((from, to)) = widest_gap(view) else {
                return;
            };
            let Some((name, entry)) = self.best_worker(ledger, view, from, to) else {
                return;
            };
            let (above, below) = (&view.sessions[&from], &view.sessions[&to]);
            let gap = (above.owned_slots + below.target_slots)
                .saturating_sub(above.target_slots + below.owned_slots);
            if gap <= 2 * slots(entry) || gap <= below.target_slots / TOLERANCE_DIVISOR {
                return;
            }
            view.move_worker(from, to, entry);
            let planned = Move {
                from: Some(from),
                to,
                until_ms: now_ms + self.move_timeout_ms,
            };
            self.moves.insert(name.clone(), planned);
            self.next_balance_ms = now_ms + BALANCE_INTERVAL_MS;
        }
    }

    fn best_worker<'a>(
        &self,
        ledger: &'a Ledger,
        view: &FleetView<'_>,
        from: SessionId,
        to: SessionId,
    ) -> Option<(&'a WorkerName, &'a WorkerEntry)> {
        let owned = &ledger.sessions.get(&from)?.owned_workers;
        owned
            .iter()
            .filter(|name| !self.moves.contains_key(*name))
            .filter_map(|name| Some((name, &ledger.workers.get(name)?.entry)))
            .filter(|(_, entry)| entry.fenced && !entry.announcement.leaving)
            .min_by_key(|(_, entry)| view.move_rank(entry, from, to))
    }

    /// Drops moves that are complete, timed out or no longer possible.
    fn drop_ended_moves(&mut self, now_ms: u64, ledger: &Ledger, demand: &Demand) {
        self.moves.retain(|worker, planned| {
            let owner = ledger.workers.get(worker).and_then(|worker| worker.entry.owner);
            let is_open = owner.is_none() || (planned.from.is_some() && owner == planned.from);
            let is_stopping = demand.report(planned.to).is_some_and(|report| report.stopping);
            is_open && now_ms < planned.until_ms && ledger.is_live(planned.to) && !is_stopping
        });
    }

    fn propose(&mut self, now_ms: u64, worker: &WorkerName, session: SessionId, commands: &mut Vec<Command>) {
        let planned = Move {
            from: None,
            to: session,
            until_ms: now_ms + RETRY_MS,
        };
        self.moves.insert(worker.clone(), planned);
        commands.push(Command::AssignWorker {
            session,
            worker: worker.clone(),
        });
    }

    fn schedule(&mut self, now_ms: u64, is_complete: bool) {
        let open = self.moves.values().map(|planned| planned.until_ms).min();
        let next_round = (self.next_balance_ms > now_ms).then_some(self.next_balance_ms);
        self.replan_ms = match is_complete {
            false => Some(now_ms),
            true => open.into_iter().chain(next_round).min(),
        };
    }
}

/// Returns the sessions with the largest surplus and the largest deficit of slots.
fn widest_gap(view: &FleetView<'_>) -> Option<(SessionId, SessionId)> {
    let surplus =
        |state: &crate::fleet_view::SessionSlots<'_>| state.owned_slots as i64 - state.target_slots as i64;
    let above = view.sessions.iter().max_by_key(|(_, state)| surplus(state))?;
    let below = view.sessions.iter().min_by_key(|(_, state)| surplus(state))?;
    (above.0 != below.0).then_some((*above.0, *below.0))
}
