//! Lease of a session, extended by renewals once the daemon has applied their commit index.

use {
    fuchsiatack_model::LogIndex,
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// A successful renewal whose commit index is not applied yet.
struct PendingRenewal {
    commit: LogIndex,
    sent: Instant,
}

/// Lease that runs from the time at which its holder sent the renewal.
pub(crate) struct Lease {
    duration: Duration,
    pending: VecDeque<PendingRenewal>,
    /// End of the lease; `None` before the first renewal and after the session ended.
    valid_until: Option<Instant>,
}

impl Lease {
    pub(crate) fn new(duration: Duration) -> Self {
        Self {
            duration,
            pending: VecDeque::new(),
            valid_until: None,
        }
    }

    /// Ends the lease and drops pending renewals, e.g. when the session ended.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.valid_until = None;
    }

    /// Adds a successful renewal. It extends the lease once `commit` is applied, since until then
    /// the holder may still use a record that was deleted.
    pub(crate) fn add_renewal(&mut self, sent: Instant, commit: LogIndex, applied: LogIndex) {
        self.pending.push_back(PendingRenewal { commit, sent });
        self.extend(applied);
    }

    /// Extends the lease by the pending renewals whose commit index is at most `applied`.
    pub(crate) fn extend(&mut self, applied: LogIndex) {
        while let Some(renewal) = self.pending.pop_front_if(|renewal| renewal.commit <= applied) {
            self.valid_until = self.valid_until.max(Some(renewal.sent + self.duration));
        }
    }

    /// Returns whether the lease is valid at `now`.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|valid_until| now < valid_until)
    }
}
