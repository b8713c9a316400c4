//! Replication progress of a follower, as the leader tracks it.

use {fuchsiatack_model::LogIndex, std::collections::VecDeque};

/// Flow control of the appends to a follower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mode {
    /// One append at a time, until the leader knows where the logs match.
    Probe,
    /// Up to `NodeSettings::max_in_flight` appends in flight.
    Replicate,
    /// One snapshot part at a time; `offset` is the next byte to send.
    Snapshot { index: LogIndex, offset: u64 },
}

/// Replication state of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Highest heartbeat round that it acknowledged.
    pub(crate) acknowledged_round: u64,
    /// Time at which its last message arrived; that of the election or of its addition before the first one.
    pub(crate) last_contact_ms: u64,
    /// Whether a message of it has arrived since the election, or it voted for this leader.
    pub(crate) has_responded: bool,
    /// Last index of each append that has no reply yet, in the order of sending.
    pub(crate) in_flight: VecDeque<LogIndex>,
    /// Last index that is synced on it.
    pub(crate) matching: LogIndex,
    pub(crate) mode: Mode,
    /// Index of the next entry to send.
    pub(crate) next: LogIndex,
    /// Time of the last append to a follower without appends in flight, of the last snapshot part,
    /// or of the last reply to either. The leader resends after the longest election timeout.
    pub(crate) last_exchange_ms: u64,
    /// Whether a probe or snapshot part has no reply yet.
    pub(crate) awaits_reply: bool,
}

impl Progress {
    pub(crate) fn new(last: LogIndex, now_ms: u64) -> Self {
        Self {
            acknowledged_round: 0,
            last_contact_ms: now_ms,
            has_responded: false,
            in_flight: VecDeque::new(),
            matching: LogIndex(0),
            mode: Mode::Probe,
            next: LogIndex(last.0 + 1),
            last_exchange_ms: now_ms,
            awaits_reply: false,
        }
    }

    /// Records that the follower has synced the log up to `index`.
    pub(crate) fn record_match(&mut self, index: LogIndex, now_ms: u64) {
        self.last_exchange_ms = now_ms;
        self.matching = self.matching.max(index);
        match self.mode {
            Mode::Probe => self.start_replicate(),
            Mode::Replicate => {
                while self.in_flight.front().is_some_and(|last| *last <= index) {
                    self.in_flight.pop_front();
                }
                self.next = self.next.max(LogIndex(self.matching.0 + 1));
            }
            Mode::Snapshot { index: snapshot, .. } if self.matching >= snapshot => self.start_replicate(),
            Mode::Snapshot { .. } => {}
        }
    }

    /// Switches to `Probe` from an index at which the logs may match.
    pub(crate) fn start_probe(&mut self, next: LogIndex) {
        self.in_flight.clear();
        self.mode = Mode::Probe;
        self.next = next.max(LogIndex(self.matching.0 + 1));
        self.awaits_reply = false;
    }

    /// Switches to `Snapshot` from the first byte.
    pub(crate) fn start_snapshot(&mut self, index: LogIndex) {
        self.in_flight.clear();
        self.mode = Mode::Snapshot { index, offset: 0 };
        self.awaits_reply = false;
    }

    fn start_replicate(&mut self) {
        self.in_flight.clear();
        self.mode = Mode::Replicate;
        self.next = LogIndex(self.matching.0 + 1);
        self.awaits_reply = false;
    }
}
