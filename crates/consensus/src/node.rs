//! One member of the replicated log.

use {
    crate::{
        Body, ChangeError, Entry, Envelope, HardState, Member, MemberChange, MemberId, MemberRole,
        NodeSettings, NotLeader, Payload, PersistMark, Ready, Snapshot, StoredState, Term,
        log::Log,
        progress::{Mode, Progress},
    },
    fuchsiatack_derives::key,
    fuchsiatack_model::LogIndex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
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

/// Parts of a snapshot that is being received.
struct Incoming {
    data: Vec<u8>,
    index: LogIndex,
    term: Term,
}

/// One member. It does no I/O: it takes messages and time, and returns work in `Ready`.
pub struct Node {
    applied: LogIndex,
    commit: LogIndex,
    confirmed: Vec<u64>,
    election_due_ms: Option<u64>,
    hard_state_changed: bool,
    heartbeat_due_ms: u64,
    immediate: Vec<Envelope>,
    incoming: Option<Incoming>,
    install_snapshot: bool,
    leader: Option<MemberId>,
    leader_heard_ms: Option<u64>,
    log: Log,
    /// Leadership confirmations with the round that answers them.
    confirmations: VecDeque<(u64, u64)>,
    after_sync: Vec<Envelope>,
    mark: PersistMark,
    members: Vec<Member>,
    /// Index of the entry or snapshot that `members` comes from.
    members_index: LogIndex,
    now_ms: u64,
    progress: BTreeMap<MemberId, Progress>,
    reset_log: bool,
    random: StdRng,
    role: Role,
    round: u64,
    settings: NodeSettings,
    snapshot: Option<Arc<Snapshot>>,
    snapshot_changed: bool,
    /// Last index that is synced on this member.
    stable: LogIndex,
    term: Term,
    /// Index of the first entry of this member's own leadership.
    term_start: LogIndex,
    /// Marks that are not synced yet, with the last entry they cover.
    unsynced: VecDeque<(PersistMark, LogIndex, Term)>,
    /// First index that no `Ready` has carried yet.
    unsaved: LogIndex,
    vote: Option<MemberId>,
    /// Mark of the `Ready` that stores this candidate's own vote.
    vote_mark: PersistMark,
    votes: BTreeSet<MemberId>,
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
            random: StdRng::seed_from_u64(settings.seed),
            reset_log: false,
            role: Role::Follower,
            round: 0,
            settings,
            snapshot: stored.snapshot,
            snapshot_changed: false,
            stable: last,
            term: stored.hard_state.term,
            term_start: LogIndex(0),
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
        self.now_ms = self.now_ms.max(now_ms);
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

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
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

    // Elections.

    /// Adopts a higher term and refuses messages of lower ones. Returns whether to go on.
    fn check_term(&mut self, from: MemberId, body: &Body) -> bool {
        let term = body.term();
        let is_election = matches!(body, Body::PreVote { .. } | Body::Vote { .. });
        if is_election && self.has_live_leader() {
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

    /// Returns whether a leader was heard within the shortest election timeout. Votes are refused
    /// then, so that a member that was cut off or removed cannot disturb a working leader.
    fn has_live_leader(&self) -> bool {
        let heard = |heard_ms: u64| self.now_ms < heard_ms + self.settings.election_minimum_ms;
        self.role == Role::Leader || (self.leader.is_some() && self.leader_heard_ms.is_some_and(heard))
    }

    /// Returns whether the member is a voter in the present list, or in the committed one while the
    /// present list is not committed. A leader that appended its own removal and stepped down may
    /// be the only member that can complete it.
    fn may_campaign(&self) -> bool {
        let own = self.settings.id;
        let was_voter = || {
            let committed = self.members_at(self.commit);
            committed
                .iter()
                .any(|member| member.id == own && member.role == MemberRole::Voter)
        };
        self.is_voter(own) || (self.members_index > self.commit && was_voter())
    }

    fn start_pre_vote(&mut self) {
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

    fn start_election(&mut self) {
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
        };
        self.send_to_voters(&body, true);
    }

    fn count_votes(&mut self) {
        let votes = &self.votes;
        match self.role {
            _ if !self.is_quorum(|member| votes.contains(&member)) => {}
            Role::PreCandidate => self.start_election(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
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

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.settings.id);
        self.incoming = None;
        self.progress.clear();
        self.update_progress();
        self.term_start = self.append_own(Payload::Command(Vec::new()));
        self.send_heartbeats();
    }

    fn follow(&mut self, leader: MemberId) {
        match self.role {
            Role::Follower => self.leader = Some(leader),
            // Two leaders in one term are excluded by the votes; the message is not from a member.
            Role::Leader => return,
            Role::Candidate | Role::PreCandidate => self.become_follower(self.term, Some(leader)),
        }
        self.leader_heard_ms = Some(self.now_ms);
        self.reset_election();
    }

    fn reset_election(&mut self) {
        let range = self.settings.election_minimum_ms..=self.settings.election_maximum_ms;
        self.election_due_ms = Some(self.now_ms + self.random.random_range(range));
    }

    fn handle_vote(&mut self, from: MemberId, last: LogIndex, last_term: Term) {
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

    fn handle_pre_vote(&mut self, from: MemberId, last: LogIndex, last_term: Term, term: Term) {
        let is_current = (last_term, last) >= (self.log.last_term(), self.log.last());
        let granted = is_current && term > self.term;
        let term = if granted { term } else { self.term };
        self.send(from, Body::PreVoteReply { granted, term });
    }

    // Dispatch.

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

    // Replication, follower side.

    fn handle_append(
        &mut self,
        from: MemberId,
        previous: LogIndex,
        previous_term: Term,
        entries: Vec<Arc<Entry>>,
        commit: LogIndex,
    ) {
        let term = self.term;
        if previous < self.commit {
            let matching = self.commit;
            self.send_after_sync(from, Body::Appended { matching, term });
            return;
        }
        if !self.is_formed() || self.log.term_at(previous) != Some(previous_term) {
            let rejected = Body::Rejected {
                hint: self.rejection_hint(previous),
                previous,
                snapshot: !self.is_formed(),
                term,
            };
            self.send(from, rejected);
            return;
        }
        let matching = LogIndex(previous.0 + entries.len() as u64);
        for entry in entries {
            self.append_received(entry);
        }
        self.advance_follower_commit(commit.min(matching));
        self.send_after_sync(from, Body::Appended { matching, term });
    }

    fn append_received(&mut self, entry: Arc<Entry>) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        let members = match &entry.payload {
            Payload::Members(members) => Some((members.clone(), entry.index)),
            Payload::Command(_) => None,
        };
        self.log.append(entry);
        if let Some((members, index)) = members {
            self.set_members(members, index);
        }
    }

    fn truncate(&mut self, from: LogIndex) {
        debug_assert!(from > self.commit, "a committed entry is never replaced");
        self.log.truncate(from);
        self.stable = self.stable.min(self.log.last());
        self.unsaved = self.unsaved.min(from);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    /// Returns the last index before the conflicting term, so that the leader skips a whole term
    /// with each rejection.
    fn rejection_hint(&self, previous: LogIndex) -> LogIndex {
        let hint = match previous > self.log.last() {
            true => self.log.last(),
            false => LogIndex(self.log.first_of_term(previous).0.saturating_sub(1)),
        };
        hint.max(self.commit)
    }

    fn advance_follower_commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit.min(self.log.last()));
    }

    fn handle_part(&mut self, from: MemberId, part: Body) {
        let Body::SnapshotPart {
            data,
            index,
            members,
            offset,
            snapshot_term,
            total,
            ..
        } = part
        else {
            return;
        };
        let term = self.term;
        if self.is_formed() && index <= self.commit {
            let matching = self.commit;
            self.send_after_sync(from, Body::Appended { matching, term });
            return;
        }
        let is_same = |incoming: &Incoming| incoming.index == index && incoming.term == snapshot_term;
        let mut incoming = self.incoming.take().filter(is_same).unwrap_or(Incoming {
            data: Vec::new(),
            index,
            term: snapshot_term,
        });
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.incoming = Some(incoming);
            self.send(
                from,
                Body::SnapshotReceived {
                    index,
                    received,
                    term,
                },
            );
            return;
        }
        self.install(Snapshot {
            data: incoming.data,
            index,
            members,
            term: snapshot_term,
        });
        let matching = index;
        self.send_after_sync(from, Body::Appended { matching, term });
    }

    fn install(&mut self, snapshot: Snapshot) {
        // Entries after the snapshot may already be acknowledged, so they stay if they continue it.
        if self.log.term_at(snapshot.index) != Some(snapshot.term) || !self.is_formed() {
            self.log = Log::new(snapshot.index, snapshot.term, Vec::new());
            self.reset_log = true;
            self.stable = snapshot.index;
            self.unsaved = LogIndex(snapshot.index.0 + 1);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.install_snapshot = true;
        self.snapshot_changed = true;
        self.snapshot = Some(Arc::new(snapshot));
        self.reload_members();
    }

    // Replication, leader side.

    fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = LogIndex(self.log.last().0 + 1);
        self.log.append(Arc::new(Entry {
            index,
            payload,
            term: self.term,
        }));
        index
    }

    fn send_to_all(&mut self) {
        let followers: Vec<_> = self.progress.keys().copied().collect();
        for follower in followers {
            while self.send_next(follower) {}
        }
    }

    /// Sends the next append or snapshot part that the follower may get. Returns whether there may
    /// be more to send.
    fn send_next(&mut self, to: MemberId) -> bool {
        let Some(progress) = self.progress.get(&to) else {
            return false;
        };
        match progress.mode {
            Mode::Probe if progress.waiting => false,
            Mode::Replicate if progress.in_flight.len() >= self.settings.max_in_flight => false,
            Mode::Replicate if progress.next > self.log.last() => false,
            Mode::Snapshot { .. } if progress.waiting => false,
            Mode::Snapshot { index, offset } => self.send_part(to, index, offset),
            Mode::Probe | Mode::Replicate => self.send_append(to, progress.next),
        }
    }

    fn send_append(&mut self, to: MemberId, next: LogIndex) -> bool {
        let previous = LogIndex(next.0 - 1);
        let Some(previous_term) = self.log.term_at(previous) else {
            return self.start_snapshot(to);
        };
        let mut size_bytes = 0;
        let entries: Vec<_> = self
            .log
            .range(next, self.log.last())
            .iter()
            .take_while(|entry| {
                let is_first = size_bytes == 0;
                size_bytes += entry.payload.size_bytes() + 1;
                is_first || size_bytes <= self.settings.max_append_bytes
            })
            .cloned()
            .collect();
        let last = LogIndex(previous.0 + entries.len() as u64);
        let body = Body::Append {
            commit: self.commit,
            entries,
            previous,
            previous_term,
            term: self.term,
        };
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&to) {
            if progress.in_flight.is_empty() {
                progress.sent_ms = now_ms;
            }
            match progress.mode {
                Mode::Replicate => {
                    progress.in_flight.push_back(last);
                    progress.next = LogIndex(last.0 + 1);
                }
                Mode::Probe | Mode::Snapshot { .. } => progress.waiting = true,
            }
        }
        self.send(to, body);
        true
    }

    fn start_snapshot(&mut self, to: MemberId) -> bool {
        let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        match (self.progress.get_mut(&to), index) {
            (Some(progress), Some(index)) => {
                progress.snapshot(index);
                true
            }
            _ => false,
        }
    }

    fn send_part(&mut self, to: MemberId, index: LogIndex, offset: u64) -> bool {
        let Some(snapshot) = self.snapshot.clone() else {
            return false;
        };
        // A newer snapshot replaced the one that was being sent.
        if snapshot.index != index {
            return self.start_snapshot(to);
        }
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + self.settings.max_snapshot_part_bytes).min(snapshot.data.len());
        let body = Body::SnapshotPart {
            data: snapshot.data[start..end].to_vec(),
            index,
            members: snapshot.members.clone(),
            offset,
            snapshot_term: snapshot.term,
            term: self.term,
            total: snapshot.data.len() as u64,
        };
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.sent_ms = now_ms;
            progress.waiting = true;
        }
        self.send(to, body);
        false
    }

    fn handle_appended(&mut self, from: MemberId, matching: LogIndex) {
        // A follower may have more than this leader's log only in entries it does not share.
        let matching = matching.min(self.log.last());
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.appended(matching, now_ms);
        }
        self.advance_commit();
    }

    fn handle_rejected(&mut self, from: MemberId, previous: LogIndex, hint: LogIndex, snapshot: bool) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match progress.mode {
            _ if snapshot && progress.matching == LogIndex(0) => {
                if !matches!(progress.mode, Mode::Snapshot { .. }) {
                    self.start_snapshot(from);
                }
            }
            Mode::Snapshot { .. } => {}
            Mode::Probe if previous.0 + 1 != progress.next.0 => {}
            _ if previous <= progress.matching => {}
            Mode::Probe | Mode::Replicate => progress.probe(LogIndex(previous.0.min(hint.0 + 1))),
        }
    }

    fn handle_part_received(&mut self, from: MemberId, index: LogIndex, received: u64) {
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match &mut progress.mode {
            Mode::Snapshot { index: sent, offset } if *sent == index => {
                *offset = received;
                progress.sent_ms = now_ms;
                progress.waiting = false;
            }
            _ => {}
        }
    }

    fn handle_heartbeat_reply(&mut self, from: MemberId, round: u64) {
        let now_ms = self.now_ms;
        let resend_after_ms = self.settings.election_maximum_ms;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        // The follower is alive but an append or its answer was lost.
        if now_ms >= progress.sent_ms + resend_after_ms {
            match progress.mode {
                Mode::Replicate if !progress.in_flight.is_empty() => {
                    progress.probe(LogIndex(progress.matching.0 + 1));
                }
                _ => progress.waiting = false,
            }
        }
        self.answer_confirmations();
    }

    fn send_heartbeats(&mut self) {
        self.round += 1;
        self.heartbeat_due_ms = self.now_ms + self.settings.heartbeat_ms;
        let followers: Vec<_> = self
            .progress
            .iter()
            .map(|(member, progress)| (*member, progress.matching))
            .collect();
        for (follower, matching) in followers {
            let body = Body::Heartbeat {
                commit: self.commit.min(matching),
                round: self.round,
                term: self.term,
            };
            self.send(follower, body);
        }
        self.answer_confirmations();
    }

    fn answer_confirmations(&mut self) {
        // A new leader knows the whole committed log only once an entry of its term is committed.
        if self.role != Role::Leader || self.commit < self.term_start {
            return;
        }
        let own = self.settings.id;
        while let Some((token, round)) = self.confirmations.front().copied() {
            let answered = |member| {
                member == own
                    || self
                        .progress
                        .get(&member)
                        .is_some_and(|progress| progress.acknowledged_round >= round)
            };
            if round > self.round {
                // Calls that came during the last round share the next one.
                return self.send_heartbeats();
            }
            if !self.is_quorum(answered) {
                return;
            }
            self.confirmations.pop_front();
            self.confirmed.push(token);
        }
    }

    fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let own = self.settings.id;
        let mut matching: Vec<_> = self
            .voters()
            .map(|voter| match voter {
                voter if voter == own => self.stable,
                voter => self.matching(voter).unwrap_or_default(),
            })
            .collect();
        matching.sort_unstable_by(|left, right| right.cmp(left));
        let Some(candidate) = matching.get(matching.len() / 2).copied() else {
            return;
        };
        // Entries of earlier terms are committed only through a later one of this term.
        if candidate <= self.commit || self.log.term_at(candidate) != Some(self.term) {
            return;
        }
        self.commit = candidate;
        self.answer_confirmations();
        if self.members_index <= self.commit && !self.is_voter(own) {
            self.become_follower(self.term, None);
        }
    }

    // Membership.

    fn changed_members(&self, change: MemberChange) -> Result<Vec<Member>, ChangeError> {
        let mut members = self.members.clone();
        let position = |id: MemberId| {
            self.members
                .binary_search_by_key(&id, |member| member.id)
                .map_err(|_| ChangeError::Unknown(id))
        };
        match change {
            MemberChange::Add { address, id, name } => match position(id) {
                Ok(found) => {
                    members[found].address = address;
                    members[found].name = name;
                }
                Err(_) => members.push(Member {
                    address,
                    id,
                    name,
                    role: MemberRole::Learner,
                }),
            },
            MemberChange::Promote(id) => {
                let found = position(id)?;
                if !self.is_caught_up(id) {
                    return Err(ChangeError::NotCaughtUp(id));
                }
                members[found].role = MemberRole::Voter;
            }
            MemberChange::Remove(id) => {
                members.remove(position(id)?);
            }
        }
        members.sort_unstable_by_key(|member| member.id);
        match members.iter().any(|member| member.role == MemberRole::Voter) {
            true => Ok(members),
            false => Err(ChangeError::NoVoter),
        }
    }

    fn set_members(&mut self, members: Vec<Member>, index: LogIndex) {
        self.members = members;
        self.members_index = index;
        if self.role == Role::Leader {
            self.update_progress();
        }
    }

    fn update_progress(&mut self) {
        let own = self.settings.id;
        let (last, now_ms) = (self.log.last(), self.now_ms);
        let members = &self.members;
        self.progress
            .retain(|id, _| members.iter().any(|member| member.id == *id));
        for member in members.iter().filter(|member| member.id != own) {
            self.progress
                .entry(member.id)
                .or_insert_with(|| Progress::new(last, now_ms));
        }
    }

    fn reload_members(&mut self) {
        let latest = self.log.latest_members(self.log.last()).cloned();
        let (members, index) = match (latest.as_deref(), &self.snapshot) {
            (
                Some(Entry {
                    index,
                    payload: Payload::Members(members),
                    ..
                }),
                _,
            ) => (members.clone(), *index),
            (_, Some(snapshot)) => (snapshot.members.clone(), snapshot.index),
            (_, None) => (Vec::new(), LogIndex(0)),
        };
        self.set_members(members, index);
    }

    fn members_at(&self, index: LogIndex) -> Vec<Member> {
        let latest = self.log.latest_members(index).map(|entry| &entry.payload);
        match (latest, &self.snapshot) {
            (Some(Payload::Members(members)), _) => members.clone(),
            (_, Some(snapshot)) => snapshot.members.clone(),
            (_, None) => Vec::new(),
        }
    }

    fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.members
            .iter()
            .filter(|member| member.role == MemberRole::Voter)
            .map(|member| member.id)
    }

    fn is_voter(&self, id: MemberId) -> bool {
        self.voters().any(|voter| voter == id)
    }

    fn is_quorum(&self, agrees: impl Fn(MemberId) -> bool) -> bool {
        let total = self.voters().count();
        let agreeing = self.voters().filter(|voter| agrees(*voter)).count();
        agreeing > total / 2
    }

    fn hears_quorum(&self) -> bool {
        let own = self.settings.id;
        let limit_ms = self.settings.election_maximum_ms;
        self.is_quorum(|member| {
            member == own
                || self
                    .progress
                    .get(&member)
                    .is_some_and(|progress| self.now_ms < progress.heard_ms + limit_ms)
        })
    }

    fn require_leader(&self) -> Result<(), NotLeader> {
        match self.role {
            Role::Leader => Ok(()),
            _ => Err(NotLeader { leader: self.leader }),
        }
    }

    // Messages.

    fn send(&mut self, to: MemberId, body: Body) {
        let from = self.settings.id;
        self.immediate.push(Envelope { body, from, to });
    }

    fn send_after_sync(&mut self, to: MemberId, body: Body) {
        let from = self.settings.id;
        self.after_sync.push(Envelope { body, from, to });
    }

    fn send_to_voters(&mut self, body: &Body, after_sync: bool) {
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
