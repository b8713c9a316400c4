//! Elections of a node.

use {
    crate::{Body, MemberId, MemberRole, Node, Payload, Role, Term},
    fuchsiatack_model::LogIndex,
    rand::RngExt,
    std::collections::BTreeSet,
};

impl Node {
    /// Adopts a higher term and refuses messages of lower ones. Returns whether to go on.
    pub(crate) fn check_term(&mut self, from: MemberId, body: &Body) -> bool {
        let term = body.term();
        let is_election = matches!(body, Body::PreVote { .. } | Body::Vote { .. });
        let is_transferred = matches!(
            body,
            Body::Vote {
                transferred: true,
                ..
            }
        );
        if is_election && !is_transferred && self.has_live_leader() {
            return false;
        }
        match body {
            Body::PreVote { .. } | Body::PreVoteReply { granted: true, .. } => true,
            _ if term > self.term => {
                self.become_follower(term, None);
                true
            }
            _ if term < self.term => {
                if body.is_from_leader() || is_election {
                    self.send(from, Body::Obsolete { term: self.term });
                }
                false
            }
            _ => true,
        }
    }

    /// Returns whether a leader was heard within the shortest election timeout, or may have been
    /// heard before this member restarted. Votes are refused
    /// then, so that a member that was cut off or removed cannot disturb a working leader.
    pub(crate) fn has_live_leader(&self) -> bool {
        let heard = |heard_ms: u64| self.now_ms < heard_ms + self.settings.election_minimum_ms;
        let is_quiet = self.quiet_until_ms.is_some_and(|until_ms| self.now_ms < until_ms);
        self.role == Role::Leader
            || is_quiet
            || (self.leader.is_some() && self.leader_heard_ms.is_some_and(heard))
    }

    /// Returns whether the member is a voter in the present list, or in the committed one while the
    /// present list is not committed. A leader that appended its own removal and stepped down may
    /// be the only member that can complete it.
    pub(crate) fn may_campaign(&self) -> bool {
        let own = self.settings.id;
        let was_voter = || {
            let committed = self.members_at(self.commit);
            committed
                .iter()
                .any(|member| member.id == own && member.role == MemberRole::Voter)
        };
        self.is_voter(own) || (self.members_index > self.commit && was_voter())
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeSet::from([self.settings.id]);
        self.reset_election();
        let body = Body::PreVote {
            last: self.log.last(),
            last_term: self.log.last_term(),
            term: self.term.next(),
        };
        self.send_to_voters(&body, false);
        self.count_votes();
    }

    pub(crate) fn start_election(&mut self, transferred: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.term = self.term.next();
        self.vote = Some(self.settings.id);
        self.hard_state_changed = true;
        self.vote_mark = self.mark;
        self.votes.clear();
        self.reset_election();
        let body = Body::Vote {
            last: self.log.last(),
            last_term: self.log.last_term(),
            term: self.term,
            transferred,
        };
        self.send_to_voters(&body, true);
    }

    pub(crate) fn count_votes(&mut self) {
        let votes = &self.votes;
        match self.role {
            _ if !self.is_quorum(|member| votes.contains(&member)) => {}
            Role::PreCandidate => self.start_election(false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_state_changed = true;
        }
        if self.role != Role::Follower {
            self.reset_election();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.confirmations.clear();
        self.confirmed.clear();
        self.progress.clear();
        self.votes.clear();
    }

    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.incoming = None;
        self.round_sent_ms.clear();
        self.transferring = false;
        self.progress.clear();
        self.update_progress();
        self.term_start = self.append_own(Payload::Command(Vec::new()));
        self.send_heartbeats();
    }

    pub(crate) fn follow(&mut self, leader: MemberId) {
        match self.role {
            Role::Follower => self.leader = Some(leader),
            // Two leaders in one term are excluded by the votes; the message is not from a member.
            Role::Leader => return,
            Role::Candidate | Role::PreCandidate => self.become_follower(self.term, Some(leader)),
        }
        self.leader_heard_ms = Some(self.now_ms);
        self.reset_election();
    }

    pub(crate) fn reset_election(&mut self) {
        let range = self.settings.election_minimum_ms..=self.settings.election_maximum_ms;
        self.election_due_ms = Some(self.now_ms + self.random.random_range(range));
    }

    pub(crate) fn handle_vote(&mut self, from: MemberId, last: LogIndex, last_term: Term) {
        let is_current = (last_term, last) >= (self.log.last_term(), self.log.last());
        let is_free = self.vote.is_none_or(|candidate| candidate == from);
        let granted = is_current && is_free;
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.hard_state_changed = true;
        }
        if granted {
            self.become_follower(self.term, None);
            self.reset_election();
        }
        let term = self.term;
        self.send_after_sync(from, Body::VoteReply { granted, term });
    }

    pub(crate) fn handle_pre_vote(&mut self, from: MemberId, last: LogIndex, last_term: Term, term: Term) {
        let is_current = (last_term, last) >= (self.log.last_term(), self.log.last());
        let granted = is_current && term > self.term;
        let term = if granted { term } else { self.term };
        self.send(from, Body::PreVoteReply { granted, term });
    }
}
