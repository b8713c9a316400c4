//! Consensus state machine of one member.

use {
    crate::{
        Body, ChangeError, Envelope, HardState, Member, MemberChange, MemberContact, MemberId, NodeSettings,
        NotLeader, Payload, PersistMark, Ready, Snapshot, StoredState, Term, follower::IncomingSnapshot,
        log::Log, progress::Progress,
    },
    fuchsiatack_derives::key,
    fuchsiatack_model::LogIndex,
    rand::{SeedableRng, rngs::StdRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Entries by which a member may lag behind the commit index and still count as caught up. Under
/// load a learner never has all entries.
const CAUGHT_UP_LAG_ENTRIES: u64 = 256;

/// Role of a member in its current term. The names are written to statuses and logs.
#[key]
pub enum Role {
    /// Has started a term and requests votes.
    Candidate,
    /// Receives entries from the leader, or waits for one to be elected.
    Follower,
    /// Leader of the term.
    Leader,
    /// Requests pre-votes before it starts a new term.
    PreCandidate,
}

/// Consensus state machine of one member. It does no I/O: the driver passes in messages and the
/// time, and carries out the work returned by `take_ready`.
pub struct Node {
    pub(crate) after_sync: Vec<Envelope>,
    pub(crate) applied: LogIndex,
    pub(crate) commit: LogIndex,
    /// Tokens of the pending leadership confirmations, each with the heartbeat round that a quorum
    /// has to acknowledge.
    pub(crate) confirmations: VecDeque<(u64, u64)>,
    pub(crate) confirmed: Vec<u64>,
    pub(crate) election_due_ms: Option<u64>,
    pub(crate) hard_state_changed: bool,
    pub(crate) heartbeat_due_ms: u64,
    pub(crate) immediate: Vec<Envelope>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) install_snapshot: bool,
    pub(crate) leader: Option<MemberId>,
    pub(crate) leader_contact_ms: Option<u64>,
    pub(crate) log: Log,
    pub(crate) mark: PersistMark,
    pub(crate) members: Vec<Member>,
    /// Index of the entry or snapshot that `members` comes from.
    pub(crate) members_index: LogIndex,
    pub(crate) now_ms: u64,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// Time until which a restarted member ignores vote requests, because it may have acknowledged
    /// a heartbeat that a leader's lease depends on. `None` until the first time is passed in; 0 on
    /// a member that has seen no term.
    pub(crate) no_votes_until_ms: Option<u64>,
    pub(crate) random: StdRng,
    pub(crate) reset_log: bool,
    pub(crate) role: Role,
    pub(crate) round: u64,
    /// Heartbeat rounds that can still extend the leader's lease, each with its time of sending.
    pub(crate) round_sent_ms: VecDeque<(u64, u64)>,
    pub(crate) settings: NodeSettings,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) snapshot_changed: bool,
    /// Last index that is synced on this member.
    pub(crate) last_synced: LogIndex,
    pub(crate) term: Term,
    /// Index of the first entry that this member appended as leader of the current term.
    pub(crate) term_start: LogIndex,
    /// Whether this leader has begun to transfer its leadership.
    pub(crate) transferring: bool,
    /// First index that no `Ready` has contained for storage yet.
    pub(crate) first_unpersisted: LogIndex,
    /// Marks of the `Ready` values that are not synced yet, each with index and term of the last
    /// log entry at that time.
    pub(crate) unsynced: VecDeque<(PersistMark, LogIndex, Term)>,
    pub(crate) vote: Option<MemberId>,
    /// Mark of the `Ready` that stores this candidate's own vote.
    pub(crate) vote_mark: PersistMark,
    pub(crate) votes: BTreeSet<MemberId>,
}

