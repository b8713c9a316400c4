//! One member of the replicated log.

use {
    crate::{
        Body, ChangeError, Envelope, HardState, Member, MemberChange, MemberId, NodeSettings, NotLeader,
        Payload, PersistMark, Ready, Snapshot, StoredState, Term, follower::Incoming, log::Log,
        progress::Progress,
    },
    fuchsiatack_derives::key,
    fuchsiatack_model::LogIndex,
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Entries that a learner may lack when it becomes a voter. Under load it never has all of them.
const CAUGHT_UP_ENTRIES: u64 = 256;

/// What a member does at present.
#[key]
pub enum Role {
    /// Asks for votes.
    Candidate,
    /// Follows a leader or waits for one.
    Follower,
    /// Leads its term.
    Leader,
    /// Asks whether an election could succeed.
    PreCandidate,
}

/// One member. It does no I/O: it takes messages and time, and returns work in `Ready`.
pub struct Node {
    pub(crate) after_sync: Vec<Envelope>,
    pub(crate) applied: LogIndex,
    pub(crate) commit: LogIndex,
    /// Leadership confirmations with the round that answers them.
    pub(crate) confirmations: VecDeque<(u64, u64)>,
    pub(crate) confirmed: Vec<u64>,
    pub(crate) election_due_ms: Option<u64>,
    pub(crate) hard_state_changed: bool,
    pub(crate) heartbeat_due_ms: u64,
    pub(crate) immediate: Vec<Envelope>,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) install_snapshot: bool,
    pub(crate) leader: Option<MemberId>,
    pub(crate) leader_heard_ms: Option<u64>,
    pub(crate) log: Log,
    pub(crate) mark: PersistMark,
    pub(crate) members: Vec<Member>,
    /// Index of the entry or snapshot that `members` comes from.
    pub(crate) members_index: LogIndex,
    pub(crate) now_ms: u64,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// A restarted member votes for nobody before this time, since it may have promised a leader
    /// its lease. Set by the first time it is told.
    pub(crate) quiet_until_ms: Option<u64>,
    pub(crate) random: StdRng,
    pub(crate) reset_log: bool,
    pub(crate) role: Role,
    pub(crate) round: u64,
    /// Heartbeat rounds that may still extend the leader's lease, with the time they were sent.
    pub(crate) round_sent_ms: VecDeque<(u64, u64)>,
    pub(crate) settings: NodeSettings,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) snapshot_changed: bool,
    /// Last index that is synced on this member.
    pub(crate) stable: LogIndex,
    pub(crate) term: Term,
    /// Index of the first entry of this member's own leadership.
    pub(crate) term_start: LogIndex,
    /// Whether this leader has asked another member to take over.
    pub(crate) transferring: bool,
    /// First index that no `Ready` has carried yet.
    pub(crate) unsaved: LogIndex,
    /// Marks that are not synced yet, with the last entry they cover.
    pub(crate) unsynced: VecDeque<(PersistMark, LogIndex, Term)>,
    pub(crate) vote: Option<MemberId>,
    /// Mark of the `Ready` that stores this candidate's own vote.
    pub(crate) vote_mark: PersistMark,
    pub(crate) votes: BTreeSet<MemberId>,
}

impl Node {
    /// Creates a member from what its disk holds. Everything in `stored` counts as synced.
    pub fn new(settings: NodeSettings, stored: StoredState) -> Self {
        let (start, start_term) = stored
            .snapshot
            .as_ref()
            .map_or((LogIndex(0), Term(0)), |snapshot| (snapshot.index, snapshot.term));
        let log = Log::new(start, start_term, stored.entries);
        let last = log.last();
        let mut node = Self {
            after_sync: Vec::new(),
            applied: start,
            commit: start,
            confirmations: VecDeque::new(),
            confirmed: Vec::new(),
            election_due_ms: None,
            hard_state_changed: false,
            heartbeat_due_ms: 0,
            immediate: Vec::new(),
            incoming: None,
            install_snapshot: false,
            leader: None,
            leader_heard_ms: None,
            log,
            mark: PersistMark(1),
            members: Vec::new(),
            members_index: LogIndex(0),
            now_ms: 0,
            progress: BTreeMap::new(),
            quiet_until_ms: (stored.hard_state.term == Term(0)).then_some(0),
            random: StdRng::seed_from_u64(settings.seed),
            reset_log: false,
            role: Role::Follower,
            round: 0,
            round_sent_ms: VecDeque::new(),
            settings,
            snapshot: stored.snapshot,
            snapshot_changed: false,
            stable: last,
            term: stored.hard_state.term,
            term_start: LogIndex(0),
            transferring: false,
            unsaved: LogIndex(last.0 + 1),
            unsynced: VecDeque::new(),
            vote: stored.hard_state.vote,
            vote_mark: PersistMark(0),
            votes: BTreeSet::new(),
        };
        node.reload_members();
        node
    }

