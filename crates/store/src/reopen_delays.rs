//! Delays between attempts to open the data folder again.

use std::time::{Duration, Instant};

const FIRST_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Time without a failure after which delays start from the first one again. A disk that fails soon
/// after each reopen, such as one that is almost full, keeps the longer delays.
const STABLE_TIME: Duration = Duration::from_secs(10);

/// Delays that double up to `MAX_DELAY`.
pub(crate) struct ReopenDelays {
    next: Duration,
    reopened_at: Option<Instant>,
}

impl Default for ReopenDelays {
    fn default() -> Self {
        Self {
            next: FIRST_DELAY,
            reopened_at: None,
        }
    }
}

impl ReopenDelays {
    /// Begins a series of attempts after a failure.
    pub(crate) fn begin(&mut self) {
        let was_stable = |reopened_at: Instant| reopened_at.elapsed() >= STABLE_TIME;
        if self.reopened_at.is_none_or(was_stable) {
            self.next = FIRST_DELAY;
        }
    }

    /// Ends a series with a successful attempt.
    pub(crate) fn end(&mut self) {
        self.reopened_at = Some(Instant::now());
    }

    /// Returns the delay before the next attempt.
    pub(crate) fn next(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay
    }
}