impl Node {
    /// Creates a follower from the state on its disk. Everything in `stored` counts as synced.
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
            incoming_snapshot: None,
            install_snapshot: false,
            leader: None,
            leader_contact_ms: None,
            log,
            mark: PersistMark(1),
            members: Vec::new(),
            members_index: LogIndex(0),
            now_ms: 0,
            progress: BTreeMap::new(),
            no_votes_until_ms: (stored.hard_state.term == Term(0)).then_some(0),
            random: StdRng::seed_from_u64(settings.seed),
            reset_log: false,
            role: Role::Follower,
            round: 0,
            round_sent_ms: VecDeque::new(),
            settings,
            snapshot: stored.snapshot,
            snapshot_changed: false,
            last_synced: last,
            term: stored.hard_state.term,
            term_start: LogIndex(0),
            transferring: false,
            first_unpersisted: LogIndex(last.0 + 1),
            unsynced: VecDeque::new(),
            vote: stored.hard_state.vote,
            vote_mark: PersistMark(0),
            votes: BTreeSet::new(),
        };
        node.reload_members();
        node
    }

    /// Returns the last index that `Ready::committed` or an installed snapshot has covered.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the last index that this member knows to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Replaces the log up to `up_to` by a snapshot with the given encoded state. Does nothing if
    /// `up_to` is not applied yet or the current snapshot already covers it.
    pub fn compact(&mut self, up_to: LogIndex, snapshot: Vec<u8>) {
        let current = self.snapshot.as_ref().map(|current| current.index);
        let Some(term) = self.log.term_at(up_to) else {
            return;
        };
        if up_to > self.applied || Some(up_to) <= current {
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

    /// Requests a confirmation that this member still leads. `Ready::confirmed` returns the token
    /// once a quorum has acknowledged a heartbeat round that started after this call.
    pub fn confirm_leadership(&mut self, token: u64) -> Result<(), NotLeader> {
        self.require_leader()?;
        let in_flight = self.confirmations.front().is_some();
        self.confirmations.push_back((token, self.round + 1));
        if !in_flight {
            self.send_heartbeats();
        }
        Ok(())
    }

    /// Returns whether a follower has acknowledged entries, sent a message within the longest
    /// election timeout, and lacks at most `CAUGHT_UP_LAG_ENTRIES` committed entries. Always false
    /// on a member that does not lead.
    pub fn is_caught_up(&self, member: MemberId) -> bool {
        self.progress.get(&member).is_some_and(|progress| {
            progress.matching > LogIndex(0)
                && progress.matching.0 + CAUGHT_UP_LAG_ENTRIES >= self.commit.0
                && self.is_in_contact(member, self.now_ms)
        })
    }

    /// Returns what this leader knows about a member. Without a message from it, it counts as silent
    /// since the leader's election or its addition.
    pub fn contact(&self, member: MemberId) -> MemberContact {
        let progress = self.progress.get(&member);
        MemberContact {
            is_caught_up: member == self.settings.id || self.is_caught_up(member),
            silent_ms: progress.map_or(0, |progress| self.now_ms.saturating_sub(progress.last_contact_ms)),
        }
    }

    /// Returns the time of the last message from a leader since this member's start: the present time
    /// if it leads.
    pub fn leader_contact_ms(&self) -> Option<u64> {
        match self.role {
            Role::Leader => Some(self.now_ms),
            _ => self.leader_contact_ms,
        }
    }

    /// Returns whether this member leads and is `member`, or leads and got a message from `member`
    /// within the longest election timeout before `now_ms`. A leader steps down without such contact
    /// to a quorum.
    pub fn is_in_contact(&self, member: MemberId, now_ms: u64) -> bool {
        let limit_ms = self.settings.election_maximum_ms;
        let is_own = member == self.settings.id;
        match self.progress.get(&member) {
            _ if self.role != Role::Leader => false,
            Some(progress) => now_ms < progress.last_contact_ms + limit_ms,
            None => is_own,
        }
    }

    /// Returns whether this member leads and knows that `member` was reachable during its leadership: it has
    /// contact to the member, which has voted for it or sent a message since. `is_in_contact` also holds for
    /// members that were cut off before the election.
    pub fn is_responsive(&self, member: MemberId, now_ms: u64) -> bool {
        let progress = self.progress.get(&member);
        let has_responded = progress.is_some_and(|progress| progress.has_responded);
        has_responded && self.is_in_contact(member, now_ms)
    }

    /// Returns whether this member has a member list, from its disk or from the leader.
    pub fn is_formed(&self) -> bool {
        !self.members.is_empty()
    }

    /// Returns the last index of the log, committed or not.
    pub fn last(&self) -> LogIndex {
        self.log.last()
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the last index of this leader's log that a follower has acknowledged as synced; 0 before
    /// its first acknowledgement. `None` if this member does not lead or `member` is no follower.
    pub fn matching(&self, member: MemberId) -> Option<LogIndex> {
        self.progress.get(&member).map(|progress| progress.matching)
    }

    /// Returns the latest member list, committed or not, sorted by identity.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Records that the `Ready` with this mark and all earlier ones are synced.
    pub fn persisted(&mut self, mark: PersistMark) {
        while let Some((first, last, term)) = self.unsynced.front().copied() {
            if first > mark {
                break;
            }
            self.unsynced.pop_front();
            // Logs that have the same term at an index are equal up to that index.
            if self.log.term_at(last) == Some(term) {
                self.last_synced = self.last_synced.max(last);
            }
        }
        if self.role == Role::Candidate && mark >= self.vote_mark && self.votes.insert(self.settings.id) {
            self.count_votes();
        }
        self.advance_commit();
    }

    /// Appends a command if this member leads, and returns its index. The state machine skips an
    /// empty command.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogIndex, NotLeader> {
        self.require_leader()?;
        Ok(self.append_new_entry(Payload::Command(command)))
    }

    /// Appends a new member list if this member leads, and returns its index.
    pub fn propose_members(&mut self, change: MemberChange) -> Result<LogIndex, ChangeError> {
        self.require_leader()?;
        if self.members_index > self.commit {
            return Err(ChangeError::InProgress);
        }
        // Without a committed entry of its own term, the leader may not know a member list that an
        // earlier leader committed, and two lists could have quorums that do not overlap.
        if self.commit < self.term_start {
            return Err(ChangeError::NotReady);
        }
        let members = self.members_after(change)?;
        let index = self.append_new_entry(Payload::Members(members.clone()));
        self.set_members(members, index);
        Ok(index)
    }

    /// Handles a message from another member, received at `now_ms`.
    pub fn receive(&mut self, now_ms: u64, message: Envelope) {
        self.advance_clock(now_ms);
        let Envelope { body, from, to } = message;
        if to != self.settings.id || from == to {
            return;
        }
        // A member without a member list has an empty disk. It must not vote, because it may have
        // lost an earlier vote.
        if !self.is_formed() && !body.is_from_leader() {
            return;
        }
        if !self.check_term(from, &body) {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.last_contact_ms = self.now_ms;
            progress.has_responded = true;
        }
        if body.is_from_leader() {
            self.follow_leader(from);
        }
        self.handle(from, body);
    }

    /// Returns whether this member leads and has committed an entry of its term, so that it knows
    /// every entry that earlier leaders committed.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.term_start
    }

    /// Returns the end of the leader's lease, on the clock passed to `tick`. No other member can
    /// become leader before it. `None` on a member that does not lead, or whose leadership is being
    /// transferred.
    ///
    /// A member ignores vote requests for the shortest election timeout after it received a
    /// heartbeat. The lease therefore starts when the last round that a quorum acknowledged was
    /// sent.
    pub fn lease_until_ms(&self) -> Option<u64> {
        if !self.is_established_leader() || self.transferring {
            return None;
        }
        let is_acknowledged = |round: u64| {
            self.is_quorum(|member| {
                member == self.settings.id
                    || self
                        .progress
                        .get(&member)
                        .is_some_and(|progress| progress.acknowledged_round >= round)
            })
        };
        let acknowledged = self
            .round_sent_ms
            .iter()
            .rev()
            .find(|(round, _)| is_acknowledged(*round));
        acknowledged.map(|(_, sent_ms)| sent_ms + self.settings.election_minimum_ms)
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the work that has become due since the last call; see `Ready`.
    pub fn take_ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.send_to_all();
        }
        let mark = self.mark;
        let install_snapshot = std::mem::take(&mut self.install_snapshot);
        let snapshot = std::mem::take(&mut self.snapshot_changed)
            .then(|| self.snapshot.clone())
            .flatten();
        let entries = self.log.range(self.first_unpersisted, self.log.last()).to_vec();
        self.first_unpersisted = LogIndex(self.log.last().0 + 1);
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

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Asks a voter that has the whole log to start an election. Does not wait for it; may be
    /// repeated until the role changes.
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

    /// Advances the clock, sends heartbeats or starts an election if one is due, and makes a leader
    /// without contact to a quorum step down. Times are in milliseconds from any fixed start.
    pub fn tick(&mut self, now_ms: u64) {
        self.advance_clock(now_ms);
        match self.role {
            Role::Leader if !self.has_quorum_contact() => self.become_follower(self.term, None),
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

    /// Grants no votes for the shortest election timeout from the next call with a time, also if the
    /// stored state has no term. For a node that replaces one that has acknowledged heartbeats.
    pub fn withhold_votes(&mut self) {
        self.no_votes_until_ms = None;
    }

    fn advance_clock(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        let no_votes_ms = self.settings.election_minimum_ms;
        self.no_votes_until_ms.get_or_insert(self.now_ms + no_votes_ms);
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
            Body::AppendAccepted { matching, .. } if self.role == Role::Leader => {
                self.handle_append_accepted(from, matching);
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
            Body::AppendRejected {
                hint,
                previous,
                needs_snapshot,
                ..
            } if self.role == Role::Leader => {
                self.handle_append_rejected(from, previous, hint, needs_snapshot)
            }
            Body::SnapshotPart { .. } if self.role == Role::Follower => self.handle_snapshot_part(from, body),
            Body::SnapshotReceived {
                index,
                received_bytes,
                ..
            } if self.role == Role::Leader => {
                self.handle_snapshot_received(from, index, received_bytes);
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
