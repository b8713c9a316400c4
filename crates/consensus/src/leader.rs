//! Replication on the side of the leader.

use {
    crate::{Body, Entry, MemberId, Node, Payload, Role, progress::Mode},
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// Heartbeat rounds that are remembered for the leader's lease. Older ones are over when it is
/// asked for: calls may begin a round for each batch, at most every few milliseconds.
const MAX_LEASE_ROUNDS: usize = 256;

impl Node {
    pub(crate) fn append_own(&mut self, payload: Payload) -> LogIndex {
        let index = LogIndex(self.log.last().0 + 1);
        self.log.append(Arc::new(Entry {
            index,
            payload,
            term: self.term,
        }));
        index
    }

    pub(crate) fn send_to_all(&mut self) {
        let followers: Vec<_> = self.progress.keys().copied().collect();
        for follower in followers {
            while self.send_next(follower) {}
        }
    }

    /// Sends the next append or snapshot part that the follower may get. Returns whether there may
    /// be more to send.
    pub(crate) fn send_next(&mut self, to: MemberId) -> bool {
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

    pub(crate) fn send_append(&mut self, to: MemberId, next: LogIndex) -> bool {
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

    pub(crate) fn start_snapshot(&mut self, to: MemberId) -> bool {
        let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        match (self.progress.get_mut(&to), index) {
            (Some(progress), Some(index)) => {
                progress.snapshot(index);
                true
            }
            _ => false,
        }
    }

    pub(crate) fn send_part(&mut self, to: MemberId, index: LogIndex, offset: u64) -> bool {
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

    pub(crate) fn handle_appended(&mut self, from: MemberId, matching: LogIndex) {
        // A follower may have more than this leader's log only in entries it does not share.
        let matching = matching.min(self.log.last());
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.appended(matching, now_ms);
        }
        self.advance_commit();
    }

    pub(crate) fn handle_rejected(
        &mut self,
        from: MemberId,
        previous: LogIndex,
        hint: LogIndex,
        snapshot: bool,
    ) {
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

    pub(crate) fn handle_part_received(&mut self, from: MemberId, index: LogIndex, received: u64) {
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

    pub(crate) fn handle_heartbeat_reply(&mut self, from: MemberId, round: u64) {
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

    pub(crate) fn send_heartbeats(&mut self) {
        self.round += 1;
        self.round_sent_ms.push_back((self.round, self.now_ms));
        if self.round_sent_ms.len() > MAX_LEASE_ROUNDS {
            self.round_sent_ms.pop_front();
        }
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

    pub(crate) fn answer_confirmations(&mut self) {
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

    pub(crate) fn advance_commit(&mut self) {
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
}
