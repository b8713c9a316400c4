//! Proxy that injects faults into TCP and UDP between named parties.

use {
    crate::{
        LinkFaults, free_address, proxy_stream, proxy_udp,
        socket_owner::{Protocol, owner_of},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    smol_str::SmolStr,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
};

/// Matches every party in a rule.
pub const ANY: &str = "*";
/// Party of a sender that no process or address is registered for.
pub const OUTSIDE: &str = "outside";
/// Attempts to find the sender's process: a process may connect before it is registered.
const LOOKUPS: u32 = 5;
const LOOKUP_PAUSE: Duration = Duration::from_millis(20);

/// Traffic from one party to another that passed the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Payload of connections and datagrams in bytes.
    pub bytes: u64,
    /// Datagrams that were delivered, with duplicates.
    pub datagrams: u64,
    /// Datagrams that were dropped.
    pub dropped: u64,
}

/// Rules of the proxy. Each change is seen by all running connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    faults: BTreeMap<(SmolStr, SmolStr), LinkFaults>,
    /// Counts the resets between two parties, in both orders.
    resets: BTreeMap<(SmolStr, SmolStr), u64>,
}

impl Rules {
    /// A party always reaches itself: a daemon cut off from all others still talks to its own
    /// store role.
    pub(crate) fn faults(&self, from: &str, to: &str) -> LinkFaults {
        matching(&self.faults, from, to).fold(LinkFaults::default(), |sum, faults| sum.and(faults))
    }

    pub(crate) fn resets(&self, from: &str, to: &str) -> u64 {
        matching(&self.resets, from, to).sum()
    }
}

fn matching<'a, T>(
    rules: &'a BTreeMap<(SmolStr, SmolStr), T>,
    from: &'a str,
    to: &'a str,
) -> impl Iterator<Item = &'a T> {
    let matches = |rule: &str, party: &str| rule == ANY || rule == party;
    rules
        .iter()
        .filter(move |_| from != to)
        .filter(move |((rule_from, rule_to), _)| matches(rule_from, from) && matches(rule_to, to))
        .map(|(_, value)| value)
}

pub(crate) struct ProxyShared {
    addresses: Mutex<BTreeMap<SocketAddr, SmolStr>>,
    processes: Mutex<BTreeMap<u32, SmolStr>>,
    random: Mutex<StdRng>,
    pub(crate) rules: watch::Sender<Rules>,
    traffic: Mutex<BTreeMap<(SmolStr, SmolStr), Traffic>>,
}

