//! Age check for the worker calls that a core member makes on behalf of the leader.
//!
//! Handles a paused member or a link that delays frames: without the check, the member would call
//! workers seconds after the leader requested the call. A renewal that reaches a worker after the worker has
//! restarted makes it forget ends that the leader has not seen, because a restarted worker numbers its
//! ends from 1 again. The clocks of two daemons have unrelated origins, so the age of a call is the
//! time by which its transfer exceeds that of the fastest call in the current and the previous window.

/// Maximum age of a call that is still made, in milliseconds. After a response of a worker, the leader
/// assumes for a time that the worker has not restarted (`SAME_INCARNATION_MS` of the planner). The sum
/// of both times is shorter than the time in which a worker can crash and restart.
const MAX_CALL_AGE_MS: i64 = 400;
/// Length of a window in milliseconds. A minimum counts in its own window and the next one only, because
/// clocks drift.
const WINDOW_MS: u64 = 60_000;

/// Smallest clock differences among the calls of the current leader. All times are in milliseconds
/// since the boot of a VM, as `steady_ms` returns them.
#[derive(Debug, Default)]
pub struct CallAges {
    /// Highest fencing token seen.
    fencing_token: u64,
    /// Smallest difference between receive and send time in the previous window.
    previous_min_ms: Option<i64>,
    /// Smallest difference between receive and send time in the current window.
    current_min_ms: Option<i64>,
    window_start_ms: u64,
}

impl CallAges {
    /// Returns whether a call that arrived at `now_ms` is recent enough to be made. `fencing_token` is the
    /// fencing token of the leader that sent it, and `sent_ms` the send time by that leader's clock.
    /// Calls of replaced leaders are never recent.
    pub fn is_recent(&mut self, now_ms: u64, fencing_token: u64, sent_ms: u64) -> bool {
        if fencing_token < self.fencing_token {
            return false;
        }
        if fencing_token > self.fencing_token {
            *self = Self {
                fencing_token,
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
