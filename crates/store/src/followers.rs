//! Daemons that follow the directory.

use {
    fuchsiatack_ledger::{AddressedChange, Audience, Change, Ledger},
    fuchsiatack_model::{LogIndex, SessionId},
    fuchsiatack_wire::{Frame, PeerCaller},
    std::collections::{HashMap, HashSet},
    tokio::sync::mpsc,
};

/// Time after which an index is pushed without changes, in milliseconds.
const IDLE_PUSH_MS: u64 = 500;

struct Follower {
    index: LogIndex,
    pushed_ms: u64,
    pushes: mpsc::Sender<Frame>,
}

impl Follower {
    /// Returns whether the follower keeps up.
    fn push(&mut self, now_ms: u64, changes: Vec<Change>, index: LogIndex, reset: bool) -> bool {
        self.index = index;
        self.pushed_ms = now_ms;
        let frame = Frame::Push {
            changes,
            index,
            reset,
        };
        self.pushes.try_send(frame).is_ok()
    }
}

/// The followers of this leader, by session. One whose queue is full is dropped, and its next
/// renewal is refused, so that it follows again.
#[derive(Default)]
pub(crate) struct Followers {
    dropped: HashSet<SessionId>,
    followers: HashMap<SessionId, Follower>,
}

impl Followers {
    /// Adds a follower and sends it the complete directory.
    pub(crate) fn add(
        &mut self,
        now_ms: u64,
        caller: PeerCaller,
        session: SessionId,
        index: LogIndex,
        ledger: &Ledger,
    ) -> bool {
        let mut follower = Follower {
            index,
            pushed_ms: now_ms,
            pushes: caller.frames,
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

    /// Returns whether the session followed and was dropped, and forgets it.
    pub(crate) fn take_dropped(&mut self, session: SessionId) -> bool {
        self.dropped.remove(&session)
    }

    /// Sends each follower the changes that are for it.
    pub(crate) fn push(&mut self, now_ms: u64, changes: &[AddressedChange], index: LogIndex) {
        if changes.is_empty() {
            return;
        }
        self.retain(|session, follower| {
            let own: Vec<_> = changes
                .iter()
                .filter(|change| is_for(change.audience, session))
                .map(|change| change.change.clone())
                .collect();
            own.is_empty() || follower.push(now_ms, own, index, false)
        });
    }

    /// Sends the index to followers that have not got one for a while.
    pub(crate) fn push_idle(&mut self, now_ms: u64, index: LogIndex) {
        self.retain(|_, follower| {
            let is_due = now_ms >= follower.pushed_ms + IDLE_PUSH_MS;
            follower.index >= index || !is_due || follower.push(now_ms, Vec::new(), index, false)
        });
    }

    /// Sends the index to one session if it has not got it. Its lease depends on it.
    pub(crate) fn push_index(&mut self, now_ms: u64, session: SessionId, index: LogIndex) {
        self.retain(|other, follower| {
            let is_due = other == session && follower.index < index;
            !is_due || follower.push(now_ms, Vec::new(), index, false)
        });
    }

    fn retain(&mut self, mut keeps_up: impl FnMut(SessionId, &mut Follower) -> bool) {
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
        Audience::Session(addressee) => addressee == session,
    }
}
