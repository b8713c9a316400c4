//! Log replication on a follower: appended entries and received snapshots.

use {
    crate::{Body, Entry, MemberId, Node, Payload, Snapshot, Term, log::Log},
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// Snapshot of which some parts are still missing.
pub(crate) struct IncomingSnapshot {
    data: Vec<u8>,
    index: LogIndex,
    term: Term,
}

impl Node {
    pub(crate) fn handle_append(
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
            self.send_after_sync(from, Body::AppendAccepted { matching, term });
            return;
        }
        if !self.is_formed() || self.log.term_at(previous) != Some(previous_term) {
            let rejected = Body::AppendRejected {
                hint: self.rejection_hint(previous),
                previous,
                needs_snapshot: !self.is_formed(),
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
        self.send_after_sync(from, Body::AppendAccepted { matching, term });
    }

    pub(crate) fn append_received(&mut self, entry: Arc<Entry>) {
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

    pub(crate) fn truncate(&mut self, from: LogIndex) {
        debug_assert!(from > self.commit, "a committed entry is never replaced");
        self.log.truncate(from);
        self.last_synced = self.last_synced.min(self.log.last());
        self.first_unpersisted = self.first_unpersisted.min(from);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    /// Returns the last index that may match the leader's log. It is before all entries of the
    /// conflicting term, so that each rejection skips a whole term.
    pub(crate) fn rejection_hint(&self, previous: LogIndex) -> LogIndex {
        let hint = match previous > self.log.last() {
            true => self.log.last(),
            false => LogIndex(self.log.first_of_term(previous).0.saturating_sub(1)),
        };
        hint.max(self.commit)
    }

    pub(crate) fn advance_follower_commit(&mut self, commit: LogIndex) {
        self.commit = self.commit.max(commit.min(self.log.last()));
    }

    pub(crate) fn handle_snapshot_part(&mut self, from: MemberId, part: Body) {
        let Body::SnapshotPart {
            data,
            index,
            members,
            offset,
            snapshot_term,
            total_bytes,
            ..
        } = part
        else {
            return;
        };
        let term = self.term;
        if self.is_formed() && index <= self.commit {
            let matching = self.commit;
            self.send_after_sync(from, Body::AppendAccepted { matching, term });
            return;
        }
        let is_same = |incoming: &IncomingSnapshot| incoming.index == index && incoming.term == snapshot_term;
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(is_same)
            .unwrap_or(IncomingSnapshot {
                data: Vec::new(),
                index,
                term: snapshot_term,
            });
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(&data);
        }
        let received_bytes = incoming.data.len() as u64;
        if received_bytes < total_bytes {
            self.incoming_snapshot = Some(incoming);
            self.send(
                from,
                Body::SnapshotReceived {
                    index,
                    received_bytes,
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
        self.send_after_sync(from, Body::AppendAccepted { matching, term });
    }

    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        // Entries after the snapshot may already be acknowledged. They are kept if the entry at the
        // snapshot's index has the snapshot's term.
        if self.log.term_at(snapshot.index) != Some(snapshot.term) || !self.is_formed() {
            self.log = Log::new(snapshot.index, snapshot.term, Vec::new());
            self.reset_log = true;
            self.last_synced = snapshot.index;
            self.first_unpersisted = LogIndex(snapshot.index.0 + 1);
        }
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.install_snapshot = true;
        self.snapshot_changed = true;
        self.snapshot = Some(Arc::new(snapshot));
        self.reload_members();
    }
}
