//! UDP side of the proxy.

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
/// Time after which a datagram that was held for reordering is delivered without a successor.
const REORDER_LIMIT: Duration = Duration::from_millis(500);

/// One direction between two sockets.
struct Direction {
    from: SmolStr,
    /// Datagram that waits for its successor, with its number.
    held: Mutex<(u64, Option<Bytes>)>,
    /// Datagrams with the time to send each; one task sends them, which keeps their order.
    queue: mpsc::UnboundedSender<(Instant, Bytes)>,
    route: Route,
    to: SmolStr,
}

/// Sends the datagrams of one direction.
struct Sending {
    from: SmolStr,
    queue: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    /// Receiver; the connected peer if absent.
    receiver: Option<SocketAddr>,
    route: Route,
    socket: Arc<UdpSocket>,
    to: SmolStr,
}

/// Forwards datagrams until the proxy ends.
pub(crate) async fn serve(front: UdpSocket, route: Route) {
    let front = Arc::new(front);
    let mut senders: HashMap<SocketAddr, Arc<Direction>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let data = Bytes::copy_from_slice(&buffer[..length]);
        let direction = match senders.get(&sender) {
            Some(direction) => direction.clone(),
            None => {
                let Some(direction) = connect(&front, sender, &route, &mut tasks).await else {
                    continue;
                };
                senders.insert(sender, direction.clone());
                direction
            }
        };
        direction.deliver(data);
    }
}

/// Opens the socket that forwards the datagrams of one sender and carries replies back.
async fn connect(
    front: &Arc<UdpSocket>,
    sender: SocketAddr,
    route: &Route,
    tasks: &mut JoinSet<()>,
) -> Option<Arc<Direction>> {
    let from = route.sender(Protocol::Udp, sender).await;
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    socket.connect(route.target).await.ok()?;
    let socket = Arc::new(socket);
    let (forward, sending) = Direction::new(&from, &route.to, route, &socket, None);
    tasks.spawn(sending.run());
    let (back, sending) = Direction::new(&route.to, &from, route, front, Some(sender));
    tasks.spawn(sending.run());
    tasks.spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here is a refused earlier datagram; the target may come up later.
            match socket.recv(&mut buffer).await {
                Ok(length) => back.deliver(Bytes::copy_from_slice(&buffer[..length])),
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
    ) -> (Arc<Self>, Sending) {
        let (sender, queue) = mpsc::unbounded_channel();
        let direction = Self {
            from: from.clone(),
            held: Mutex::default(),
            queue: sender,
            route: route.clone(),
            to: to.clone(),
        };
        let sending = Sending {
            from: from.clone(),
            queue,
            receiver,
            route: route.clone(),
            socket: socket.clone(),
            to: to.clone(),
        };
        (Arc::new(direction), sending)
    }

    /// Applies the present faults to one datagram.
    fn deliver(self: &Arc<Self>, data: Bytes) {
        let shared = &self.route.shared;
        let faults: LinkFaults = shared.rules.borrow().faults(&self.from, &self.to);
        if faults.cut || shared.happens(faults.drop_millis) {
            return shared.count(&self.from, &self.to, |traffic| traffic.dropped += 1);
        }
        let due = Instant::now() + faults.delay;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.1.is_none() && shared.happens(faults.reorder_millis) {
            held.0 += 1;
            held.1 = Some(data);
            tokio::spawn(self.clone().release(held.0));
            return;
        }
        if shared.happens(faults.duplicate_millis) {
            let _ = self.queue.send((due, data.clone()));
        }
        let _ = self.queue.send((due, data));
        if let Some(earlier) = held.1.take() {
            let _ = self.queue.send((due, earlier));
        }
    }

    /// Delivers the held datagram if no successor came.
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

impl Sending {
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
