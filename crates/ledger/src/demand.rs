//! Demand and free resources that the sessions report with their renewals.

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
    /// Returns the sum of running and waiting tasks.
    pub(crate) fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Last report of one session.
pub(crate) struct Report {
    /// Log index up to which the session had applied changes.
    pub(crate) applied: LogIndex,
    /// Sum of the free resources on the session's workers.
    pub(crate) free: Resources,
    /// Time of the last renewal, or of `add_session` before the first renewal.
    pub(crate) renewed_ms: u64,
    /// Whether the daemon is stopping.
    pub(crate) stopping: bool,
    teams: BTreeSet<TeamName>,
}

/// Last reports of all live sessions.
#[derive(Default)]
pub(crate) struct Demand {
    /// Incremented when the free resources or the usage of a session changes.
    pub(crate) capacity_revision: u64,
    /// Teams whose usage changed since the token planner last ran.
    pub(crate) changed_teams: BTreeSet<TeamName>,
    /// Incremented when a session is added, removed or changes whether it is stopping.
    pub(crate) revision: u64,
    reports: BTreeMap<SessionId, Report>,
    usage: BTreeMap<TeamName, BTreeMap<SessionId, Usage>>,
}

impl Demand {
    /// Removes a session with its usage.
    pub(crate) fn remove_session(&mut self, session: SessionId) {
        let Some(report) = self.reports.remove(&session) else {
            return;
        };
        for team in report.teams {
            self.set_usage(&team, session, Usage::default());
        }
        self.revision += 1;
    }

    /// Stores the report of a renewal.
    pub(crate) fn update(&mut self, now_ms: u64, renewal: &Renewal) {
        let teams: BTreeSet<TeamName> = renewal.usage.iter().map(|usage| usage.team.clone()).collect();
        self.add_session(renewal.session, now_ms);
        let Some(report) = self.reports.get_mut(&renewal.session) else {
            return;
        };
        report.applied = renewal.applied;
        if report.free != renewal.free {
            report.free = renewal.free;
            self.capacity_revision += 1;
        }
        report.renewed_ms = now_ms;
        if report.stopping != renewal.stopping {
            report.stopping = renewal.stopping;
            self.revision += 1;
        }
        let previous_teams = std::mem::replace(&mut report.teams, teams.clone());
        for team in previous_teams.difference(&teams) {
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

    /// Returns the last report of a session; `None` if the session is not known.
    pub(crate) fn report(&self, session: SessionId) -> Option<&Report> {
        self.reports.get(&session)
    }

    /// Returns all known sessions with their last report, by id.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = (SessionId, &Report)> {
        self.reports.iter().map(|(session, report)| (*session, report))
    }

    /// Adds a session unless it is known. It counts as renewed at `now_ms`.
    pub(crate) fn add_session(&mut self, session: SessionId, now_ms: u64) {
        if self.reports.contains_key(&session) {
            return;
        }
        let report = Report {
            applied: LogIndex::default(),
            free: Resources::NONE,
            renewed_ms: now_ms,
            stopping: false,
            teams: BTreeSet::new(),
        };
        self.reports.insert(session, report);
        self.revision += 1;
    }

    /// Returns the usage of a team by session, without sessions that have none.
    pub(crate) fn team(&self, team: &TeamName) -> Option<&BTreeMap<SessionId, Usage>> {
        self.usage.get(team)
    }

    /// Returns the usage of a team summed over all sessions.
    pub(crate) fn total(&self, team: &TeamName) -> Usage {
        let mut total = Usage::default();
        for usage in self.usage.get(team).into_iter().flat_map(BTreeMap::values) {
            total.running = total.running.saturating_add(usage.running);
            total.waiting = total.waiting.saturating_add(usage.waiting);
        }
        total
    }

    /// Returns the usage of a team at one session.
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
