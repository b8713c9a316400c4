//! Returns of tokens, proposed one at a time for each team.

use {fuchsiatack_model::TeamName, std::collections::HashMap};

/// Tokens that wait to be returned while a proposal of the same team is open.
#[derive(Default)]
pub(crate) struct TokenReturns {
    open: HashMap<TeamName, u32>,
}

impl TokenReturns {
    /// Forgets everything, since the session that held the tokens ended.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }

    /// Returns how many tokens to propose now; they wait if a proposal is open.
    pub(crate) fn begin(&mut self, team: &TeamName, tokens: u32) -> Option<u32> {
        match self.open.get_mut(team) {
            Some(waiting) => {
                *waiting += tokens;
                None
            }
            None => {
                self.open.insert(team.clone(), 0);
                Some(tokens)
            }
        }
    }

    /// Notes that a proposal is over. Returns what waited for it, to be proposed now.
    pub(crate) fn end(&mut self, team: &TeamName) -> Option<u32> {
        match self.open.get_mut(team) {
            Some(0) => {
                self.open.remove(team);
                None
            }
            Some(waiting) => Some(std::mem::take(waiting)),
            None => None,
        }
    }
}
