//! Forwards UDP datagrams through the proxy and applies the faults of their link.

use {
    crate::{LinkFaults, proxy::Route, socket_owner::Protocol},
    bytes::Bytes,
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        sync::mpsc,
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
};

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Longest time that a datagram is held for reordering if no other one follows.
const REORDER_LIMIT: Duration = Duration::from_millis(500);

/// Applies the faults to the datagrams of one direction between two sockets.
struct Direction {
    from: SmolStr,
    /// Number of reordered datagrams so far, and the last one while it waits for its successor.
    held: Mutex<(u64, Option<Bytes>)>,
    /// Datagrams with the time at which each is due; a single task sends them, which keeps their order.
    queue: mpsc::UnboundedSender<(Instant, Bytes)>,
    route: Route,
    to: SmolStr,
}

/// Sends the datagrams of one direction when they are due.
struct DatagramSender {
    from: SmolStr,
    queue: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    /// Destination; the connected peer of the socket if absent.
    receiver: Option<SocketAddr>,
    route: Route,
    socket: Arc<UdpSocket>,
    to: SmolStr,
}

/// Forwards datagrams until the proxy ends.
pub(crate) async fn serve(listen_socket: UdpSocket, route: Route) {
    let listen_socket = Arc::new(listen_socket);
    let mut senders: HashMap<SocketAddr, Arc<Direction>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = listen_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let data = Bytes::copy_from_slice(&buffer[..length]);
        let direction = match senders.get(&sender) {
            Some(direction) => direction.clone(),
            None => {
                let Some(direction) = connect(&listen_socket, sender, &route, &mut tasks).await else {
                    continue;
                };
                senders.insert(sender, direction.clone());
                direction
            }
        };
        direction.deliver(data);
    }
}

/// Opens a socket that forwards the datagrams of one sender and receives the target's replies.
async fn connect(
    listen_socket: &Arc<UdpSocket>,
    sender: SocketAddr,
    route: &Route,
    tasks: &mut JoinSet<()>,
) -> Option<Arc<Direction>> {
    let from = route.sender(Protocol::Udp, sender).await;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    socket.connect(route.target).await.ok()?;
    let socket = Arc::new(socket);
    let (forward, datagram_sender) = Direction::new(&from, &route.to, route, &socket, None);
    tasks.spawn(datagram_sender.run());
    let (backward, datagram_sender) = Direction::new(&route.to, &from, route, listen_socket, Some(sender));
    tasks.spawn(datagram_sender.run());
    tasks.spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was refused; the target may start later.
            match socket.recv(&mut buffer).await {
                Ok(length) => backward.deliver(Bytes::copy_from_slice(&buffer[..length])),
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    });
    Some(forward)
}

impl Direction {
    fn new(
        from: &SmolStr,
        to: &SmolStr,
        route: &Route,
        socket: &Arc<UdpSocket>,
        receiver: Option<SocketAddr>,
    ) -> (Arc<Self>, DatagramSender) {
        let (sender, queue) = mpsc::unbounded_channel();
        let direction = Self {
            from: from.clone(),
            held: Mutex::default(),
            queue: sender,
            route: route.clone(),
            to: to.clone(),
        };
        let datagram_sender = DatagramSender {
            from: from.clone(),
            queue,
            receiver,
            route: route.clone(),
            socket: socket.clone(),
            to: to.clone(),
        };
        (Arc::new(direction), datagram_sender)
    }

    /// Applies the current faults to one datagram, then queues, holds or drops it.
    fn deliver(self: &Arc<Self>, data: Bytes) {
        let shared = &self.route.shared;
        let faults: LinkFaults = shared.rules.borrow().faults(&self.from, &self.to);
        if faults.cut || shared.draw(faults.drop_millis) {
            return shared.count(&self.from, &self.to, |traffic| traffic.dropped += 1);
        }
        let due = Instant::now() + faults.delay;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.1.is_none() && shared.draw(faults.reorder_millis) {
            held.0 += 1;
            held.1 = Some(data);
            tokio::spawn(self.clone().release(held.0));
            return;
        }
        if shared.draw(faults.duplicate_millis) {
            let _ = self.queue.send((due, data.clone()));
        }
        let _ = self.queue.send((due, data));
        if let Some(earlier) = held.1.take() {
            let _ = self.queue.send((due, earlier));
        }
    }

    /// Sends the held datagram if no successor arrived in time.
    async fn release(self: Arc<Self>, number: u64) {
        sleep(REORDER_LIMIT).await;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.0 == number
            && let Some(data) = held.1.take()
        {
            let _ = self.queue.send((Instant::now(), data));
        }
    }
}

impl DatagramSender {
    async fn run(mut self) {
        while let Some((due, data)) = self.queue.recv().await {
            sleep_until(due).await;
            let sent = match self.receiver {
                None => self.socket.send(&data).await,
                Some(receiver) => self.socket.send_to(&data, receiver).await,
            };
            if sent.is_ok() {
                self.route.shared.count(&self.from, &self.to, |traffic| {
                    traffic.bytes += data.len() as u64;
                    traffic.datagrams += 1;
                });
            }
        }
    }
}
