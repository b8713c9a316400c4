//! Selects the daemons that send advice requests on behalf of the leader.
//!
//! The advice service handles one request at a time for each calling VM, and a request for a slow
//! queue takes a large part of a second. Requests are therefore spread over all daemons, and some
//! daemons take no slow requests, so that fast requests never wait behind slow ones.
//!
//! The service rejects requests when too many of a VM wait. A request for which no daemon has room
//! stays with its step, where the most urgent one is chosen as soon as a daemon has room. Some daemons
//! are reserved for steps that are not urgent: urgent requests use them only while they are idle, and slow
//! requests use only them while urgent requests queue. An overload of either class therefore delays the
//! other by a bounded time.

use {
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Response time above which an advice request counts as slow, in milliseconds.
const SLOW_REQUEST_MS: u64 = 150;
/// One daemon in this many takes no slow requests while urgent requests need them.
const FAST_DAEMON_DIVISOR: usize = 4;
/// One daemon in this many never takes slow requests, so that a burst of urgent ones finds free daemons.
const IDLE_DAEMON_DIVISOR: usize = 8;
/// Number of daemons that take no slow requests for each one that urgent requests have used at the same time.
const FAST_DAEMONS_PER_USED: usize = 3;
/// Time for which the largest number of daemons that urgent requests have used at the same time counts, in
/// milliseconds. It is longer than the pauses of a steady load.
const URGENT_USE_MS: u64 = 10_000;
/// One daemon in this many, but at least one of several, is reserved for requests that are not urgent.
const RESERVED_DAEMON_DIVISOR: usize = 4;
/// Longest time that a request waits at the service behind others of its daemon, in milliseconds.
const MAX_QUEUE_MS: u64 = 100;
/// Maximum number of requests without a response per daemon. The service rejects requests when 32
/// wait; the requests of an earlier leader may still be among them.
const MAX_IN_FLIGHT: u32 = 8;
/// Time after an urgent request had to queue for which slow requests use the reserved daemons only, in
/// milliseconds.
const URGENT_QUEUE_MS: u64 = 500;
/// Time after its last announcement for which a daemon receives requests, in milliseconds.
const ANNOUNCEMENT_LIFETIME_MS: u64 = 2_500;
/// Time for which a daemon receives no requests after one of its requests failed, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

/// An advice request for which a daemon is chosen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLoad {
    /// Whether the step is in a queue of the first priority.
    pub(crate) is_urgent: bool,
    /// Expected response time without a queue, in milliseconds.
    pub(crate) response_ms: u64,
}

impl RequestLoad {
    fn is_slow(self) -> bool {
        self.response_ms > SLOW_REQUEST_MS
    }
}

#[derive(Clone, Debug)]
struct AdviceSender {
    busy_until_ms: u64,
    /// Number of requests without a response.
    in_flight: u32,
    last_announced_ms: u64,
    name: SmolStr,
    paused_until_ms: u64,
    /// Expected time of the response to its last slow request.
    slow_until_ms: u64,
}

/// Known daemons by peer address; `None` is the leader itself.
#[derive(Clone, Debug)]
pub(crate) struct AdviceSenders {
    all: BTreeMap<Option<SocketAddr>, AdviceSender>,
    /// Time until which slow requests use the reserved daemons only.
    reserved_only_until_ms: u64,
    /// Largest number of daemons that urgent requests have lately used at the same time, and when.
    urgent_use: (usize, u64),
}

impl AdviceSenders {
    pub(crate) fn new() -> Self {
        let own = AdviceSender::new(u64::MAX, SmolStr::default());
        Self {
            all: BTreeMap::from([(None, own)]),
            reserved_only_until_ms: 0,
            urgent_use: (0, 0),
        }
    }

    /// Records an announcement of a daemon. Returns whether the daemon is new.
    pub(crate) fn announce(&mut self, now_ms: u64, address: SocketAddr, name: &SmolStr) -> bool {
        let is_new = !self.all.contains_key(&Some(address));
        let sender = self
            .all
            .entry(Some(address))
            .or_insert_with(|| AdviceSender::new(now_ms, name.clone()));
        sender.last_announced_ms = now_ms;
        sender.name = name.clone();
        is_new
    }

