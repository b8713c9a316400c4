//! Leader election: pre-votes, votes and term changes.

use {
    crate::{Body, MemberId, MemberRole, Node, Payload, Role, Term},
    fuchsiatack_model::LogIndex,
    rand::RngExt,
    std::collections::BTreeSet,
};

impl Node {
    /// Adopts the message's term if it is higher than this member's. Returns whether the message is
    /// to be handled.
    ///
    /// Vote and pre-vote requests are not handled while a leader is alive, unless that leader
    /// requested the election. Messages of lower terms are not handled either. The term of a
    /// `PreVote` or its granted reply is neither compared nor adopted, because it is the term that
    /// the election would have.
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
                    self.send(from, Body::StaleTerm { term: self.term });
                }
                false
            }
            _ => true,
        }
    }

    /// Returns whether a leader sent a message within the shortest election timeout, or may have
    /// sent one before this member restarted. Vote requests are then ignored, so that a partitioned
    /// or removed member cannot depose a working leader.
    pub(crate) fn has_live_leader(&self) -> bool {
        let is_recent = |contact_ms: u64| self.now_ms < contact_ms + self.settings.election_minimum_ms;
        let ignores_votes = self
            .no_votes_until_ms
            .is_some_and(|until_ms| self.now_ms < until_ms);
        self.role == Role::Leader
            || ignores_votes
            || (self.leader.is_some() && self.leader_contact_ms.is_some_and(is_recent))
    }

    /// Returns whether this member may start an election: it is a voter in the current member list,
    /// or in the committed list while the current one is uncommitted. A leader that appended its
    /// own removal and stepped down may be the only member that can commit the removal.
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
        self.incoming_snapshot = None;
        self.round_sent_ms.clear();
        self.transferring = false;
        self.progress.clear();
        self.update_progress();
        for (member, progress) in &mut self.progress {
            progress.has_responded = self.votes.contains(member);
        }
        self.term_start = self.append_new_entry(Payload::Command(Vec::new()));
        self.send_heartbeats();
    }

    pub(crate) fn follow_leader(&mut self, leader: MemberId) {
        match self.role {
            Role::Follower => self.leader = Some(leader),
            // A term has at most one leader, so the message is not from a member of this cell.
            Role::Leader => return,
            Role::Candidate | Role::PreCandidate => self.become_follower(self.term, Some(leader)),
        }
        self.leader_contact_ms = Some(self.now_ms);
        self.reset_election();
    }

    pub(crate) fn reset_election(&mut self) {
        let range = self.settings.election_minimum_ms..=self.settings.election_maximum_ms;
        self.election_due_ms = Some(self.now_ms + self.random.random_range(range));
    }

    pub(crate) fn handle_vote(&mut self, from: MemberId, last: LogIndex, last_term: Term) {
        let is_up_to_date = (last_term, last) >= (self.log.last_term(), self.log.last());
        let can_vote = self.vote.is_none_or(|candidate| candidate == from);
        let granted = is_up_to_date && can_vote;
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
        let is_up_to_date = (last_term, last) >= (self.log.last_term(), self.log.last());
        let granted = is_up_to_date && term > self.term;
        let term = if granted { term } else { self.term };
        self.send(from, Body::PreVoteReply { granted, term });
    }
}