    /// Last index that was handed out in `Ready::committed` or an installed snapshot.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Last index that is known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Replaces the log up to `up_to`, which must be applied, by the encoded state.
    pub fn compact(&mut self, up_to: LogIndex, snapshot: Vec<u8>) {
        let present = self.snapshot.as_ref().map(|present| present.index);
        let Some(term) = self.log.term_at(up_to) else {
            return;
        };
        if up_to > self.applied || Some(up_to) <= present {
            return;
        }
        let members = self.members_at(up_to);
        self.snapshot = Some(Arc::new(Snapshot {
            data: snapshot,
            index: up_to,
            members,
            term,
        }));
        self.snapshot_changed = true;
        let kept_after = self.log.start_of_tail(up_to, self.settings.trailing_bytes);
        self.log.compact(kept_after);
    }

    /// Asks for a confirmation that this member still leads. `Ready::confirmed` carries the token
    /// after a heartbeat round that begins later was answered by a quorum.
    pub fn confirm_leadership(&mut self, token: u64) -> Result<(), NotLeader> {
        self.require_leader()?;
        let in_flight = self.confirmations.front().is_some();
        self.confirmations.push_back((token, self.round + 1));
        if !in_flight {
            self.send_heartbeats();
        }
        Ok(())
    }

    /// Returns whether a follower answers and lacks few entries. Known on the leader only.
    pub fn is_caught_up(&self, member: MemberId) -> bool {
        let limit_ms = self.settings.election_maximum_ms;
        self.progress.get(&member).is_some_and(|progress| {
            progress.matching > LogIndex(0)
                && progress.matching.0 + CAUGHT_UP_ENTRIES >= self.commit.0
                && self.now_ms < progress.heard_ms + limit_ms
        })
    }

    /// Returns whether the member has a member list.
    pub fn is_formed(&self) -> bool {
        !self.members.is_empty()
    }

    /// Last index of the log, committed or not.
    pub fn last(&self) -> LogIndex {
        self.log.last()
    }

    /// Returns the leader of the present term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Last index that is synced on a follower. Known on the leader only.
    pub fn matching(&self, member: MemberId) -> Option<LogIndex> {
        self.progress.get(&member).map(|progress| progress.matching)
    }

    /// The member list in force, by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Notes that the `Ready` with this mark and all earlier ones are synced.
    pub fn persisted(&mut self, mark: PersistMark) {
        while let Some((first, last, term)) = self.unsynced.front().copied() {
            if first > mark {
                break;
            }
            self.unsynced.pop_front();
            // An entry of the same index and term implies the same log up to it.
            if self.log.term_at(last) == Some(term) {
                self.stable = self.stable.max(last);
            }
        }
        if self.role == Role::Candidate && mark >= self.vote_mark && self.votes.insert(self.settings.id) {
            self.count_votes();
        }
        self.advance_commit();
    }

