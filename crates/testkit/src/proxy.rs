//! Proxy that injects faults into TCP and UDP traffic between named parties.

use {
    crate::{
        LinkFaults,
        ports::bind_free_port,
        proxy_stream, proxy_udp,
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

/// Party name that matches every party in a rule.
pub const ANY: &str = "*";
/// Party name of a sender whose process and address are not registered.
pub const OUTSIDE: &str = "outside";
/// Maximum number of attempts to find the sender's process, which may connect before it is registered.
const LOOKUP_ATTEMPTS: u32 = 5;
/// Pause between these attempts.
const LOOKUP_PAUSE: Duration = Duration::from_millis(20);

/// Traffic from one party to another through the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Forwarded payload of connections and datagrams, in bytes.
    pub bytes: u64,
    /// Datagrams that were sent to the target, duplicates included.
    pub datagrams: u64,
    /// Datagrams that were dropped by a fault.
    pub dropped: u64,
}

/// Rules of the proxy. A change applies to open connections at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    faults: BTreeMap<(SmolStr, SmolStr), LinkFaults>,
    /// Number of resets between two parties, by the order in which they were named.
    resets: BTreeMap<(SmolStr, SmolStr), u64>,
}

impl Rules {
    /// Returns the combined faults of all matching rules. No rule matches traffic of a party to itself,
    /// so an isolated daemon still reaches its own store role.
    pub(crate) fn faults(&self, from: &str, to: &str) -> LinkFaults {
        matching(&self.faults, from, to).fold(LinkFaults::default(), |sum, faults| sum.combine(faults))
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
/// The proxy cannot delay the accept of a connection. It accepts one that is opened during a cut, but
/// forwards nothing until the cut ends.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<ProxyShared>,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Proxy {
    /// Creates a proxy without rules. The seed determines which datagrams the faults apply to.
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

    /// Opens a listen address, TCP and UDP, whose traffic goes to `target` of party `to`. Senders are
    /// identified by their registered process or address.
    pub async fn open(&self, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.open_listener(None, to, target).await
    }

    /// Opens a listen address like [`Self::open`] for the traffic of party `from` alone.
    pub async fn open_from(&self, from: &str, to: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        self.open_listener(Some(SmolStr::new(from)), to, target).await
    }

    /// Registers the process with this identifier as a sender of `party`.
    pub fn register_process(&self, party: &str, process: u32) {
        lock(&self.shared.processes).insert(process, SmolStr::new(party));
    }

    /// Registers a socket address as a sender of `party`.
    pub fn register_address(&self, party: &str, address: SocketAddr) {
        lock(&self.shared.addresses).insert(address, SmolStr::new(party));
    }

    /// Replaces the faults of the traffic from one party to another; `ANY` matches every party.
    pub fn set_faults(&self, from: &str, to: &str, faults: LinkFaults) {
        self.shared.rules.send_modify(|rules| {
            rules.faults.insert(pair(from, to), faults);
        });
    }

    /// Stops the traffic from one party to another, without an error on either side.
    pub fn cut(&self, from: &str, to: &str) {
        self.change(from, to, |faults| faults.cut = true);
    }

    /// Stops the traffic between two parties in both directions.
    pub fn cut_both(&self, one: &str, other: &str) {
        self.cut(one, other);
        self.cut(other, one);
    }

    /// Stops the traffic between a party and all others in both directions.
    pub fn isolate(&self, party: &str) {
        self.cut_both(party, ANY);
    }

    /// Ends the cut from one party to another. Held bytes of connections are forwarded.
    pub fn heal(&self, from: &str, to: &str) {
        self.change(from, to, |faults| faults.cut = false);
    }

    /// Ends the cut between two parties in both directions.
    pub fn heal_both(&self, one: &str, other: &str) {
        self.heal(one, other);
        self.heal(other, one);
    }

    /// Removes all faults of all parties.
    pub fn heal_all(&self) {
        self.shared.rules.send_modify(|rules| rules.faults.clear());
    }

    /// Resets all open connections between two parties.
    pub fn reset_connections(&self, one: &str, other: &str) {
        self.shared.rules.send_modify(|rules| {
            *rules.resets.entry(pair(one, other)).or_default() += 1;
        });
    }

    /// Traffic so far, by sender and receiver.
    pub fn traffic(&self) -> BTreeMap<(SmolStr, SmolStr), Traffic> {
        lock(&self.shared.traffic).clone()
    }

    fn change(&self, from: &str, to: &str, change: impl FnOnce(&mut LinkFaults)) {
        self.shared
            .rules
            .send_modify(|rules| change(rules.faults.entry(pair(from, to)).or_default()));
    }

    async fn open_listener(
        &self,
        from: Option<SmolStr>,
        to: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        // The sockets stay bound: a process that a test starts meanwhile holds copies of all sockets until
        // it executes its program, so that a released port could not be bound again.
        let (listener, socket) = bind_free_port()?;
        listener.set_nonblocking(true)?;
        socket.set_nonblocking(true)?;
        let (listener, socket) = (TcpListener::from_std(listener)?, UdpSocket::from_std(socket)?);
        let listen_address = listener.local_addr()?;
        let route = Route {
            from,
            shared: self.shared.clone(),
            target,
            to: SmolStr::new(to),
        };
        let mut tasks = lock(&self.tasks);
        tasks.spawn(proxy_stream::serve(listener, route.clone()));
        tasks.spawn(proxy_udp::serve(socket, route));
        Ok(listen_address)
    }
}

/// Destination of a listen address, and how its senders are identified.
#[derive(Clone)]
pub(crate) struct Route {
    from: Option<SmolStr>,
    pub(crate) shared: Arc<ProxyShared>,
    pub(crate) target: SocketAddr,
    pub(crate) to: SmolStr,
}

impl Route {
    /// Returns the party that sends from a socket address, or `OUTSIDE`.
    pub(crate) async fn sender(&self, protocol: Protocol, address: SocketAddr) -> SmolStr {
        if let Some(from) = &self.from {
            return from.clone();
        }
        if let Some(party) = lock(&self.shared.addresses).get(&address) {
            return party.clone();
        }
        for _ in 0..LOOKUP_ATTEMPTS {
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

    /// Draws whether an event happens whose probability is given in thousandths.
    pub(crate) fn draw(&self, millis: u32) -> bool {
        millis > 0 && lock(&self.random).random_range(0..1_000) < millis
    }
}

fn pair(from: &str, to: &str) -> (SmolStr, SmolStr) {
    (SmolStr::new(from), SmolStr::new(to))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
