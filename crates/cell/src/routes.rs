//! Choice of the daemon that calls a worker.
//!
//! Answers a cell of hundreds of workers, or a new leader with a backlog: the calls to workers take
//! most of the leader's processor time while the other core members are idle. Each core member calls
//! a part of the workers on behalf of the leader. The leader calls a worker itself while the cell is
//! small, and after a call through another member has failed.

use {
    fuchsiatack_model::WorkerName,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
    },
};

/// Workers up to which the leader calls all of them itself: a call through another member arrives
/// a millisecond later.
const DIRECT_WORKERS: usize = 100;
/// Time for which a member that failed is passed over, in milliseconds.
const MEMBER_PAUSE_MS: u64 = 3_000;
/// Time for which a worker is called directly after it did not answer through a member, in
/// milliseconds.
const WORKER_PAUSE_MS: u64 = 5_000;

/// Time after its last call from which a worker does not count any more, in milliseconds.
const WORKER_LIFETIME_MS: u64 = 10_000;

/// Which member calls which worker. Times are in milliseconds of a steady clock.
#[derive(Debug)]
pub struct Routes {
    /// When members answered last.
    answered_ms: HashMap<SocketAddr, u64>,
    /// When workers that were not called lately are left out next.
    cleaned_ms: u64,
    /// Workers that are called directly until then.
    direct_until_ms: HashMap<WorkerName, u64>,
    /// The core members other than this one.
    members: Vec<SocketAddr>,
    /// Address of this member.
    own: SocketAddr,
    /// Members that are passed over until then.
    paused_until_ms: HashMap<SocketAddr, u64>,
    /// Workers with the time of their last call.
    workers: HashMap<WorkerName, u64>,
}

impl Routes {
    /// Creates the routes of the member at an address.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            answered_ms: HashMap::new(),
            cleaned_ms: 0,
            direct_until_ms: HashMap::new(),
            members: Vec::new(),
            own,
            paused_until_ms: HashMap::new(),
            workers: HashMap::new(),
        }
    }

    /// Sets the core members.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = SocketAddr>) {
        self.members = members.into_iter().filter(|member| *member != self.own).collect();
    }

    /// Chooses the member that calls a worker; `None` is this one.
    pub fn choose(&mut self, now_ms: u64, worker: &WorkerName) -> Option<SocketAddr> {
        self.note_call(now_ms, worker);
        let is_paused = |until_ms: Option<&u64>| until_ms.is_some_and(|until_ms| now_ms < *until_ms);
        if self.workers.len() <= DIRECT_WORKERS || is_paused(self.direct_until_ms.get(worker)) {
            return None;
        }
        let usable = self.members.iter().copied();
        let usable = usable.filter(|member| !is_paused(self.paused_until_ms.get(member)));
        // The highest rank wins, so that a change of one member moves only its workers.
        let all = usable.chain(std::iter::once(self.own));
        let best = all.max_by_key(|member| rank(worker, *member));
        best.filter(|member| *member != self.own)
    }

    fn note_call(&mut self, now_ms: u64, worker: &WorkerName) {
        match self.workers.get_mut(worker) {
            Some(called_ms) => *called_ms = now_ms,
            None => {
                self.workers.insert(worker.clone(), now_ms);
            }
        }
        if now_ms >= self.cleaned_ms + WORKER_LIFETIME_MS {
            self.cleaned_ms = now_ms;
            self.workers
                .retain(|_, called_ms| now_ms < *called_ms + WORKER_LIFETIME_MS);
        }
    }

    /// Notes that a member has answered a call. Returns whether it had failed before.
    pub fn member_answered(&mut self, now_ms: u64, member: SocketAddr) -> bool {
        self.answered_ms.insert(member, now_ms);
        self.paused_until_ms.remove(&member).is_some()
    }

    /// Notes that a member did not answer a call that was sent at `sent_ms`. It has failed if it
    /// answered no other call since: a single answer may be late for want of processor time here.
    /// Returns whether it was in use before and is passed over now.
    pub fn member_unanswered(&mut self, now_ms: u64, sent_ms: u64, member: SocketAddr) -> bool {
        let answered_ms = self.answered_ms.get(&member).copied().unwrap_or(0);
        answered_ms <= sent_ms && self.member_failed(now_ms, member)
    }

    /// Notes that a member did not carry a call out. Returns whether it was in use before.
    pub fn member_failed(&mut self, now_ms: u64, member: SocketAddr) -> bool {
        let until_ms = self.paused_until_ms.insert(member, now_ms + MEMBER_PAUSE_MS);
        until_ms.is_none_or(|until_ms| now_ms >= until_ms)
    }

    /// Notes that a worker did not answer a call through a member.
    pub fn worker_failed(&mut self, now_ms: u64, worker: &WorkerName) {
        self.direct_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.direct_until_ms
            .insert(worker.clone(), now_ms + WORKER_PAUSE_MS);
    }
}

/// Rank of a member for a worker. Every daemon computes the same one, so that connections are kept
/// when the leader changes.
fn rank(worker: &WorkerName, member: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (worker.as_str(), member).hash(&mut hasher);
    hasher.finish()
}
