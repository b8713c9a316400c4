//! What the leader knows about a follower.

use {fuchsiatack_model::LogIndex, std::collections::VecDeque};

/// How entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mode {
    /// One append at a time until the follower's position is known.
    Probe,
    /// Several appends in flight.
    Replicate,
    /// Parts of the snapshot; `offset` is the next byte to send.
    Snapshot { index: LogIndex, offset: u64 },
}

/// Replication state of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest heartbeat round it answered.
    pub(crate) acknowledged_round: u64,
    /// When it last answered anything.
    pub(crate) heard_ms: u64,
    /// Last indices of the unanswered appends.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Last index that is synced on it.
    pub(crate) matching: LogIndex,
    pub(crate) mode: Mode,
    /// Next index to send.
    pub(crate) next: LogIndex,
    /// When an append or part was last sent or answered.
    pub(crate) sent_ms: u64,
    /// Whether a probe or snapshot part is unanswered.
    pub(crate) waiting: bool,
}

impl Progress {
    pub(crate) fn new(last: LogIndex, now_ms: u64) -> Self {
        Self {
            acknowledged_round: 0,
            heard_ms: now_ms,
            in_flight: VecDeque::new(),
            matching: LogIndex(0),
            mode: Mode::Probe,
            next: LogIndex(last.0 + 1),
            sent_ms: now_ms,
            waiting: false,
        }
    }

    /// Notes that the follower synced the log up to `index`.
    pub(crate) fn appended(&mut self, index: LogIndex, now_ms: u64) {
        self.sent_ms = now_ms;
        self.matching = self.matching.max(index);
        match self.mode {
            Mode::Probe => self.replicate(),
            Mode::Replicate => {
                while self.in_flight.front().is_some_and(|last| *last <= index) {
                    self.in_flight.pop_front();
                }
                self.next = self.next.max(LogIndex(self.matching.0 + 1));
            }
            Mode::Snapshot { index: snapshot, .. } if self.matching >= snapshot => self.replicate(),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Starts again from a position that may agree.
    pub(crate) fn probe(&mut self, next: LogIndex) {
        self.in_flight.clear();
        self.mode = Mode::Probe;
        self.next = next.max(LogIndex(self.matching.0 + 1));
        self.waiting = false;
    }

    /// Starts to send a snapshot.
    pub(crate) fn snapshot(&mut self, index: LogIndex) {
        self.in_flight.clear();
        self.mode = Mode::Snapshot { index, offset: 0 };
        self.waiting = false;
    }

    fn replicate(&mut self) {
        self.in_flight.clear();
        self.mode = Mode::Replicate;
        self.next = LogIndex(self.matching.0 + 1);
        self.waiting = false;
    }
}
