//! Progress of one connection.

use {
    crate::{HttpLimits, Limit, Reservation, budget::Budget},
    std::{
        future::poll_fn,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Poll, Waker},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Length of a request head in bytes that `CONNECTION_BYTES` covers.
const COVERED_HEAD_BYTES: usize = 8 << 10;
const MILLIS_PER_SECOND: u64 = 1_000;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Body,
    Handling,
    Head,
    Idle,
    Response,
}

/// What a connection waits for, and for how long in milliseconds.
pub(crate) enum Stall {
    /// Its request is being handled, which does not depend on the client.
    Handling,
    /// The client's next request.
    Idle(u64),
    /// The client, which has to send or read more.
    Transfer(u64),
}

struct Progress {
    has_long_head: bool,
    last_ms: u64,
    phase: Phase,
    /// Bytes received in the present phase.
    phase_bytes: u64,
    phase_since_ms: u64,
    requests_since_read: usize,
    /// Reserved bytes of responses that are not yet written.
    response_bytes: usize,
    /// Start in milliseconds and bytes of the writes since the client has stopped reading.
    slow_write: Option<(u64, u64)>,
    is_write_blocked: bool,
    waker: Option<Waker>,
}

/// An open connection of a server.
pub struct Connection {
    pub(crate) budget: Arc<Budget>,
    closed: Notify,
    pub(crate) id: u64,
    is_refused: bool,
    progress: Mutex<Progress>,
}

