//! Choice of a peer for a request that cannot start here.

use {
    crate::{Kernel, Submission},
    fuchsiatack_model::{DaemonName, Policy},
};

impl Kernel {
    /// Returns the peer that an interactive request is sent to, if it may be forwarded.
    pub(crate) fn forward_target(&mut self, submission: &Submission) -> Option<DaemonName> {
        let single = submission.tasks.len() == 1;
        if !submission.may_forward || !single || submission.class.policy != Policy::Interactive {
            return None;
        }
        let key = self.teams.key(&submission.team)?;
        let team = &self.teams[key];
        let oldest_us = self.now_us.saturating_sub(self.settings.peer_load_max_age_us);
        let limited = team.limited.then_some(&team.name);
        let chosen = self.peers.choose(oldest_us, limited, &mut self.random);
        match chosen {
            None if team.limited && team.tokens.usable() == 0 => {
                self.peers.with_tokens(oldest_us, &team.name)
            }
            chosen => chosen,
        }
    }
}
