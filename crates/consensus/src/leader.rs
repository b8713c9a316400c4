//! Log replication on the leader: appends, snapshots, heartbeats and commit.

use {
    crate::{Body, Entry, MemberId, Node, Payload, Role, progress::Mode},
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// Maximum number of heartbeat rounds kept to compute the leader's lease. Each batch of reads can
/// start a round, at most every few milliseconds, so a lease from an older round has already ended.
const MAX_LEASE_ROUNDS: usize = 256;

impl Node {
    pub(crate) fn append_new_entry(&mut self, payload: Payload) -> LogIndex {
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

    /// Sends the next append or snapshot part that flow control permits. Returns whether there may
    /// be more to send.
    pub(crate) fn send_next(&mut self, to: MemberId) -> bool {
        let Some(progress) = self.progress.get(&to) else {
            return false;
        };
        match progress.mode {
            Mode::Probe if progress.awaits_reply => false,
            Mode::Replicate if progress.in_flight.len() >= self.settings.max_in_flight => false,
            Mode::Replicate if progress.next > self.log.last() => false,
            Mode::Snapshot { .. } if progress.awaits_reply => false,
            Mode::Snapshot { index, offset } => self.send_snapshot_part(to, index, offset),
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
                progress.last_exchange_ms = now_ms;
            }
            match progress.mode {
                Mode::Replicate => {
                    progress.in_flight.push_back(last);
                    progress.next = LogIndex(last.0 + 1);
                }
                Mode::Probe | Mode::Snapshot { .. } => progress.awaits_reply = true,
            }
        }
        self.send(to, body);
        true
    }

    pub(crate) fn start_snapshot(&mut self, to: MemberId) -> bool {
        let index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        match (self.progress.get_mut(&to), index) {
            (Some(progress), Some(index)) => {
                progress.start_snapshot(index);
                true
            }
            _ => false,
        }
    }

    pub(crate) fn send_snapshot_part(&mut self, to: MemberId, index: LogIndex, offset: u64) -> bool {
        let Some(snapshot) = self.snapshot.clone() else {
            return false;
        };
        // A newer snapshot has replaced the one being sent, so the transfer starts again.
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
            total_bytes: snapshot.data.len() as u64,
        };
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.last_exchange_ms = now_ms;
            progress.awaits_reply = true;
        }
        self.send(to, body);
        false
    }

    pub(crate) fn handle_append_accepted(&mut self, from: MemberId, matching: LogIndex) {
        // Entries of the follower beyond the end of this leader's log do not match.
        let matching = matching.min(self.log.last());
        let now_ms = self.now_ms;
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.record_match(matching, now_ms);
        }
        self.advance_commit();
    }

    pub(crate) fn handle_append_rejected(
        &mut self,
        from: MemberId,
        previous: LogIndex,
        hint: LogIndex,
        needs_snapshot: bool,
    ) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match progress.mode {
            _ if needs_snapshot && progress.matching == LogIndex(0) => {
                if !matches!(progress.mode, Mode::Snapshot { .. }) {
                    self.start_snapshot(from);
                }
            }
            Mode::Snapshot { .. } => {}
            Mode::Probe if previous.0 + 1 != progress.next.0 => {}
            _ if previous <= progress.matching => {}
            Mode::Probe | Mode::Replicate => progress.start_probe(LogIndex(previous.0.min(hint.0 + 1))),
        }
    }

    pub(crate) fn handle_snapshot_received(&mut self, from: MemberId, index: LogIndex, received_bytes: u64) {
        let now_ms = self.now_ms;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        match &mut progress.mode {
            Mode::Snapshot { index: sent, offset } if *sent == index => {
                *offset = received_bytes;
                progress.last_exchange_ms = now_ms;
                progress.awaits_reply = false;
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
        // The follower is reachable, but an append or its reply was lost.
        if now_ms >= progress.last_exchange_ms + resend_after_ms {
            match progress.mode {
                Mode::Replicate if !progress.in_flight.is_empty() => {
                    progress.start_probe(LogIndex(progress.matching.0 + 1));
                }
                _ => progress.awaits_reply = false,
            }
        }
        self.complete_confirmations();
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
        self.complete_confirmations();
    }

    pub(crate) fn complete_confirmations(&mut self) {
        // A new leader knows all committed entries only once an entry of its own term is committed.
        if self.role != Role::Leader || self.commit < self.term_start {
            return;
        }
        let own = self.settings.id;
        while let Some((token, round)) = self.confirmations.front().copied() {
            let has_acknowledged = |member| {
                member == own
                    || self
                        .progress
                        .get(&member)
                        .is_some_and(|progress| progress.acknowledged_round >= round)
            };
            if round > self.round {
                // Requests that arrived during the last round share the next one.
                return self.send_heartbeats();
            }
            if !self.is_quorum(has_acknowledged) {
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
                voter if voter == own => self.last_synced,
                voter => self.matching(voter).unwrap_or_default(),
            })
            .collect();
        matching.sort_unstable_by(|left, right| right.cmp(left));
        let Some(candidate) = matching.get(matching.len() / 2).copied() else {
            return;
        };
        // Entries of earlier terms are committed only together with an entry of the current term.
        if candidate <= self.commit || self.log.term_at(candidate) != Some(self.term) {
            return;
        }
        self.commit = candidate;
        self.complete_confirmations();
        if self.members_index <= self.commit && !self.is_voter(own) {
            self.become_follower(self.term, None);
        }
    }
}
