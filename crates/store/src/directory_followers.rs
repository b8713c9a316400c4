//! Daemons that receive directory changes from the leader.

use {
    fuchsiatack_ledger::{AddressedChange, Audience, Change, Ledger},
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_wire::{Frame, PeerCaller},
    std::collections::{HashMap, HashSet},
    tokio::sync::mpsc,
};

/// Interval in milliseconds after which a newer index is pushed to a follower without changes.
const IDLE_PUSH_MS: u64 = 500;

struct DirectoryFollower {
    index: LogIndex,
    pushed_ms: u64,
    frames: mpsc::Sender<Frame>,
}

impl DirectoryFollower {
    /// Queues a frame. Returns false if the follower's queue is full or its connection is closed.
    fn push(&mut self, now_ms: u64, changes: Vec<Change>, index: LogIndex, reset: bool) -> bool {
        self.index = index;
        self.pushed_ms = now_ms;
        let frame = Frame::Push {
            changes,
            index,
            reset,
        };
        self.frames.try_send(frame).is_ok()
    }
}

/// Directory followers of this leader, by session. A follower whose queue is full is dropped. Its
/// next renewal is rejected, so that it follows again and receives the complete directory.
#[derive(Default)]
pub(crate) struct DirectoryFollowers {
    dropped: HashSet<SessionId>,
    followers: HashMap<SessionId, DirectoryFollower>,
}

impl DirectoryFollowers {
    /// Adds a follower and sends it the complete directory. Returns false if its queue is full.
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        caller: PeerCaller,
        session: SessionId,
        index: LogIndex,
        ledger: &Ledger,
    ) -> bool {
        let mut follower = DirectoryFollower {
            index,
            pushed_ms: now_ms,
            frames: caller.frames,
        };
        let is_sent = follower.push(now_ms, ledger.directory(session), index, true);
        if is_sent {
            self.dropped.remove(&session);
            self.followers.insert(session, follower);
        }
        is_sent
    }

    pub(crate) fn clear(&mut self) {
        self.dropped.clear();
        self.followers.clear();
    }

    /// Returns whether the session's follower was dropped, and clears that state.
    pub(crate) fn take_dropped(&mut self, session: SessionId) -> bool {
        self.dropped.remove(&session)
    }

    /// Sends each follower the changes whose audience includes its session.
    pub(crate) fn push(&mut self, now_ms: u64, changes: &[AddressedChange], index: LogIndex) {
        if changes.is_empty() {
            return;
        }
        self.retain(|session, follower| {
            let relevant: Vec<_> = changes
                .iter()
                .filter(|change| is_for(change.audience, session))
                .map(|change| change.change.clone())
                .collect();
            relevant.is_empty() || follower.push(now_ms, relevant, index, false)
        });
    }

    /// Sends the index to followers with an older one that received nothing for `IDLE_PUSH_MS`.
    pub(crate) fn push_idle(&mut self, now_ms: u64, index: LogIndex) {
        self.retain(|_, follower| {
            let is_due = now_ms >= follower.pushed_ms + IDLE_PUSH_MS;
            follower.index >= index || !is_due || follower.push(now_ms, Vec::new(), index, false)
        });
    }

    /// Sends the index to one session if it has an older one, because the session's lease depends
    /// on the index.
    pub(crate) fn push_index(&mut self, now_ms: u64, session: SessionId, index: LogIndex) {
        self.retain(|other, follower| {
            let is_due = other == session && follower.index < index;
            !is_due || follower.push(now_ms, Vec::new(), index, false)
        });
    }

    fn retain(&mut self, mut keeps_up: impl FnMut(SessionId, &mut DirectoryFollower) -> bool) {
        let dropped = &mut self.dropped;
        self.followers.retain(|session, follower| {
            let is_kept = keeps_up(*session, follower);
            if !is_kept {
                dropped.insert(*session);
            }
            is_kept
        });
    }
}

fn is_for(audience: Audience, session: SessionId) -> bool {
    match audience {
        Audience::All => true,
        Audience::Session(recipient) => recipient == session,
    }
}
