//! Grants and returns of tokens.

use {
    crate::{Change, Ledger, LedgerError, Reply, changes::Changes},
    fuchsiatack_model::{SessionId, TeamName},
};

impl Ledger {
    /// Grants tokens up to what the team's limit leaves; none to a team without a limit.
    pub(crate) fn grant_tokens(
        &mut self,
        session: SessionId,
        team: TeamName,
        tokens: u32,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live(session)?;
        let limit = self.records.limit(&team).unwrap_or(0);
        let granted = self.tokens.grant(&team, session, tokens, limit);
        self.note_tokens(granted, session, &team, changes);
        Ok(Reply::Counted(granted))
    }

    /// Takes tokens out of a session's pool.
    pub(crate) fn return_tokens(
        &mut self,
        sequence: u64,
        session: SessionId,
        team: TeamName,
        tokens: u32,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let last = self.live(session)?.returns.entry(team.clone()).or_default();
        if sequence <= *last {
            return Ok(Reply::Counted(0));
        }
        *last = sequence;
        let returned = self.tokens.take(&team, session, tokens);
        self.note_tokens(returned, session, &team, changes);
        Ok(Reply::Counted(returned))
    }

    /// Tells a live session the size of its pool.
    pub(crate) fn send_tokens(&self, session: SessionId, team: &TeamName, changes: &mut Changes) {
        if self.is_live(session) {
            let change = Change::TokensSet {
                team: team.clone(),
                tokens: self.tokens.held(team, session),
            };
            changes.session(session, change);
        }
    }

    fn note_tokens(&mut self, count: u32, session: SessionId, team: &TeamName, changes: &mut Changes) {
        if count > 0 {
            self.revisions.tokens += 1;
            self.send_tokens(session, team, changes);
        }
    }
}