impl Connection {
    pub(crate) fn new(budget: Arc<Budget>, id: u64, is_refused: bool) -> Self {
        let now_ms = budget.now_ms();
        Self {
            budget,
            closed: Notify::new(),
            id,
            is_refused,
            progress: Mutex::new(Progress {
                has_long_head: false,
                last_ms: now_ms,
                phase: Phase::Idle,
                phase_bytes: 0,
                phase_since_ms: now_ms,
                requests_since_read: 0,
                response_bytes: 0,
                slow_write: None,
                is_write_blocked: false,
                waker: None,
            }),
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the connection was opened over the limit, so that its request is refused.
    pub fn is_refused(&self) -> bool {
        self.is_refused
    }

    /// Reserves bytes. `None` if the budget of the server is used up.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let has_room = bytes == 0 || self.budget.reserve(self.id, bytes);
        has_room.then(|| Reservation {
            bytes,
            connection: self.clone(),
        })
    }

    /// Counts a limit that the client reached.
    pub fn reached(&self, limit: Limit) {
        self.budget.reached(limit);
    }

    /// Reserves bytes that are held already, also beyond the budget.
    pub(crate) fn reserve_anyway(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.budget.reserve_anyway(self.id, bytes);
        Reservation {
            bytes,
            connection: self.clone(),
        }
    }

    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    fn enter(&self, phase: Phase) {
        let now_ms = self.budget.now_ms();
        let mut progress = self.progress();
        progress.last_ms = now_ms;
        progress.phase = phase;
        progress.phase_bytes = 0;
        progress.phase_since_ms = now_ms;
    }

    /// Records received bytes. `false` if the budget does not allow a head of this length.
    pub(crate) fn received(&self, bytes: usize) -> bool {
        if matches!(self.progress().phase, Phase::Idle) {
            self.enter(Phase::Head);
        }
        let now_ms = self.budget.now_ms();
        let mut progress = self.progress();
        progress.last_ms = now_ms;
        progress.phase_bytes += bytes as u64;
        progress.requests_since_read = 0;
        let is_long = progress.phase == Phase::Head && progress.phase_bytes > COVERED_HEAD_BYTES as u64;
        if !is_long || progress.has_long_head {
            return true;
        }
        drop(progress);
        let has_room = self.budget.reserve(self.id, self.long_head_bytes());
        self.progress().has_long_head = has_room;
        has_room
    }

    fn long_head_bytes(&self) -> usize {
        let max_head_bytes = self.budget.limits.max_head_bytes;
        max_head_bytes.saturating_sub(COVERED_HEAD_BYTES)
    }

    /// Records a write that took `bytes`, or none since the client does not read.
    pub(crate) fn wrote(&self, bytes: Option<usize>) {
        let now_ms = self.budget.now_ms();
        let mut progress = self.progress();
        match bytes {
            None => {
                progress.is_write_blocked = true;
                progress.slow_write.get_or_insert((now_ms, 0));
            }
            Some(bytes) => {
                progress.is_write_blocked = false;
                progress.last_ms = now_ms;
                if let Some((_, written)) = &mut progress.slow_write {
                    *written += bytes as u64;
                }
                let waker = progress.waker.take();
                drop(progress);
                if let Some(waker) = waker {
                    waker.wake();
                }
            }
        }
    }

    /// Records that all responses so far are written.
    pub(crate) fn flushed(&self) {
        let mut progress = self.progress();
        progress.slow_write = None;
        if progress.phase != Phase::Response {
            return;
        }
        let mut bytes = std::mem::take(&mut progress.response_bytes);
        if std::mem::take(&mut progress.has_long_head) {
            bytes += self.long_head_bytes();
        }
        drop(progress);
        if bytes > 0 {
            self.budget.release(self.id, bytes);
        }
        self.enter(Phase::Idle);
    }

    /// Waits until the client has read the responses before this request. Returns whether it has sent more
    /// requests at once than the limit.
    pub(crate) async fn begin_request(&self) -> bool {
        self.enter(Phase::Handling);
        poll_fn(|context| {
            let mut progress = self.progress();
            match progress.is_write_blocked {
                false => Poll::Ready(()),
                true => {
                    progress.waker = Some(context.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await;
        let mut progress = self.progress();
        progress.requests_since_read += 1;
        progress.requests_since_read > self.budget.limits.max_pipelined
    }

    pub(crate) fn begin_body(&self) {
        self.enter(Phase::Body);
    }

    pub(crate) fn end_body(&self) {
        self.enter(Phase::Handling);
    }

    /// Takes over the reserved bytes of a response that is about to be written.
    pub(crate) fn begin_response(&self, bytes: usize) {
        self.progress().response_bytes += bytes;
        self.enter(Phase::Response);
    }

    pub(crate) fn is_handling(&self) -> bool {
        let progress = self.progress();
        progress.phase == Phase::Handling && !progress.is_write_blocked
    }

    pub(crate) fn stall(&self, now_ms: u64) -> Stall {
        let progress = self.progress();
        let stalled_ms = now_ms.saturating_sub(progress.last_ms);
        match progress.phase {
            _ if progress.is_write_blocked => Stall::Transfer(stalled_ms),
            Phase::Handling => Stall::Handling,
            Phase::Idle => Stall::Idle(stalled_ms),
            Phase::Body | Phase::Head | Phase::Response => Stall::Transfer(stalled_ms),
        }
    }

    /// Returns the limit in time or rate that the client has reached.
    pub(crate) fn slow_limit(&self, now_ms: u64, limits: &HttpLimits) -> Option<Limit> {
        let progress = self.progress();
        let elapsed_ms = now_ms.saturating_sub(progress.phase_since_ms);
        let is_slow = |elapsed_ms: u64, bytes: u64, bytes_per_s: u64| {
            elapsed_ms > millis(limits.rate_grace) && bytes < elapsed_ms * bytes_per_s / MILLIS_PER_SECOND
        };
        if let Some((since_ms, bytes)) = progress.slow_write
            && is_slow(
                now_ms.saturating_sub(since_ms),
                bytes,
                limits.response_bytes_per_s,
            )
        {
            return Some(Limit::ResponseRate);
        }
        match progress.phase {
            Phase::Body => {
                is_slow(elapsed_ms, progress.phase_bytes, limits.body_bytes_per_s).then_some(Limit::BodyRate)
            }
            Phase::Head => (elapsed_ms > millis(limits.head_timeout)).then_some(Limit::HeadTime),
            Phase::Idle => (elapsed_ms > millis(limits.idle_timeout)).then_some(Limit::IdleTime),
            Phase::Handling | Phase::Response => None,
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
