//! Returns of tokens, proposed one at a time for each team.

use {
    fuchsiatack_model::{LogIndex, TeamName},
    std::collections::HashMap,
};

/// A return that the ledger has applied.
pub(crate) struct AppliedReturn {
    pub(crate) index: LogIndex,
    pub(crate) team: TeamName,
    pub(crate) tokens: u32,
}

/// Tokens that wait to be returned while a proposal of the same team is open.
#[derive(Default)]
pub(crate) struct TokenReturns {
    /// Returns whose smaller pool the kernel has not seen yet.
    applied: Vec<AppliedReturn>,
    applied_index: LogIndex,
    last_sequence: u64,
    pending: HashMap<TeamName, u32>,
}

impl TokenReturns {
    /// Numbers a proposal, so that the ledger recognises a resend.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Forgets everything, since the session that held the tokens ended.
    pub(crate) fn clear(&mut self) {
        self.applied.clear();
        self.pending.clear();
    }

    /// Notes that a return was applied. It is over once its index is followed.
    pub(crate) fn add_applied(&mut self, applied: AppliedReturn) {
        self.applied.push(applied);
    }

    /// Notes up to where changes reached the kernel.
    pub(crate) fn set_applied_index(&mut self, index: LogIndex) {
        self.applied_index = index;
    }

    /// Takes the returns that are over.
    pub(crate) fn take_finished(&mut self) -> Vec<AppliedReturn> {
        let applied_index = self.applied_index;
        self.applied
            .extract_if(.., |applied| applied.index <= applied_index)
            .collect()
    }

    /// Returns how many tokens to propose now; they wait if a proposal is open.
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

    /// Notes that a proposal is over. Returns what waited for it, to be proposed now.
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
