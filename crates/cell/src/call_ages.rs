//! Age check for the worker calls that a core member makes on behalf of the leader.
//!
//! Handles a paused member or a link that delays frames: without the check, the member would call
//! workers seconds after the leader asked for it. A renewal that reaches a worker after the worker has
//! restarted makes it forget ends that the leader has not seen, because a restarted worker numbers its
//! ends from 1 again. The clocks of two daemons have unrelated origins, so the age of a call is the
//! time by which its transfer exceeds that of the fastest call in the current and the previous window.

/// Maximum age of a call that is still made, in milliseconds. Together with the time for which the
/// leader assumes that a worker that answered has not restarted, it is shorter than the time that a
/// worker needs to crash and restart.
const MAX_CALL_AGE_MS: i64 = 400;
/// Length of a window in milliseconds. A minimum counts in its own window and the next one only, because
/// clocks drift.
const WINDOW_MS: u64 = 60_000;

/// Smallest clock differences among the calls of the current leader. All times are in milliseconds of
/// steady clocks.
#[derive(Debug, Default)]
pub struct CallAges {
    /// Highest fencing token seen.
    fence: u64,
    /// Smallest difference between receive and send time in the previous window.
    previous_min_ms: Option<i64>,
    /// Smallest difference between receive and send time in the current window.
    current_min_ms: Option<i64>,
    window_start_ms: u64,
}

impl CallAges {
    /// Returns whether a call that arrived at `now_ms` is recent enough to be made. `fence` is the
    /// fencing token of the leader that sent it, and `sent_ms` the send time by that leader's clock.
    /// Calls of replaced leaders are never recent.
    pub fn is_recent(&mut self, now_ms: u64, fence: u64, sent_ms: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        if fence > self.fence {
            *self = Self {
                fence,
                window_start_ms: now_ms,
                ..Self::default()
            };
        }
        if now_ms >= self.window_start_ms + WINDOW_MS {
            self.previous_min_ms = self.current_min_ms.take();
            self.window_start_ms = now_ms;
        }
        let difference_ms = now_ms as i64 - sent_ms as i64;
        let current_min_ms = self
            .current_min_ms
            .map_or(difference_ms, |min_ms| min_ms.min(difference_ms));
        self.current_min_ms = Some(current_min_ms);
        let min_ms = self
            .previous_min_ms
            .map_or(current_min_ms, |min_ms| min_ms.min(current_min_ms));
        difference_ms - min_ms <= MAX_CALL_AGE_MS
    }
}
