//! The lease of a session.

use {
    fuchsiatack_model::LogIndex,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// A renewal that the leader answered but whose commit index is not applied yet.
struct Renewed {
    commit: LogIndex,
    sent: Instant,
}

/// Lease that counts from when its holder sent the renewal.
pub(crate) struct Lease {
    duration: Duration,
    renewed: VecDeque<Renewed>,
    until: Option<Instant>,
}

impl Lease {
    pub(crate) fn new(duration: Duration) -> Self {
        Self {
            duration,
            renewed: VecDeque::new(),
            until: None,
        }
    }

    /// Forgets the lease, as when the session ended.
    pub(crate) fn clear(&mut self) {
        self.renewed.clear();
        self.until = None;
    }

    /// Notes an answered renewal. It extends the lease once `commit` is applied, since before
    /// that the holder may not know of a record that was withdrawn.
    pub(crate) fn renewed(&mut self, sent: Instant, commit: LogIndex, applied: LogIndex) {
        self.renewed.push_back(Renewed { commit, sent });
        self.applied(applied);
    }

    /// Extends the lease by the renewals whose commit index is applied.
    pub(crate) fn applied(&mut self, applied: LogIndex) {
        while let Some(renewed) = self.renewed.pop_front_if(|renewed| renewed.commit <= applied) {
            self.until = self.until.max(Some(renewed.sent + self.duration));
        }
    }

    /// Returns whether the lease holds at `now`.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
