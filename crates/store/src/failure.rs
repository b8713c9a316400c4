//! Failures, after which the member takes part in nothing, and the recovery from them.

use {
    crate::{
        runtime::{Runtime, node_settings},
        runtime_node::decode_ledger,
        writer::WriteRequest,
    },
    fuchsiatack_consensus::{Node, StoredState},
    fuchsiatack_jobs::LogEvent,
};

/// What a failure concerns, which decides whether the member recovers from it by itself.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum FailureKind {
    /// A write or sync failed. The folder is opened again, as at a start of the process.
    Disk,
    /// A replicated entry or a snapshot cannot be decoded. Reading it again would fail again, so the
    /// member takes no part until a process that can decode it is started.
    State,
}

pub(crate) struct Failure {
    pub(crate) cause: String,
    failed_ms: u64,
    kind: FailureKind,
    /// Attempts to open the folder again that failed.
    reopen_failures: u64,
    /// Error of the last of these attempts.
    reopen_error: String,
}

impl Runtime {
    /// Ends the member's part in everything. The first failure is kept, but for a failure of the disk
    /// that a failure of the state follows.
    pub(crate) fn fail(&mut self, kind: FailureKind, cause: String) {
        self.log(
            LogEvent::new("store member failed")
                .with("cause", &cause)
                .with("role", format!("{:?}", self.node.role()).to_lowercase())
                .with("term", self.node.term().0)
                .with("last", self.node.last().0),
        );
        let is_permanent = |failure: &Failure| failure.kind == FailureKind::State;
        if !self.failure.as_ref().is_some_and(is_permanent) {
            self.failure = Some(Failure {
                cause,
                failed_ms: self.now_ms(),
                kind,
                reopen_failures: 0,
                reopen_error: String::new(),
            });
        }
        self.end_leadership();
    }

    /// Counts a failed attempt to open the folder again, and logs its error if it is a new one.
    pub(crate) fn handle_reopen_failed(&mut self, error: String) {
        let now_ms = self.now_ms();
        let Some(failure) = &mut self.failure else {
            return;
        };
        failure.reopen_failures += 1;
        if failure.reopen_error == error {
            return;
        }
        let event = LogEvent::new("store member cannot reopen its data folder; retrying")
            .with("cause", &error)
            .with("age_ms", now_ms - failure.failed_ms)
            .with("attempts", failure.reopen_failures);
        failure.reopen_error = error;
        self.log(event);
    }

    /// Starts again from the stored state, as at a start of the process.
    pub(crate) fn handle_reopened(&mut self, stored: StoredState) {
        let Some(failure) = self.failure.take_if(|failure| failure.kind == FailureKind::Disk) else {
            return;
        };
        match decode_ledger(stored.snapshot.as_deref()) {
            Ok(ledger) => self.ledger = ledger,
            Err(error) => {
                self.fail(FailureKind::State, error.to_string());
                return;
            }
        }
        let snapshot = stored.snapshot.as_ref().map(|snapshot| snapshot.index);
        self.snapshot = snapshot.unwrap_or_default();
        self.snapshot_lag_bytes = 0;
        self.forming = false;
        self.node = Node::new(node_settings(&self.settings, self.identity), stored);
        // A leader's lease may depend on a heartbeat that the member acknowledged in a term that it
        // could not store.
        self.node.withhold_votes();
        self.peers.set_addresses(self.node.members());
        // The member list may have been in the entries or the snapshot that were not stored.
        if !self.node.is_formed() && self.formation.is_none() {
            self.start_formation();
        }
        self.writer.push(WriteRequest::Resume);
        self.log(
            LogEvent::new("store member recovered")
                .with("cause", &failure.cause)
                .with("age_ms", self.now_ms() - failure.failed_ms)
                .with("attempts", failure.reopen_failures + 1)
                .with("term", self.node.term().0)
                .with("last", self.node.last().0),
        );
    }
}