    /// Appends a command if this member leads. An empty command is skipped by the state machine.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        self.require_leader()?;
        Ok(self.append_own(Payload::Command(command)))
    }

    /// Appends a change of the member list if this member leads.
    pub fn propose_members(&mut self, change: MemberChange) -> Result<LogIndex, ChangeError> {
        self.require_leader()?;
        if self.members_index > self.commit {
            return Err(ChangeError::InProgress);
        }
        // Without a committed entry of its own term the leader could miss a change of an earlier
        // leader, and two lists could have quorums that share no member.
        if self.commit < self.term_start {
            return Err(ChangeError::NotReady);
        }
        let members = self.changed_members(change)?;
        let index = self.append_own(Payload::Members(members.clone()));
        self.set_members(members, index);
        Ok(index)
    }

    /// Takes a message of another member.
    pub fn receive(&mut self, now_ms: u64, message: Envelope) {
        self.pass_time(now_ms);
        let Envelope { body, from, to } = message;
        if to != self.settings.id || from == to {
            return;
        }
        // A member without a member list has an empty disk and must not vote.
        if !self.is_formed() && !body.is_from_leader() {
            return;
        }
        if !self.check_term(from, &body) {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.heard_ms = self.now_ms;
        }
        if body.is_from_leader() {
            self.follow(from);
        }
        self.handle(from, body);
    }

    /// Returns whether this member leads and knows every committed entry of earlier leaders.
    pub fn is_settled_leader(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.term_start
    }

    /// Time up to which no other member can have become leader, in the time that `tick` is told.
    /// Known on the leader only.
    ///
    /// A quorum refuses votes for the shortest election timeout after it heard a heartbeat, so the
    /// lease counts from when a round that a quorum answered was sent.
    pub fn lease_until_ms(&self) -> Option<u64> {
        if !self.is_settled_leader() || self.transferring {
            return None;
        }
        let is_answered = |round: u64| {
            self.is_quorum(|member| {
                member == self.settings.id
                    || self
                        .progress
                        .get(&member)
                        .is_some_and(|progress| progress.acknowledged_round >= round)
            })
        };
        let answered = self
            .round_sent_ms
            .iter()
            .rev()
            .find(|(round, _)| is_answered(*round));
        answered.map(|(_, sent_ms)| sent_ms + self.settings.election_minimum_ms)
    }

    /// What this member does at present.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the pending work.
    pub fn take_ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_to_all();
        }
        let mark = self.mark;
        let install_snapshot = std::mem::take(&mut self.install_snapshot);
        let snapshot = std::mem::take(&mut self.snapshot_changed)
            .then(|| self.snapshot.clone())
            .flatten();
        let entries = self.log.range(self.unsaved, self.log.last()).to_vec();
        self.unsaved = LogIndex(self.log.last().0 + 1);
        let committed = self.log.range(LogIndex(self.applied.0 + 1), self.commit).to_vec();
        self.applied = self.commit;
        let ready = Ready {
            after_sync: std::mem::take(&mut self.after_sync),
            committed,
            confirmed: std::mem::take(&mut self.confirmed),
            entries,
            hard_state: std::mem::take(&mut self.hard_state_changed).then_some(HardState {
                term: self.term,
                vote: self.vote,
            }),
            immediate: std::mem::take(&mut self.immediate),
            install_snapshot,
            mark,
            reset_log: std::mem::take(&mut self.reset_log),
            snapshot,
        };
        self.mark = PersistMark(mark.0 + 1);
        if ready.needs_sync() {
            self.unsynced
                .push_back((mark, self.log.last(), self.log.last_term()));
        }
        ready
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Asks a voter that has the whole log to take over. It may be repeated until the role changes.
    pub fn transfer_leadership(&mut self) -> Result<(), NotLeader> {
        self.require_leader()?;
        self.transferring = true;
        let own = self.settings.id;
        let (last, term) = (self.log.last(), self.term);
        let successor = self
            .voters()
            .find(|voter| *voter != own && self.is_caught_up(*voter) && self.matching(*voter) == Some(last));
        if let Some(successor) = successor {
            self.send(successor, Body::Campaign { term });
        }
        Ok(())
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        self.pass_time(now_ms);
        match self.role {
            Role::Leader if !self.hears_quorum() => self.become_follower(self.term, None),
            Role::Leader if self.now_ms >= self.heartbeat_due_ms => self.send_heartbeats(),
            Role::Leader => {}
            _ => match self.election_due_ms {
                None => self.reset_election(),
                Some(due_ms) if self.now_ms >= due_ms && self.may_campaign() => {
                    self.start_pre_vote();
                }
                Some(_) => {}
            },
        }
    }

    fn pass_time(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let quiet_ms = self.settings.election_minimum_ms;
        self.quiet_until_ms.get_or_insert(self.now_ms + quiet_ms);
    }

    fn handle(&mut self, from: MemberId, body: Body) {
        match body {
            Body::Append {
                commit,
                entries,
                previous,
                previous_term,
                ..
            } if self.role == Role::Follower => {
                self.handle_append(from, previous, previous_term, entries, commit);
            }
            Body::Appended { matching, .. } if self.role == Role::Leader => {
                self.handle_appended(from, matching);
            }
            Body::Campaign { .. } if self.role == Role::Follower && self.may_campaign() => {
                self.start_election(true);
            }
            Body::Heartbeat { commit, round, .. } if self.role == Role::Follower => {
                self.advance_follower_commit(commit);
                let term = self.term;
                self.send(from, Body::HeartbeatReply { round, term });
            }
            Body::HeartbeatReply { round, .. } if self.role == Role::Leader => {
                self.handle_heartbeat_reply(from, round);
            }
            Body::PreVote {
                last,
                last_term,
                term,
            } => self.handle_pre_vote(from, last, last_term, term),
            Body::PreVoteReply { granted: true, term }
                if self.role == Role::PreCandidate && term == self.term.next() =>
            {
                self.votes.insert(from);
                self.count_votes();
            }
            Body::Rejected {
                hint,
                previous,
                snapshot,
                ..
            } if self.role == Role::Leader => self.handle_rejected(from, previous, hint, snapshot),
            Body::SnapshotPart { .. } if self.role == Role::Follower => self.handle_part(from, body),
            Body::SnapshotReceived { index, received, .. } if self.role == Role::Leader => {
                self.handle_part_received(from, index, received);
            }
            Body::Vote { last, last_term, .. } => self.handle_vote(from, last, last_term),
            Body::VoteReply { granted: true, .. } if self.role == Role::Candidate => {
                self.votes.insert(from);
                self.count_votes();
            }
            _ => {}
        }
    }

    pub(crate) fn send(&mut self, to: MemberId, body: Body) {
        let from = self.settings.id;
        self.immediate.push(Envelope { body, from, to });
    }

    pub(crate) fn send_after_sync(&mut self, to: MemberId, body: Body) {
        let from = self.settings.id;
        self.after_sync.push(Envelope { body, from, to });
    }

    pub(crate) fn send_to_voters(&mut self, body: &Body, after_sync: bool) {
        let own = self.settings.id;
        let voters: Vec<_> = self.voters().filter(|voter| *voter != own).collect();
        for voter in voters {
            match after_sync {
                true => self.send_after_sync(voter, body.clone()),
                false => self.send(voter, body.clone()),
            }
        }
    }
}
