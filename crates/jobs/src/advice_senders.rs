//! Selects the daemons that send advice requests on behalf of the leader.
//!
//! The advice service handles one request at a time for each calling VM, and a request for a slow
//! queue takes a large part of a second. Requests are therefore spread over all daemons, and some
//! daemons take no slow requests, so that fast requests never wait behind slow ones.

use {
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Response time above which an advice request counts as slow, in milliseconds.
const SLOW_REQUEST_MS: u64 = 150;
/// One daemon in this many takes no slow requests.
const FAST_DAEMON_DIVISOR: usize = 4;
/// Time after its last announcement for which a daemon receives requests, in milliseconds.
const ANNOUNCEMENT_LIFETIME_MS: u64 = 2_500;
/// Time for which a daemon receives no requests after one of its requests failed, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct AdviceSender {
    busy_until_ms: u64,
    last_announced_ms: u64,
    name: SmolStr,
    paused_until_ms: u64,
}

/// Known daemons by peer address; `None` is the leader itself.
#[derive(Clone, Debug)]
pub(crate) struct AdviceSenders {
    all: BTreeMap<Option<SocketAddr>, AdviceSender>,
}

impl AdviceSenders {
    pub(crate) fn new() -> Self {
        let own = AdviceSender {
            busy_until_ms: 0,
            last_announced_ms: u64::MAX,
            name: SmolStr::default(),
            paused_until_ms: 0,
        };
        Self {
            all: BTreeMap::from([(None, own)]),
        }
    }

    /// Records an announcement of a daemon. Returns whether the daemon is new.
    pub(crate) fn announce(&mut self, now_ms: u64, address: SocketAddr, name: &SmolStr) -> bool {
        let is_new = !self.all.contains_key(&Some(address));
        let sender = self.all.entry(Some(address)).or_insert_with(|| AdviceSender {
            busy_until_ms: 0,
            last_announced_ms: now_ms,
            name: name.clone(),
            paused_until_ms: 0,
        });
        sender.last_announced_ms = now_ms;
        sender.name = name.clone();
        is_new
    }

    /// Removes a daemon that has begun a planned stop.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.all.remove(&Some(address));
    }

    /// Chooses the daemon for a request with the expected response time `response_ms`, and adds the
    /// request to its load. Returns `None` if all suitable daemons are busy.
    pub(crate) fn choose(&mut self, now_ms: u64, response_ms: u64) -> Option<Option<SocketAddr>> {
        let is_slow = response_ms > SLOW_REQUEST_MS;
        let usable: Vec<_> = self
            .all
            .iter()
            .filter(|(_, sender)| sender.is_usable(now_ms))
            .map(|(address, sender)| (sender.busy_until_ms.max(now_ms), *address))
            .collect();
        let slow_limit = usable.len() - usable.len().div_ceil(FAST_DAEMON_DIVISOR);
        let busy = usable
            .iter()
            .filter(|(busy_ms, _)| *busy_ms > now_ms + SLOW_REQUEST_MS)
            .count();
        let (busy_ms, address) = usable.into_iter().min()?;
        if is_slow && (busy_ms > now_ms || busy >= slow_limit.max(1)) {
            return None;
        }
        if let Some(sender) = self.all.get_mut(&address) {
            sender.busy_until_ms = busy_ms + response_ms;
        }
        Some(address)
    }

    /// Records the end of a request. A failure excludes the daemon for a while.
    pub(crate) fn request_ended(&mut self, now_ms: u64, address: Option<SocketAddr>, succeeded: bool) {
        if let Some(sender) = self.all.get_mut(&address)
            && !succeeded
        {
            sender.paused_until_ms = now_ms + FAILURE_BACKOFF_MS;
        }
    }

    /// Returns the name of a daemon; empty for the leader itself.
    pub(crate) fn name(&self, address: Option<SocketAddr>) -> Option<&SmolStr> {
        self.all.get(&address).map(|sender| &sender.name)
    }

    /// Removes daemons whose last announcement is too old, and returns their names.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<SmolStr> {
        let is_silent = |sender: &AdviceSender| {
            now_ms > sender.last_announced_ms.saturating_add(ANNOUNCEMENT_LIFETIME_MS)
        };
        let silent = self.all.values().filter(|sender| is_silent(sender));
        let names = silent.map(|sender| sender.name.clone()).collect();
        self.all.retain(|_, sender| !is_silent(sender));
        names
    }
}

impl AdviceSender {
    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }
}
