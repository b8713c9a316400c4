//! Commands that grant and return tokens.

use {
    crate::{Change, Ledger, LedgerError, Reply, changes::Changes},
    fuchsiatack_model::{SessionId, TeamName},
};

impl Ledger {
    /// Grants tokens without exceeding the team's limit. A team without a limit gets none.
    pub(crate) fn grant_tokens(
        &mut self,
        session: SessionId,
        team: TeamName,
        tokens: u32,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        self.live_session(session)?;
        let limit = self.records.limit(&team).unwrap_or(0);
        let granted = self.tokens.grant(&team, session, tokens, limit);
        self.publish_tokens(granted, session, &team, changes);
        Ok(Reply::TokenCount(granted))
    }

    /// Removes tokens from a session's pool.
    pub(crate) fn return_tokens(
        &mut self,
        sequence: u64,
        session: SessionId,
        team: TeamName,
        tokens: u32,
        changes: &mut Changes,
    ) -> Result<Reply, LedgerError> {
        let last = self
            .live_session(session)?
            .last_return_sequences
            .entry(team.clone())
            .or_default();
        if sequence <= *last {
            return Ok(Reply::TokenCount(0));
        }
        *last = sequence;
        let returned = self.tokens.take(&team, session, tokens);
        self.publish_tokens(returned, session, &team, changes);
        Ok(Reply::TokenCount(returned))
    }

    /// Sends a live session the size of its pool.
    pub(crate) fn send_tokens(&self, session: SessionId, team: &TeamName, changes: &mut Changes) {
        if self.is_live(session) {
            let change = Change::TokensSet {
                team: team.clone(),
                tokens: self.tokens.held(team, session),
            };
            changes.send_to(session, change);
        }
    }

    fn publish_tokens(&mut self, count: u32, session: SessionId, team: &TeamName, changes: &mut Changes) {
        if count > 0 {
            self.revisions.tokens += 1;
            self.send_tokens(session, team, changes);
        }
    }
}
