//! Assignment of workers to the core members that call them.
//!
//! Handles a cell of hundreds of workers, and a new leader with a backlog: calls to workers would take
//! most of the leader's processor time while the other core members are idle. Each core member
//! therefore calls a part of the workers on behalf of the leader. The leader calls a worker directly
//! while the cell is small, and for a time after a call through another member has failed.

use {
    fuchsiatack_model::WorkerName,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
    },
};

/// Largest number of workers for which the leader makes all calls directly. A call through another
/// member arrives 1 ms later.
const MAX_DIRECT_WORKERS: usize = 100;
/// Time for which a member gets no calls after a failed call, in milliseconds.
const MEMBER_PAUSE_MS: u64 = 3_000;
/// Time for which a worker is called directly after it did not respond to a call through a member, in
/// milliseconds.
const WORKER_PAUSE_MS: u64 = 5_000;

/// Time after the last call to a worker until it is removed from the routes, in milliseconds.
const WORKER_RETENTION_MS: u64 = 10_000;

/// Assignment of workers to core members. All times are in milliseconds since the boot of the VM, as
/// `steady_ms` returns them.
#[derive(Debug)]
pub struct Routes {
    /// Time of the last response of each member.
    last_response_ms: HashMap<SocketAddr, u64>,
    /// Time when workers without recent calls were last removed.
    last_cleanup_ms: u64,
    /// End of the period in which a worker is called directly.
    direct_until_ms: HashMap<WorkerName, u64>,
    /// Addresses of the other core members.
    members: Vec<SocketAddr>,
    /// Peer address of this member.
    own_address: SocketAddr,
    /// End of the pause in which a member gets no calls.
    paused_until_ms: HashMap<SocketAddr, u64>,
    /// Time of the last call to each worker.
    last_call_ms: HashMap<WorkerName, u64>,
}

impl Routes {
    /// Creates the routes of the member with this peer address.
    pub fn new(own_address: SocketAddr) -> Self {
        Self {
            last_response_ms: HashMap::new(),
            last_cleanup_ms: 0,
            direct_until_ms: HashMap::new(),
            members: Vec::new(),
            own_address,
            paused_until_ms: HashMap::new(),
            last_call_ms: HashMap::new(),
        }
    }

    /// Sets the peer addresses of the core members; the own address is ignored.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = SocketAddr>) {
        self.members = members
            .into_iter()
            .filter(|member| *member != self.own_address)
            .collect();
    }

    /// Chooses the member that calls a worker and records the call, among the members in `responsive`. Returns
    /// `None` if this member calls the worker directly.
    ///
    /// A new leader does not know which members were lost with the earlier one. A call through a lost one
    /// fails only after its timeout, and keeps the reports of its workers waiting until then.
    pub fn choose(
        &mut self,
        now_ms: u64,
        worker: &WorkerName,
        responsive: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.record_call(now_ms, worker);
        let is_paused = |until_ms: Option<&u64>| until_ms.is_some_and(|until_ms| now_ms < *until_ms);
        if self.last_call_ms.len() <= MAX_DIRECT_WORKERS || is_paused(self.direct_until_ms.get(worker)) {
            return None;
        }
        let available = self.members.iter().copied();
        let available = available
            .filter(|member| responsive.contains(member) && !is_paused(self.paused_until_ms.get(member)));
        // The member with the highest rank is chosen (rendezvous hashing), so that a change of one member
        // reassigns only its workers.
        let candidates = available.chain(std::iter::once(self.own_address));
        let best = candidates.max_by_key(|member| rank(worker, *member));
        best.filter(|member| *member != self.own_address)
    }

    fn record_call(&mut self, now_ms: u64, worker: &WorkerName) {
        match self.last_call_ms.get_mut(worker) {
            Some(called_ms) => *called_ms = now_ms,
            None => {
                self.last_call_ms.insert(worker.clone(), now_ms);
            }
        }
        if now_ms >= self.last_cleanup_ms + WORKER_RETENTION_MS {
            self.last_cleanup_ms = now_ms;
            self.last_call_ms
                .retain(|_, called_ms| now_ms < *called_ms + WORKER_RETENTION_MS);
        }
    }

    /// Records that a member responded to a call, and ends its pause. Returns whether it had failed
    /// since its previous response.
    pub fn member_answered(&mut self, now_ms: u64, member: SocketAddr) -> bool {
        self.last_response_ms.insert(member, now_ms);
        self.paused_until_ms.remove(&member).is_some()
    }

    /// Records that a member did not respond to a call that was sent at `sent_ms`. The member is paused
    /// only if it has responded to no other call since, because a single response may be read late when
    /// this daemon lacks processor time. Returns whether the member is paused now and was not before.
    pub fn member_unanswered(&mut self, now_ms: u64, sent_ms: u64, member: SocketAddr) -> bool {
        let responded_ms = self.last_response_ms.get(&member).copied().unwrap_or(0);
        responded_ms <= sent_ms && self.member_failed(now_ms, member)
    }

    /// Pauses a member after a failed call. Returns whether it was not paused before.
    pub fn member_failed(&mut self, now_ms: u64, member: SocketAddr) -> bool {
        let until_ms = self.paused_until_ms.insert(member, now_ms + MEMBER_PAUSE_MS);
        until_ms.is_none_or(|until_ms| now_ms >= until_ms)
    }

    /// Records that a worker did not respond to a call through a member. It is then called directly for
    /// `WORKER_PAUSE_MS`.
    pub fn worker_failed(&mut self, now_ms: u64, worker: &WorkerName) {
        self.direct_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.direct_until_ms
            .insert(worker.clone(), now_ms + WORKER_PAUSE_MS);
    }
}

/// Returns the rank of a member for a worker. All daemons compute the same rank, so that members keep
/// their connections to workers when the leader changes.
fn rank(worker: &WorkerName, member: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (worker.as_str(), member).hash(&mut hasher);
    hasher.finish()
}
