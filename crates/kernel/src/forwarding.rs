//! Forwarding of requests that cannot start at this daemon to its peers.

use {
    crate::{Decision, Kernel, PeerLoad, Submission, task::TaskKey},
    fuchsiatack_model::{DaemonName, Policy},
};

/// Maximum number of waiting requests that are examined for one hint, which bounds its cost.
const CANDIDATES: usize = 32;

impl Kernel {
    /// Handles a load hint and forwards waiting requests to the peer if it has free slots. It uses
    /// only a part of the slots, since all peers receive the same hint. The newest requests are
    /// forwarded, since older ones start here sooner.
    pub(crate) fn peer_load_received(&mut self, load: PeerLoad, decisions: &mut Vec<Decision>) {
        let daemon = load.daemon.clone();
        let others = self.peers.count_without(&daemon) + 1;
        let part = (load.free_slots as usize).div_ceil(others);
        let candidates: Vec<TaskKey> = self
            .forwardable
            .iter()
            .rev()
            .take(CANDIDATES)
            .map(|(_, key)| *key)
            .filter(|key| {
                let team = &self.teams[self.tasks[*key].team];
                !team.limited || load.token_teams.contains(&team.name)
            })
            .take(part)
            .collect();
        let taken = candidates.len() as u32;
        self.peers.update(
            self.now_us,
            PeerLoad {
                free_slots: load.free_slots - taken,
                ..load
            },
        );
        for key in candidates {
            self.forward_waiting(key, daemon.clone(), decisions);
        }
    }

    /// Forwards a waiting request to a peer and removes it here.
    pub(crate) fn forward_waiting(
        &mut self,
        key: TaskKey,
        daemon: DaemonName,
        decisions: &mut Vec<Decision>,
    ) {
        let task = self.tasks[key].id;
        self.leave_lane(key);
        self.remove_task(key);
        decisions.push(Decision::Forward { daemon, task });
    }

    /// Returns the peer to which a new request is forwarded, if it may be. For a team that holds no
    /// tokens here, a peer with tokens is chosen even if it has no free slot.
    pub(crate) fn forward_target(&mut self, submission: &Submission) -> Option<DaemonName> {
        if !is_forwardable(submission) {
            return None;
        }
        let key = self.teams.key(&submission.team)?;
        let team = &self.teams[key];
        let oldest_us = self.now_us.saturating_sub(self.settings.peer_load_max_age_us);
        let limited_team = team.limited.then_some(&team.name);
        let chosen = self.peers.choose(oldest_us, limited_team, &mut self.random);
        match chosen {
            None if team.limited && team.tokens.usable() == 0 => {
                self.peers.choose_with_tokens(oldest_us, &team.name)
            }
            chosen => chosen,
        }
    }
}

/// Returns whether a submission is a single interactive request that was not forwarded before.
pub(crate) fn is_forwardable(submission: &Submission) -> bool {
    let single = submission.tasks.len() == 1;
    submission.may_forward && single && submission.class.policy == Policy::Interactive
}
