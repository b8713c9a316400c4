//! Slots of each session under the assumption that all planned moves are complete.

use {
    crate::{Ledger, WorkerEntry, demand::Demand},
    fuchsiatack_model::{SessionId, WorkerName},
    std::collections::BTreeMap,
};

/// Slots of one session that may own workers.
pub(crate) struct SessionSlots<'a> {
    data_center: &'a str,
    /// Slots of the session's workers.
    pub(crate) owned_slots: u64,
    /// Slots that the session should own, in proportion to its weight.
    pub(crate) target_slots: u64,
    /// Relative size of the daemon, at least 1.
    weight: u64,
}

impl SessionSlots<'_> {
    /// Returns whether a worker with `slots` slots brings the session closer to its target.
    fn has_room(&self, slots: u64) -> bool {
        self.owned_slots + slots / 2 <= self.target_slots
    }
}

/// The fleet after all planned moves.
pub(crate) struct FleetView<'a> {
    pub(crate) sessions: BTreeMap<SessionId, SessionSlots<'a>>,
    /// Number of workers by data centre, rack and session.
    racks: BTreeMap<(&'a str, &'a str, SessionId), u32>,
}

impl<'a> FleetView<'a> {
    /// Creates the view. `planned` returns the session to which a worker is being moved, if any.
    pub(crate) fn new(
        ledger: &'a Ledger,
        demand: &Demand,
        planned: impl Fn(&WorkerName) -> Option<SessionId>,
    ) -> Self {
        let is_stopping = |session| demand.report(session).is_some_and(|report| report.stopping);
        let sessions = ledger
            .live_sessions()
            .filter(|(session, _)| !is_stopping(*session))
            .map(|(session, state)| {
                let state = SessionSlots {
                    data_center: state.daemon.data_center.as_str(),
                    owned_slots: 0,
                    target_slots: 0,
                    weight: u64::from(state.daemon.weight.max(1)),
                };
                (session, state)
            })
            .collect();
        let mut view = Self {
            sessions,
            racks: BTreeMap::new(),
        };
        let mut total = 0;
        for (name, worker) in &ledger.workers {
            if !worker.entry.lost {
                total += slots(&worker.entry);
            }
            if let Some(session) = planned(name).or(worker.entry.owner) {
                view.add_worker(session, &worker.entry);
            }
        }
        view.set_target_slots(total);
        view
    }

    /// Returns the session that should own a worker.
    ///
    /// Sessions below their target in the worker's data centre are preferred, then any session below
    /// its target, then all others. `local` allows only the first group. `last_choice` is chosen
    /// only if there is no other session.
    pub(crate) fn choose_owner(
        &self,
        entry: &WorkerEntry,
        last_choice: Option<SessionId>,
        local: bool,
    ) -> Option<SessionId> {
        let slots = slots(entry);
        let data_center = entry.announcement.data_center.as_str();
        let rank = |(session, state): &(&SessionId, &SessionSlots<'_>)| {
            let has_room = state.has_room(slots);
            let is_near = has_room && state.data_center == data_center;
            let in_rack = if is_near {
                self.workers_in_rack(entry, **session)
            } else {
                0
            };
            let load = (state.owned_slots + slots) * 1_000 / state.weight;
            (
                Some(**session) == last_choice,
                !is_near,
                !has_room,
                in_rack,
                load,
                **session,
            )
        };
        let is_allowed = |(session, state): &(&SessionId, &SessionSlots<'_>)| {
            !local
                || (Some(**session) != last_choice
                    && state.data_center == data_center
                    && state.has_room(slots))
        };
        self.sessions
            .iter()
            .filter(is_allowed)
            .min_by_key(rank)
            .map(|(session, _)| *session)
    }

    /// Adds a worker to the slots and racks of a session.
    pub(crate) fn add_worker(&mut self, session: SessionId, entry: &'a WorkerEntry) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.owned_slots += slots(entry);
            *self.racks.entry(rack_key(entry, session)).or_default() += 1;
        }
    }

    /// Moves a worker from one session to another in the view.
    pub(crate) fn move_worker(&mut self, from: SessionId, to: SessionId, entry: &'a WorkerEntry) {
        if let Some(state) = self.sessions.get_mut(&from) {
            state.owned_slots -= slots(entry);
        }
        if let Some(count) = self.racks.get_mut(&rack_key(entry, from)) {
            *count -= 1;
        }
        self.add_worker(to, entry);
    }

    /// Returns the sort key for moving a worker from `from` to `to`; the lowest key moves first.
    pub(crate) fn move_rank(&self, entry: &WorkerEntry, from: SessionId, to: SessionId) -> (bool, bool, u32) {
        let data_center = entry.announcement.data_center.as_str();
        let is_near = |session| {
            let state: Option<&SessionSlots<'_>> = self.sessions.get(&session);
            state.is_some_and(|state| state.data_center == data_center)
        };
        (!is_near(to), is_near(from), self.workers_in_rack(entry, to))
    }

    fn workers_in_rack(&self, entry: &WorkerEntry, session: SessionId) -> u32 {
        let key = rack_key(entry, session);
        self.racks.get(&key).copied().unwrap_or(0)
    }

    fn set_target_slots(&mut self, total: u64) {
        let weights: u64 = self.sessions.values().map(|state| state.weight).sum();
        for state in self.sessions.values_mut() {
            state.target_slots = total * state.weight / weights;
        }
    }
}

/// Returns the slots of a worker, at least 1, since every worker costs its owner renewals.
pub(crate) fn slots(entry: &WorkerEntry) -> u64 {
    u64::from(entry.announcement.capacity.slots.max(1))
}

fn rack_key(entry: &WorkerEntry, session: SessionId) -> (&str, &str, SessionId) {
    let announcement = &entry.announcement;
    (
        announcement.data_center.as_str(),
        announcement.rack.as_str(),
        session,
    )
}
