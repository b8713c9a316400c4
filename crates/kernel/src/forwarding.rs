//! Choice of a peer for a request that cannot start here.

use {
    crate::{Decision, Kernel, Submission, team::TeamKey},
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
        self.peer_for(key)
    }

    /// Sends waiting requests to peers with room. A request may have arrived before the first
    /// hint, at a daemon without workers, and would wait for ever otherwise.
    pub(crate) fn forward_waiting(&mut self, decisions: &mut Vec<Decision>) {
        let mut full: Vec<TeamKey> = Vec::new();
        for key in self.waiting_interactive() {
            let task = &self.tasks[key];
            let team = task.team;
            if !task.may_forward || task.started || task.gang.is_some() || full.contains(&team) {
                continue;
            }
            let id = task.id;
            match self.peer_for(team) {
                Some(daemon) => {
                    self.leave_lane(key);
                    self.forget(key);
                    decisions.push(Decision::Forward { daemon, task: id });
                }
                None => full.push(team),
            }
        }
    }

    fn peer_for(&mut self, key: TeamKey) -> Option<DaemonName> {
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
