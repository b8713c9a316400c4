//! Returns of tokens to the ledger. At most one return of a team is proposed at a time.

use {
    fuchsiatack_model::{LogIndex, TeamName},
    std::collections::HashMap,
};

/// A return that the ledger has applied at `index`.
pub(crate) struct AppliedReturn {
    pub(crate) index: LogIndex,
    pub(crate) team: TeamName,
    pub(crate) tokens: u32,
}

/// Open returns of each team, and the tokens that wait to be returned after them.
#[derive(Default)]
pub(crate) struct TokenReturns {
    /// Applied returns whose reduced pool the kernel has not received yet.
    applied: Vec<AppliedReturn>,
    applied_index: LogIndex,
    last_sequence: u64,
    pending: HashMap<TeamName, u32>,
}

impl TokenReturns {
    /// Returns the sequence number of the next proposal, by which the ledger recognises a resend.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Removes all returns. Used when the session that held the tokens has ended.
    pub(crate) fn clear(&mut self) {
        self.applied.clear();
        self.pending.clear();
    }

    /// Adds an applied return. It is finished once the directory has reached its index.
    pub(crate) fn add_applied(&mut self, applied: AppliedReturn) {
        self.applied.push(applied);
    }

    /// Sets the index up to which the kernel has received the changes of the directory.
    pub(crate) fn set_applied_index(&mut self, index: LogIndex) {
        self.applied_index = index;
    }

    /// Removes and returns the finished returns.
    pub(crate) fn take_finished(&mut self) -> Vec<AppliedReturn> {
        let applied_index = self.applied_index;
        self.applied
            .extract_if(.., |applied| applied.index <= applied_index)
            .collect()
    }

    /// Returns the number of tokens to propose now, or `None` if the team has an open proposal. The
    /// tokens then wait for the end of that proposal.
    pub(crate) fn begin(&mut self, team: &TeamName, tokens: u32) -> Option<u32> {
        match self.pending.get_mut(team) {
            Some(waiting) => {
                *waiting += tokens;
                None
            }
            None => {
                self.pending.insert(team.clone(), 0);
                Some(tokens)
            }
        }
    }

    /// Ends the open proposal of a team. Returns the number of tokens that waited for it and must be
    /// proposed now.
    pub(crate) fn end(&mut self, team: &TeamName) -> Option<u32> {
        match self.pending.get_mut(team) {
            Some(0) => {
                self.pending.remove(team);
                None
            }
            Some(waiting) => Some(std::mem::take(waiting)),
            None => None,
        }
    }
}
