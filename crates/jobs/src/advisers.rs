//! Daemons that ask the advice service on behalf of the leader.
//!
//! The service answers one question at a time for each calling VM, and a question of a slow queue
//! takes a large part of a second. Questions are spread over all daemons, and some daemons are
//! kept free of slow questions, so that those of quick queues never wait behind one.

use {
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Questions that take longer than this are slow, in milliseconds.
const SLOW_REQUEST_MS: u64 = 150;
/// One of this many daemons is kept free of slow questions.
const FAST_DAEMON_DIVISOR: usize = 4;
/// Time after its last announcement for which a daemon is asked, in milliseconds.
const ANNOUNCEMENT_LIFETIME_MS: u64 = 2_500;
/// Time for which a daemon whose question failed is not asked, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct Adviser {
    busy_until_ms: u64,
    last_announced_ms: u64,
    name: SmolStr,
    paused_until_ms: u64,
}

/// The daemons. `None` is the leader itself.
#[derive(Clone, Debug)]
pub(crate) struct Advisers {
    all: BTreeMap<Option<SocketAddr>, Adviser>,
}

impl Advisers {
    pub(crate) fn new() -> Self {
        let own = Adviser {
            busy_until_ms: 0,
            last_announced_ms: u64::MAX,
            name: SmolStr::default(),
            paused_until_ms: 0,
        };
        Self {
            all: BTreeMap::from([(None, own)]),
        }
    }

    /// Notes that a daemon is alive. Returns whether it is new.
    pub(crate) fn announce(&mut self, now_ms: u64, address: SocketAddr, name: &SmolStr) -> bool {
        let is_new = !self.all.contains_key(&Some(address));
        let adviser = self.all.entry(Some(address)).or_insert_with(|| Adviser {
            busy_until_ms: 0,
            last_announced_ms: now_ms,
            name: name.clone(),
            paused_until_ms: 0,
        });
        adviser.last_announced_ms = now_ms;
        adviser.name = name.clone();
        is_new
    }

    /// Forgets a daemon that stops.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.all.remove(&Some(address));
    }

    /// Chooses a daemon for a question, and counts the question as its work. `None` means that all
    /// suitable daemons are busy.
    pub(crate) fn choose(&mut self, now_ms: u64, response_ms: u64) -> Option<Option<SocketAddr>> {
        let is_slow = response_ms > SLOW_REQUEST_MS;
        let usable: Vec<_> = self
            .all
            .iter()
            .filter(|(_, adviser)| adviser.is_usable(now_ms))
            .map(|(address, adviser)| (adviser.busy_until_ms.max(now_ms), *address))
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
        if let Some(adviser) = self.all.get_mut(&address) {
            adviser.busy_until_ms = busy_ms + response_ms;
        }
        Some(address)
    }

    /// Notes the end of a question.
    pub(crate) fn request_ended(&mut self, now_ms: u64, address: Option<SocketAddr>, succeeded: bool) {
        if let Some(adviser) = self.all.get_mut(&address)
            && !succeeded
        {
            adviser.paused_until_ms = now_ms + FAILURE_BACKOFF_MS;
        }
    }

    /// Forgets daemons that were silent for too long, and returns their names.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<SmolStr> {
        let is_silent =
            |adviser: &Adviser| now_ms > adviser.last_announced_ms.saturating_add(ANNOUNCEMENT_LIFETIME_MS);
        let silent = self.all.values().filter(|adviser| is_silent(adviser));
        let names = silent.map(|adviser| adviser.name.clone()).collect();
        self.all.retain(|_, adviser| !is_silent(adviser));
        names
    }
}

impl Adviser {
    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
    }
}
