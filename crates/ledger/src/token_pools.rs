//! Tokens of limited teams.

use {
    fuchsiatack_derives::message,
    fuchsiatack_model::{SessionId, TeamName},
    std::collections::BTreeMap,
};

/// Tokens of one team. Sessions without tokens are not listed.
#[derive(Default)]
#[message]
pub(crate) struct TeamPool {
    by_session: BTreeMap<SessionId, u32>,
    /// Number of the pool's last change among those of all pools.
    revision: u64,
    total: u32,
}

impl TeamPool {
    /// Returns the tokens of a session.
    pub(crate) fn held(&self, session: SessionId) -> u32 {
        self.by_session.get(&session).copied().unwrap_or(0)
    }

    /// Returns a number that differs after every change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the sessions with tokens, in order.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = (SessionId, u32)> + '_ {
        self.by_session
            .iter()
            .map(|(session, tokens)| (*session, *tokens))
    }

    /// Returns the sum over all sessions, ended ones included.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    fn set(&mut self, session: SessionId, tokens: u32) {
        self.total = self.total - self.held(session) + tokens;
        match tokens {
            0 => self.by_session.remove(&session),
            tokens => self.by_session.insert(session, tokens),
        };
    }
}

/// Tokens of all teams. Teams without tokens are not listed.
#[derive(Default)]
#[message]
pub(crate) struct TokenPools {
    by_team: BTreeMap<TeamName, TeamPool>,
    changes: u64,
}

impl TokenPools {
    /// Adds up to `tokens` without exceeding `limit` in total. Returns the number added.
    pub(crate) fn grant(&mut self, team: &TeamName, session: SessionId, tokens: u32, limit: u32) -> u32 {
        let granted = tokens.min(limit.saturating_sub(self.total(team)));
        self.set(team, session, self.held(team, session) + granted);
        granted
    }

    /// Returns the tokens that a session holds of a team.
    pub(crate) fn held(&self, team: &TeamName, session: SessionId) -> u32 {
        self.by_team.get(team).map_or(0, |pool| pool.held(session))
    }

    /// Moves up to `tokens` from one session to another. Returns the number moved.
    pub(crate) fn transfer(&mut self, team: &TeamName, from: SessionId, to: SessionId, tokens: u32) -> u32 {
        let moved = self.take(team, from, tokens);
        self.set(team, to, self.held(team, to) + moved);
        moved
    }

    /// Returns the pool of a team that has tokens.
    pub(crate) fn pool(&self, team: &TeamName) -> Option<&TeamPool> {
        self.by_team.get(team)
    }

    /// Returns the teams with tokens, in order.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamName, &TeamPool)> {
        self.by_team.iter()
    }

    /// Removes all tokens of a session.
    pub(crate) fn remove_session(&mut self, session: SessionId) {
        for pool in self.by_team.values_mut().filter(|pool| pool.held(session) > 0) {
            self.changes += 1;
            pool.revision = self.changes;
            pool.set(session, 0);
        }
        self.by_team.retain(|_, pool| pool.total > 0);
    }

    /// Takes up to `tokens` out of a session's pool. Returns the number taken.
    pub(crate) fn take(&mut self, team: &TeamName, session: SessionId, tokens: u32) -> u32 {
        let held = self.held(team, session);
        let taken = tokens.min(held);
        self.set(team, session, held - taken);
        taken
    }

    /// Returns the sum of a team's tokens over all sessions.
    pub(crate) fn total(&self, team: &TeamName) -> u32 {
        self.by_team.get(team).map_or(0, TeamPool::total)
    }

    fn set(&mut self, team: &TeamName, session: SessionId, tokens: u32) {
        if tokens == self.held(team, session) {
            return;
        }
        self.changes += 1;
        let pool = self.by_team.entry(team.clone()).or_default();
        pool.revision = self.changes;
        pool.set(session, tokens);
        if pool.total == 0 {
            self.by_team.remove(team);
        }
    }
}