    /// Removes a daemon that has begun a planned stop.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.all.remove(&Some(address));
    }

    /// Chooses the daemon for a request, without adding the request to its load. Returns `None` if all
    /// suitable daemons are busy.
    pub(crate) fn find(&self, now_ms: u64, load: RequestLoad) -> Option<Option<SocketAddr>> {
        let usable = || self.all.iter().filter(|(_, sender)| sender.is_usable(now_ms));
        let count = usable().count();
        let reserved = match count {
            0 | 1 => 0,
            _ => (count / RESERVED_DAEMON_DIVISOR).max(1),
        };
        let slow_limit = (count - self.fast_daemons(now_ms, count)).max(1);
        let slow = usable().filter(|(_, sender)| sender.slow_until_ms > now_ms);
        if load.is_slow() && slow.count() >= slow_limit {
            return None;
        }
        let is_reserved_only = load.is_slow() && reserved > 0 && now_ms < self.reserved_only_until_ms;
        // Daemons sort by address, so that the reserved ones stay the same while the set of daemons does.
        usable()
            .enumerate()
            .map(|(position, (address, sender))| (position < reserved, address, sender))
            .filter(|(is_reserved, ..)| *is_reserved || !is_reserved_only)
            .filter(|(is_reserved, _, sender)| sender.has_room(now_ms, load, *is_reserved))
            .min_by_key(|(is_reserved, _, sender)| {
                (sender.busy_until_ms.max(now_ms), *is_reserved == load.is_urgent)
            })
            .map(|(_, address, _)| *address)
    }

    /// Returns the number of daemons that could each take a request now.
    pub(crate) fn free_for(&self, now_ms: u64, load: RequestLoad) -> usize {
        let mut senders = self.clone();
        senders.choose_several(now_ms, load, self.all.len(), false).len()
    }

    /// Returns how many of `count` daemons take no slow requests.
    fn fast_daemons(&self, now_ms: u64, count: usize) -> usize {
        let most = count.div_ceil(FAST_DAEMON_DIVISOR);
        let fewest = count.div_ceil(IDLE_DAEMON_DIVISOR);
        match self.urgent_use {
            (used, since_ms) if now_ms <= since_ms + URGENT_USE_MS => {
                (used * FAST_DAEMONS_PER_USED).clamp(fewest, most)
            }
            _ => fewest,
        }
    }

    /// Records how many daemons urgent requests use now.
    fn observe_urgent_use(&mut self, now_ms: u64) {
        let senders = self.all.values();
        let used = senders
            .filter(|sender| sender.in_flight > 0 && sender.slow_until_ms <= now_ms)
            .count();
        let (largest, since_ms) = self.urgent_use;
        if used >= largest || now_ms > since_ms + URGENT_USE_MS {
            self.urgent_use = (used, now_ms);
        }
    }

    /// Chooses the daemon for a request and adds the request to its load. Returns `None` if all suitable
    /// daemons are busy.
    pub(crate) fn choose(&mut self, now_ms: u64, load: RequestLoad) -> Option<Option<SocketAddr>> {
        let address = self.find(now_ms, load)?;
        let sender = self.all.get_mut(&address)?;
        if load.is_urgent && sender.busy_until_ms > now_ms {
            self.reserved_only_until_ms = now_ms + URGENT_QUEUE_MS;
        }
        sender.busy_until_ms = sender.busy_until_ms.max(now_ms) + load.response_ms;
        sender.in_flight += 1;
        if load.is_slow() {
            sender.slow_until_ms = sender.busy_until_ms;
        }
        if load.is_urgent && !load.is_slow() {
            self.observe_urgent_use(now_ms);
        }
        Some(address)
    }

    /// Chooses a daemon for each of `count` equal requests of one step, each another one, and adds them to
    /// their load. Returns fewer if not enough daemons are free, or none if `all_or_none`.
    pub(crate) fn choose_several(
        &mut self,
        now_ms: u64,
        load: RequestLoad,
        count: usize,
        all_or_none: bool,
    ) -> Vec<Option<SocketAddr>> {
        let before = self.clone();
        let mut chosen = Vec::new();
        while chosen.len() < count
            && let Some(address) = self.find(now_ms, load)
            && !chosen.contains(&address)
        {
            self.choose(now_ms, load);
            chosen.push(address);
        }
        if all_or_none && chosen.len() < count {
            *self = before;
            chosen.clear();
        }
        chosen
    }

    /// Records the end of a request. A failure excludes the daemon for a while.
    pub(crate) fn request_ended(&mut self, now_ms: u64, address: Option<SocketAddr>, succeeded: bool) {
        let Some(sender) = self.all.get_mut(&address) else {
            return;
        };
        sender.in_flight = sender.in_flight.saturating_sub(1);
        if sender.in_flight == 0 {
            sender.busy_until_ms = now_ms;
            sender.slow_until_ms = now_ms;
        }
        if !succeeded {
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
    fn new(last_announced_ms: u64, name: SmolStr) -> Self {
        Self {
            busy_until_ms: 0,
            in_flight: 0,
            last_announced_ms,
            name,
            paused_until_ms: 0,
            slow_until_ms: 0,
        }
    }

    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }

    fn has_room(&self, now_ms: u64, load: RequestLoad, is_reserved: bool) -> bool {
        let is_idle = self.in_flight == 0 && self.busy_until_ms <= now_ms;
        let has_short_queue = self.in_flight < MAX_IN_FLIGHT && self.busy_until_ms <= now_ms + MAX_QUEUE_MS;
        match (is_reserved, load.is_urgent, load.is_slow()) {
            // A slow urgent request would block the daemon for as long as the requests that it is
            // reserved for.
            (true, true, true) => false,
            (true, true, false) | (false, _, true) => is_idle,
            (true, false, _) | (false, _, false) => has_short_queue,
        }
    }
}
