//! Age of the calls that a core member makes for the leader.
//!
//! Answers a member that was paused, or a link that held frames up: the calls would be carried out
//! seconds later. A renewal that reaches the next life of a worker makes it forget ends that nobody
//! has seen, since the numbers of ends begin anew. The clocks of two daemons are not compared: a call
//! is as old as it took longer than the fastest one of the last minutes.

/// Oldest call that is carried out, in milliseconds. With the time in which the leader takes a worker
/// that answered for the same life, it stays below the time in which a worker crashes and returns.
const MAX_AGE_MS: i64 = 400;
/// Time after which an earlier fastest call counts no more, in milliseconds; clocks drift.
const WINDOW_MS: u64 = 60_000;

/// The fastest calls of the present leader. Times are in milliseconds of steady clocks.
#[derive(Debug, Default)]
pub struct CallAges {
    fence: u64,
    /// Smallest difference of the two clocks in the window before.
    earlier_ms: Option<i64>,
    /// Smallest difference in this window.
    present_ms: Option<i64>,
    window_begin_ms: u64,
}

impl CallAges {
    /// Returns whether a call is recent that the leader with a fencing token sent at `sent_ms` by its
    /// own clock. Calls of earlier leaders are not.
    pub fn is_recent(&mut self, now_ms: u64, fence: u64, sent_ms: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        if fence > self.fence {
            *self = Self {
                fence,
                window_begin_ms: now_ms,
                ..Self::default()
            };
        }
        if now_ms >= self.window_begin_ms + WINDOW_MS {
            self.earlier_ms = self.present_ms.take();
            self.window_begin_ms = now_ms;
        }
        let passed_ms = now_ms as i64 - sent_ms as i64;
        let present_ms = self.present_ms.map_or(passed_ms, |least| least.min(passed_ms));
        self.present_ms = Some(present_ms);
        let fastest_ms = self.earlier_ms.map_or(present_ms, |least| least.min(present_ms));
        passed_ms - fastest_ms <= MAX_AGE_MS
    }
}
