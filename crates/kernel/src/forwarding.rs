//! Choice of a peer for a request that cannot start here.

use {
    crate::{Decision, Kernel, PeerLoad, Submission, task::TaskKey},
    fuchsiatack_model::{DaemonName, Policy},
};

/// Waiting requests that are looked at for one hint. It bounds the cost of a hint.
const CANDIDATES: usize = 32;

impl Kernel {
    /// Takes in a load hint and forwards waiting requests if the peer has room. It takes a
    /// part of the room only, since all peers see the same hint. The newest requests go,
    /// since those before them start here sooner.
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

    /// Sends a waiting request to a peer and forgets it.
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

    /// Returns the peer that an interactive request is sent to, if it may be forwarded.
    pub(crate) fn forward_target(&mut self, submission: &Submission) -> Option<DaemonName> {
        if !is_forwardable(submission) {
            return None;
        }
        let key = self.teams.key(&submission.team)?;
        let team = &self.teams[key];
        let oldest_us = self.now_us.saturating_sub(self.settings.peer_load_max_age_us);
        let limited = team.limited.then_some(&team.name);
        let chosen = self.peers.choose(oldest_us, limited, &mut self.random);
        match chosen {
            None if team.limited && team.tokens.usable() == 0 => {
                self.peers.choose_with_tokens(oldest_us, &team.name)
            }
            chosen => chosen,
        }
    }
}

/// Returns whether a submission is a caller's request that was not forwarded before.
pub(crate) fn is_forwardable(submission: &Submission) -> bool {
    let single = submission.tasks.len() == 1;
    submission.may_forward && single && submission.class.policy == Policy::Interactive
}
