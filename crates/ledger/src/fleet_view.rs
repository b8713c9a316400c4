//! Owned slots of each session, with planned moves counted as made.

use {
    crate::{Ledger, WorkerEntry, demand::Demand},
    fuchsiatack_model::{SessionId, WorkerName},
    std::collections::BTreeMap,
};

/// One session that may own workers.
pub(crate) struct Member<'a> {
    data_center: &'a str,
    /// Slots of its workers.
    pub(crate) owned: u64,
    /// Slots that are its part of the fleet.
    pub(crate) part: u64,
    weight: u64,
}

impl Member<'_> {
    /// Returns whether a worker brings it closer to its part.
    fn has_room(&self, slots: u64) -> bool {
        self.owned + slots / 2 <= self.part
    }
}

/// The fleet as it will be once all planned moves are made.
pub(crate) struct FleetView<'a> {
    pub(crate) members: BTreeMap<SessionId, Member<'a>>,
    /// Workers of each session in each rack.
    racks: BTreeMap<(&'a str, &'a str, SessionId), u32>,
}

impl<'a> FleetView<'a> {
    /// Builds the view. `planned` returns the session to which a worker is on its way.
    pub(crate) fn new(
        ledger: &'a Ledger,
        demand: &Demand,
        planned: impl Fn(&WorkerName) -> Option<SessionId>,
    ) -> Self {
        let is_stopping = |session| demand.report(session).is_some_and(|report| report.stopping);
        let members = ledger
            .live_sessions()
            .filter(|(session, _)| !is_stopping(*session))
            .map(|(session, state)| {
                let member = Member {
                    data_center: state.daemon.data_center.as_str(),
                    owned: 0,
                    part: 0,
                    weight: u64::from(state.daemon.weight.max(1)),
                };
                (session, member)
            })
            .collect();
        let mut view = Self {
            members,
            racks: BTreeMap::new(),
        };
        let mut total = 0;
        for (name, worker) in &ledger.workers {
            if !worker.entry.lost {
                total += slots(&worker.entry);
            }
            if let Some(session) = planned(name).or(worker.entry.owner) {
                view.own(session, &worker.entry);
            }
        }
        view.set_parts(total);
        view
    }

    /// Returns the session that should own a worker.
    ///
    /// Sessions of the worker's data centre come first, then any below its part, then all.
    /// `local` allows only the first of these. `except` is taken only if there is no other.
    pub(crate) fn choose(
        &self,
        entry: &WorkerEntry,
        except: Option<SessionId>,
        local: bool,
    ) -> Option<SessionId> {
        let slots = slots(entry);
        let data_center = entry.announcement.data_center.as_str();
        let rank = |(session, member): &(&SessionId, &Member<'_>)| {
            let has_room = member.has_room(slots);
            let is_near = has_room && member.data_center == data_center;
            let in_rack = if is_near {
                self.in_rack(entry, **session)
            } else {
                0
            };
            let load = (member.owned + slots) * 1_000 / member.weight;
            (
                Some(**session) == except,
                !is_near,
                !has_room,
                in_rack,
                load,
                **session,
            )
        };
        let is_allowed = |(session, member): &(&SessionId, &Member<'_>)| {
            !local
                || (Some(**session) != except && member.data_center == data_center && member.has_room(slots))
        };
        self.members
            .iter()
            .filter(is_allowed)
            .min_by_key(rank)
            .map(|(session, _)| *session)
    }

    /// Counts a worker for a session.
    pub(crate) fn own(&mut self, session: SessionId, entry: &'a WorkerEntry) {
        if let Some(member) = self.members.get_mut(&session) {
            member.owned += slots(entry);
            *self.racks.entry(rack_key(entry, session)).or_default() += 1;
        }
    }

    /// Moves a worker from one session to another.
    pub(crate) fn shift(&mut self, from: SessionId, to: SessionId, entry: &'a WorkerEntry) {
        if let Some(member) = self.members.get_mut(&from) {
            member.owned -= slots(entry);
        }
        if let Some(count) = self.racks.get_mut(&rack_key(entry, from)) {
            *count -= 1;
        }
        self.own(to, entry);
    }

    /// Returns how well a worker of `from` suits `to`; the lowest value suits best.
    pub(crate) fn move_rank(&self, entry: &WorkerEntry, from: SessionId, to: SessionId) -> (bool, bool, u32) {
        let data_center = entry.announcement.data_center.as_str();
        let is_near = |session| {
            let member: Option<&Member<'_>> = self.members.get(&session);
            member.is_some_and(|member| member.data_center == data_center)
        };
        (!is_near(to), is_near(from), self.in_rack(entry, to))
    }

    fn in_rack(&self, entry: &WorkerEntry, session: SessionId) -> u32 {
        let key = rack_key(entry, session);
        self.racks.get(&key).copied().unwrap_or(0)
    }

    fn set_parts(&mut self, total: u64) {
        let weights: u64 = self.members.values().map(|member| member.weight).sum();
        for member in self.members.values_mut() {
            member.part = total * member.weight / weights;
        }
    }
}

/// Slots of a worker. One without slots counts as one, since it costs its owner renewals.
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
