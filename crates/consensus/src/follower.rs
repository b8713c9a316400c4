//! Replication on the side of a follower.

use {
    crate::{Body, Entry, MemberId, Node, Payload, Snapshot, Term, log::Log},
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

/// Parts of a snapshot that is being received.
pub(crate) struct Incoming {
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
        self.stable = self.stable.min(self.log.last());
        self.unsaved = self.unsaved.min(from);
        if self.members_index >= from {
            self.reload_members();
        }
    }

    /// Returns the last index before the conflicting term, so that the leader skips a whole term
    /// with each rejection.
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

    pub(crate) fn handle_part(&mut self, from: MemberId, part: Body) {
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

    pub(crate) fn install(&mut self, snapshot: Snapshot) {
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
}