/// Fault-injecting proxy. Clones share all rules; dropping the last one ends it.
///
/// A connection that is opened during a cut is accepted by the proxy and carries nothing until
/// the cut ends, since an accept cannot be held back.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<ProxyShared>,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Proxy {
    /// Creates a proxy without rules. The seed decides about datagrams.
    pub fn new(seed: u64) -> Self {
        Self {
            shared: Arc::new(ProxyShared {
                addresses: Mutex::default(),
                processes: Mutex::default(),
                random: Mutex::new(StdRng::seed_from_u64(seed)),
                rules: watch::Sender::default(),
                traffic: Mutex::default(),
            }),
            tasks: Arc::default(),
        }
    }

    /// Opens an address, TCP and UDP, that leads to `target` of party `to`. The sender is found
    /// by its process or address.
    pub async fn open(&self, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.open_front(None, to, target).await
    }

    /// Opens an address that only party `from` uses.
    pub async fn open_from(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.open_front(Some(SmolStr::new(from)), to, target).await
    }

    /// Names the sender of traffic from a process.
    pub fn register_process(&self, party: &str, process: u32) {
        lock(&self.shared.processes).insert(process, SmolStr::new(party));
    }

    /// Names the sender of traffic from a socket address.
    pub fn register_address(&self, party: &str, address: SocketAddr) {
        lock(&self.shared.addresses).insert(address, SmolStr::new(party));
    }

    /// Sets the faults of the traffic from one party to another; `ANY` stands for all.
    pub fn set(&self, from: &str, to: &str, faults: LinkFaults) {
        self.shared.rules.send_modify(|rules| {
            rules.faults.insert(pair(from, to), faults);
        });
    }

    /// Cuts the traffic from one party to another silently.
    pub fn cut(&self, from: &str, to: &str) {
        self.change(from, to, |faults| faults.cut = true);
    }

    /// Cuts the traffic between two parties silently.
    pub fn cut_both(&self, one: &str, other: &str) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Cuts a party off from all others silently.
    pub fn isolate(&self, party: &str) {
        self.cut_both(party, ANY);
    }

    /// Ends the cut from one party to another. Held bytes arrive.
    pub fn heal(&self, from: &str, to: &str) {
        self.change(from, to, |faults| faults.cut = false);
    }

    /// Ends the cut between two parties.
    pub fn heal_both(&self, one: &str, other: &str) {
        self.heal(one, other);
        self.heal(other, one);
    }

    /// Ends all faults.
    pub fn heal_all(&self) {
        self.shared.rules.send_modify(|rules| rules.faults.clear());
    }

    /// Resets all present connections between two parties.
    pub fn reset(&self, one: &str, other: &str) {
        self.shared.rules.send_modify(|rules| {
            *rules.resets.entry(pair(one, other)).or_default() += 1;
        });
    }

    /// Traffic so far by sender and receiver.
    pub fn traffic(&self) -> BTreeMap<(SmolStr, SmolStr), Traffic> {
        lock(&self.shared.traffic).clone()
    }

    fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut LinkFaults)) {
        self.shared
            .rules
            .send_modify(|rules| change(rules.faults.entry(pair(from, to)).or_default()));
    }

    async fn open_front(
        &self,
        from: Option<SmolStr>,
        to: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let front = free_address()?;
        let listener = TcpListener::bind(front).await?;
        let socket = UdpSocket::bind(front).await?;
        let route = Route {
            from,
            shared: self.shared.clone(),
            target,
            to: SmolStr::new(to),
        };
        let mut tasks = lock(&self.tasks);
        tasks.spawn(proxy_stream::serve(listener, route.clone()));
        tasks.spawn(proxy_udp::serve(socket, route));
        Ok(front)
    }
}

/// Where a front address leads, and the way to name its senders.
#[derive(Clone)]
pub(crate) struct Route {
    from: Option<SmolStr>,
    pub(crate) shared: Arc<ProxyShared>,
    pub(crate) target: SocketAddr,
    pub(crate) to: SmolStr,
}

impl Route {
    /// Finds the party that sends from a socket address.
    pub(crate) async fn sender(&self, protocol: Protocol, address: SocketAddr) -> SmolStr {
        if let Some(from) = &self.from {
            return from.clone();
        }
        if let Some(party) = lock(&self.shared.addresses).get(&address) {
            return party.clone();
        }
        for _ in 0..LOOKUPS {
            let processes: Vec<u32> = lock(&self.shared.processes).keys().copied().collect();
            let process = owner_of(protocol, address, &processes);
            if let Some(party) = process.and_then(|id| lock(&self.shared.processes).get(&id).cloned()) {
                return party;
            }
            sleep(LOOKUP_PAUSE).await;
        }
        SmolStr::new(OUTSIDE)
    }
}

impl ProxyShared {
    pub(crate) fn count(&self, from: &str, to: &str, add: impl FnOnce(&mut Traffic)) {
        add(lock(&self.traffic).entry(pair(from, to)).or_default());
    }

    /// Draws whether an event of a probability in thousandths happens.
    pub(crate) fn happens(&self, millis: u32) -> bool {
        millis > 0 && lock(&self.random).random_range(0..1_000) < millis
    }
}

fn pair(from: &str, to: &str) -> (SmolStr, SmolStr) {
    (SmolStr::new(from), SmolStr::new(to))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
