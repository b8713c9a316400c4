//! What the sessions reported with their renewals.

use {
    crate::{Renewal, TeamUsage},
    fuchsiatack_model::{LogIndex, Resources, SessionId, TeamName},
    std::collections::{BTreeMap, BTreeSet},
};

/// Tasks of one team at one session.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) struct Usage {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
}

impl Usage {
    /// Returns running and waiting tasks together.
    pub(crate) fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Last report of one session.
pub(crate) struct Report {
    /// Index up to which the session had applied changes.
    pub(crate) applied: LogIndex,
    /// Free amounts.
    pub(crate) free: Resources,
    /// Last renewal, or the time at which the session was first seen.
    pub(crate) seen_ms: u64,
    /// Whether the daemon is stopping.
    pub(crate) stopping: bool,
    teams: BTreeSet<TeamName>,
}

/// Last reports of all live sessions.
#[derive(Default)]
pub(crate) struct Demand {
    /// Counts changes of free amounts and of use.
    pub(crate) capacity_revision: u64,
    /// Teams whose use changed since the token planner last looked.
    pub(crate) changed_teams: BTreeSet<TeamName>,
    /// Counts sessions that joined, left or began to stop.
    pub(crate) revision: u64,
    reports: BTreeMap<SessionId, Report>,
    usage: BTreeMap<TeamName, BTreeMap<SessionId, Usage>>,
}

impl Demand {
    /// Forgets a session.
    pub(crate) fn forget(&mut self, session: SessionId) {
        let Some(report) = self.reports.remove(&session) else {
            return;
        };
        for team in report.teams {
            self.set_usage(&team, session, Usage::default());
        }
        self.revision += 1;
    }

    /// Notes a renewal.
    pub(crate) fn note(&mut self, now_ms: u64, renewal: &Renewal) {
        let teams: BTreeSet<TeamName> = renewal.usage.iter().map(|usage| usage.team.clone()).collect();
        self.see(renewal.session, now_ms);
        let Some(report) = self.reports.get_mut(&renewal.session) else {
            return;
        };
        report.applied = renewal.applied;
        if report.free != renewal.free {
            report.free = renewal.free;
            self.capacity_revision += 1;
        }
        report.seen_ms = now_ms;
        if report.stopping != renewal.stopping {
            report.stopping = renewal.stopping;
            self.revision += 1;
        }
        let former = std::mem::replace(&mut report.teams, teams.clone());
        for team in former.difference(&teams) {
            self.set_usage(team, renewal.session, Usage::default());
        }
        for TeamUsage {
            running,
            team,
            waiting,
        } in &renewal.usage
        {
            let usage = Usage {
                running: *running,
                waiting: *waiting,
            };
            self.set_usage(team, renewal.session, usage);
        }
    }

    /// Returns the report of a session.
    pub(crate) fn report(&self, session: SessionId) -> Option<&Report> {
        self.reports.get(&session)
    }

    /// Returns the sessions with a report.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = (SessionId, &Report)> {
        self.reports.iter().map(|(session, report)| (*session, report))
    }

    /// Notes that a session exists. It counts as renewed at that time.
    pub(crate) fn see(&mut self, session: SessionId, now_ms: u64) {
        if self.reports.contains_key(&session) {
            return;
        }
        let report = Report {
            applied: LogIndex::default(),
            free: Resources::NONE,
            seen_ms: now_ms,
            stopping: false,
            teams: BTreeSet::new(),
        };
        self.reports.insert(session, report);
        self.revision += 1;
    }

    /// Returns the use of a team at each session that reported some.
    pub(crate) fn team(&self, team: &TeamName) -> Option<&BTreeMap<SessionId, Usage>> {
        self.usage.get(team)
    }

    /// Returns the use of a team over the fleet.
    pub(crate) fn total(&self, team: &TeamName) -> Usage {
        let mut total = Usage::default();
        for usage in self.usage.get(team).into_iter().flat_map(BTreeMap::values) {
            total.running = total.running.saturating_add(usage.running);
            total.waiting = total.waiting.saturating_add(usage.waiting);
        }
        total
    }

    /// Returns the use of a team at a session.
    pub(crate) fn usage(&self, team: &TeamName, session: SessionId) -> Usage {
        let sessions = self.usage.get(team);
        sessions
            .and_then(|sessions| sessions.get(&session))
            .copied()
            .unwrap_or_default()
    }

    fn set_usage(&mut self, team: &TeamName, session: SessionId, usage: Usage) {
        if usage == self.usage(team, session) {
            return;
        }
        let sessions = self.usage.entry(team.clone()).or_default();
        match usage == Usage::default() {
            false => sessions.insert(session, usage),
            true => sessions.remove(&session),
        };
        if sessions.is_empty() {
            self.usage.remove(team);
        }
        self.capacity_revision += 1;
        self.changed_teams.insert(team.clone());
    }
}
