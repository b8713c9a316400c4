//! Node part of the runtime: messages, syncs, applied entries and snapshots.

use {
    crate::{
        event::Event, failure::FailureKind, runtime::Runtime, work_metrics::WorkKind, writer::WriteRequest,
    },
    fuchsiatack_consensus::{Entry, Envelope, Payload, Ready, Role, Snapshot},
    fuchsiatack_ledger::{AddressedChange, Command, Ledger, Reply},
    std::{
        sync::{Arc, PoisonError},
        time::Instant,
    },
};

impl Runtime {
    /// Processes the node's pending work until there is none, then sends the finished responses.
    pub(crate) fn advance(&mut self) {
        if self.failure.is_none() && !self.forming {
            self.update_leadership();
            self.confirm_reads();
            self.propose_jobs();
            loop {
                let ready = self.node.take_ready();
                if ready.is_empty() {
                    break;
                }
                self.process_ready(ready);
                self.update_leadership();
            }
            self.take_snapshot();
            self.run_effects();
        }
        if !self.needs_polling(self.now_ms())
            && let Some(formation) = self.formation.take()
        {
            formation.abort();
        }
        self.update_status();
        // The status must include a command before its caller receives the response.
        for (responder, response) in self.responses.drain(..) {
            let _ = responder.send(response);
        }
    }

    /// Records work that began at `started_at` and has ended now, if the store has a job planner.
    pub(crate) fn record_work(&self, kind: WorkKind, started_at: Instant) {
        if let Some(settings) = &self.settings.jobs {
            settings.record_work(kind, started_at, None);
        }
    }

    /// Requests a leadership confirmation for the reads received since the last one.
    ///
    /// Each confirmation is a round of heartbeats. If only renewals wait, at most one is requested
    /// per heartbeat interval, so that renewals cost no messages beyond those of an idle leader.
    pub(crate) fn confirm_reads(&mut self) {
        let now_ms = self.now_ms();
        let is_urgent = self.calls.has_urgent_reads() || self.stop_due_ms.is_some();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !is_urgent && now_ms < leadership.confirmation_due_ms {
            return;
        }
        if let Some(token) = self.calls.next_token() {
            leadership.confirmation_due_ms = now_ms + self.settings.heartbeat_ms;
            // `leadership` is `None` unless the node leads, so this cannot fail.
            let _ = self.node.confirm_leadership(token);
        }
    }

    pub(crate) fn process_ready(&mut self, mut ready: Ready) {
        let immediate = std::mem::take(&mut ready.immediate);
        let committed = std::mem::take(&mut ready.committed);
        let confirmed = std::mem::take(&mut ready.confirmed);
        let installed = ready.snapshot.clone().filter(|_| ready.install_snapshot);
        let has_members = |entry: &Arc<Entry>| matches!(entry.payload, Payload::Members(_));
        if installed.is_some() || ready.entries.iter().any(has_members) {
            self.peers.set_addresses(self.node.members());
        }
        self.send_all(immediate);
        if ready.needs_sync() || !ready.after_sync.is_empty() {
            self.writer.push(WriteRequest::Persist(Box::new(ready)));
        }
        if let Some(snapshot) = installed {
            let started_at = Instant::now();
            self.install(&snapshot);
            self.record_work(WorkKind::Install, started_at);
        }
        if !committed.is_empty() {
            let started_at = Instant::now();
            self.apply(committed);
            self.record_work(WorkKind::Apply, started_at);
        }
        for token in confirmed {
            for read in self.calls.take_confirmed(token) {
                self.respond_to_read(read);
            }
        }
    }

    pub(crate) fn send_all(&mut self, messages: Vec<Envelope>) {
        for message in messages {
            self.peers.send(message);
        }
    }

    pub(crate) fn install(&mut self, snapshot: &Snapshot) {
        match decode_ledger(Some(snapshot)) {
            Ok(ledger) => {
                self.ledger = ledger;
                self.snapshot = snapshot.index;
            }
            Err(error) => self.fail(FailureKind::State, error.to_string()),
        }
    }

    pub(crate) fn apply(&mut self, entries: Vec<Arc<Entry>>) {
        let Some(last) = entries.last().map(|entry| entry.index) else {
            return;
        };
        let mut changes = Vec::new();
        for entry in entries {
            if self.failure.is_some() {
                return;
            }
            let reply = match &entry.payload {
                Payload::Command(command) => self.apply_command(&entry, command, &mut changes),
                Payload::Members(_) => Reply::Applied,
            };
            let response = self.calls.complete_proposal(entry.index, entry.term, reply);
            self.responses.extend(response);
        }
        let now_ms = self.now_ms();
        self.followers.push(now_ms, &changes, last);
    }

    pub(crate) fn apply_command(
        &mut self,
        entry: &Entry,
        command: &[u8],
        changes: &mut Vec<AddressedChange>,
    ) -> Reply {
        if command.is_empty() {
            return Reply::Applied;
        }
        self.snapshot_lag_bytes += command.len() as u64;
        match postcard::from_bytes(command) {
            Ok(Command::Noop) => Reply::Applied,
            Ok(command) => {
                let applied = self.ledger.apply(entry.index, command);
                changes.extend(applied.changes);
                applied.reply
            }
            Err(error) => {
                // Skipping the entry would make this member's state differ from the others'.
                let cause = format!("entry {} cannot be decoded: {error}", entry.index.0);
                self.fail(FailureKind::State, cause);
                Reply::Applied
            }
        }
    }

    pub(crate) fn take_snapshot(&mut self) {
        let applied = self.node.applied();
        let is_due = applied.0 >= self.snapshot.0 + self.settings.snapshot_entries
            || self.snapshot_lag_bytes >= self.settings.snapshot_bytes;
        if !is_due || self.snapshot_running {
            return;
        }
        self.snapshot = applied;
        self.snapshot_lag_bytes = 0;
        self.snapshot_running = true;
        let started_at = Instant::now();
        let ledger = self.ledger.clone();
        self.record_work(WorkKind::Snapshot, started_at);
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            let data = encode_ledger(&ledger);
            let _ = events.send(Event::SnapshotEncoded { data, index: applied });
        });
    }

    pub(crate) fn update_status(&self) {
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.applied = self.node.applied();
        status.commit = self.node.commit();
        status.disk_failure = self.failure.as_ref().map(|failure| failure.cause.clone());
        status.formed = self.node.is_formed();
        status.leader = self.leader_address();
        status.role = match self.failure {
            Some(_) => Role::Follower,
            None => self.node.role(),
        };
        status.term = self.node.term();
        status.voters_in_contact = match (&self.failure, self.node.role()) {
            (None, Role::Leader) => Some(self.voters_in_contact(self.now_ms()).count()),
            _ => None,
        };
        if status.members != self.node.members() {
            status.members = self.node.members().to_vec();
        }
        if !self
            .responsive_members()
            .eq(status.responsive_members.iter().copied())
        {
            status.responsive_members = self.responsive_members().collect();
        }
    }
}

fn encode_ledger(ledger: &Ledger) -> Vec<u8> {
    ledger.encode_snapshot().unwrap_or_default()
}

pub(crate) fn decode_ledger(snapshot: Option<&Snapshot>) -> Result<Ledger, postcard::Error> {
    match snapshot {
        Some(snapshot) if !snapshot.data.is_empty() => Ledger::decode_snapshot(&snapshot.data),
        _ => Ok(Ledger::default()),
    }
}
