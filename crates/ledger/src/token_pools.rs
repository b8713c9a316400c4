//! Tokens of limited teams. Each token allows its session to run one task of the team.

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
    /// Value of `TokenPools::last_revision` at the last change of this pool.
    revision: u64,
    total: u32,
}

impl TeamPool {
    /// Returns the number of tokens that a session holds.
    pub(crate) fn held(&self, session: SessionId) -> u32 {
        self.by_session.get(&session).copied().unwrap_or(0)
    }

    /// Returns the revision of the pool, which is different after every change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the sessions that hold tokens, by id.
    pub(crate) fn sessions(&self) -> impl Iterator<Item = (SessionId, u32)> + '_ {
        self.by_session
            .iter()
            .map(|(session, tokens)| (*session, *tokens))
    }

    /// Returns the number of tokens of all sessions, including ended ones.
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
    /// Number of changes of all pools so far.
    last_revision: u64,
}

impl TokenPools {
    /// Adds up to `tokens` to a session's pool without raising the team's total above `limit`.
    /// Returns the number added.
    pub(crate) fn grant(&mut self, team: &TeamName, session: SessionId, tokens: u32, limit: u32) -> u32 {
        let granted = tokens.min(limit.saturating_sub(self.total(team)));
        self.set(team, session, self.held(team, session) + granted);
        granted
    }

    /// Returns the number of a team's tokens that a session holds.
    pub(crate) fn held(&self, team: &TeamName, session: SessionId) -> u32 {
        self.by_team.get(team).map_or(0, |pool| pool.held(session))
    }

    /// Moves up to `tokens` from one session to another. Returns the number moved.
    pub(crate) fn transfer(&mut self, team: &TeamName, from: SessionId, to: SessionId, tokens: u32) -> u32 {
        let moved = self.take(team, from, tokens);
        self.set(team, to, self.held(team, to) + moved);
        moved
    }

    /// Returns the pool of a team; `None` if the team has no tokens.
    pub(crate) fn pool(&self, team: &TeamName) -> Option<&TeamPool> {
        self.by_team.get(team)
    }

    /// Returns the teams that have tokens, by name.
    pub(crate) fn teams(&self) -> impl Iterator<Item = (&TeamName, &TeamPool)> {
        self.by_team.iter()
    }

    /// Removes the tokens of all teams from a session.
    pub(crate) fn remove_session(&mut self, session: SessionId) {
        for pool in self.by_team.values_mut().filter(|pool| pool.held(session) > 0) {
            self.last_revision += 1;
            pool.revision = self.last_revision;
            pool.set(session, 0);
        }
        self.by_team.retain(|_, pool| pool.total > 0);
    }

    /// Removes up to `tokens` from a session's pool. Returns the number removed.
    pub(crate) fn take(&mut self, team: &TeamName, session: SessionId, tokens: u32) -> u32 {
        let held = self.held(team, session);
        let taken = tokens.min(held);
        self.set(team, session, held - taken);
        taken
    }

    /// Returns the number of a team's tokens in all sessions.
    pub(crate) fn total(&self, team: &TeamName) -> u32 {
        self.by_team.get(team).map_or(0, TeamPool::total)
    }

    fn set(&mut self, team: &TeamName, session: SessionId, tokens: u32) {
        if tokens == self.held(team, session) {
            return;
        }
        self.last_revision += 1;
        let pool = self.by_team.entry(team.clone()).or_default();
        pool.revision = self.last_revision;
        pool.set(session, tokens);
        if pool.total == 0 {
            self.by_team.remove(team);
        }
    }
}
