//! Budget of one server: the bytes that its clients make it hold, and its open connections.

use {
    crate::{Connection, HttpLimits, Limit, LimitObserver, blocks::FreeBlocks, connection::Stall},
    std::{
        collections::HashMap,
        net::IpAddr,
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Bytes that each open connection holds: the buffers of hyper and the state of its task.
pub(crate) const CONNECTION_BYTES: usize = 12 << 10;
/// Time without progress after which a connection may be closed for its memory. It is longer than the time
/// between two packets of a client that sends without pause.
const MEMORY_STALL: Duration = Duration::from_millis(500);
/// Time without progress after which a connection may be closed in favour of a new one. It is longer than the
/// pause of a client between two requests that follow each other.
const CONNECTION_STALL: Duration = Duration::from_secs(2);
/// Largest number of connections over the limit that get an answer to one request; further ones are closed at
/// once.
const MAX_REFUSED: usize = 64;
/// Refused connections for each 8 of the limit, so that a low limit stays low.
const REFUSED_PART: usize = 8;
/// Part by which the longest recent response becomes shorter with each other one.
const DECAY_PART: usize = 8;
/// Smallest number of connections over the limit that get an answer.
const MIN_REFUSED: usize = 4;

/// How a new connection is taken.
pub(crate) enum Admission {
    /// Within the limits.
    Accepted(Arc<Connection>),
    /// Over the limit: one request is answered with a refusal.
    Refused(Arc<Connection>),
}

struct Entry {
    connection: Arc<Connection>,
    held_bytes: usize,
}

/// Whether bytes fit into the budget.
#[derive(Clone, Copy, PartialEq)]
enum Room {
    /// They do not, and no connection can be closed for them.
    No,
    /// They fit.
    Now,
    /// They fit once the connections that are being closed have ended.
    Soon,
}

#[derive(Default)]
struct Held {
    addresses: HashMap<IpAddr, usize>,
    /// Bytes of the connections that have been told to close.
    closing: HashMap<u64, usize>,
    closing_bytes: usize,
    connections: HashMap<u64, Entry>,
    held_bytes: usize,
    next_id: u64,
}

/// Shared state of one server.
pub(crate) struct Budget {
    pub(crate) free_blocks: FreeBlocks,
    held: Mutex<Held>,
    /// Longest recent response to a GET request in bytes.
    pub(crate) recent_read_bytes: AtomicUsize,
    pub(crate) limits: HttpLimits,
    observer: Arc<dyn LimitObserver>,
    /// Notified when a connection that was told to close has ended.
    released: Notify,
    started_at: Instant,
}

impl Budget {
    pub(crate) fn new(limits: HttpLimits, observer: Arc<dyn LimitObserver>) -> Self {
        Self {
            free_blocks: FreeBlocks::default(),
            held: Mutex::default(),
            recent_read_bytes: AtomicUsize::new(0),
            limits,
            observer,
            released: Notify::new(),
            started_at: Instant::now(),
        }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reached(&self, limit: Limit) {
        self.observer.limit_reached(limit);
    }

    /// Time since the start of the server in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Admits a connection. `None` if it has to be closed at once.
    pub(crate) fn admit(self: &Arc<Self>, address: IpAddr) -> Option<Admission> {
        let mut held = self.held();
        let from_address = held.addresses.get(&address).copied().unwrap_or(0);
        let per_address = self.limits.max_connections_per_address;
        if per_address.is_some_and(|limit| from_address >= limit) {
            drop(held);
            self.reached(Limit::AddressConnections);
            return None;
        }
        let limit = self.limits.max_connections;
        let mut is_refused = false;
        if held.connections.len() >= limit {
            self.reached(Limit::Connections);
            let victim = self.stalled(&held, CONNECTION_STALL);
            let refused = held.connections.len() - limit;
            match victim {
                Some(victim) => close(&mut held, victim),
                None if refused < (limit / REFUSED_PART).clamp(MIN_REFUSED, MAX_REFUSED) => is_refused = true,
                None => return None,
            }
        }
        if self.make_room(&mut held, CONNECTION_BYTES, CONNECTION_BYTES) == Room::No {
            drop(held);
            self.reached(Limit::HeldBytes);
            return None;
        }
        let id = held.next_id;
        held.next_id += 1;
        let connection = Arc::new(Connection::new(self.clone(), id, is_refused));
        let entry = Entry {
            connection: connection.clone(),
            held_bytes: CONNECTION_BYTES,
        };
        held.connections.insert(id, entry);
        held.held_bytes += CONNECTION_BYTES;
        *held.addresses.entry(address).or_default() += 1;
        Some(match is_refused {
            true => Admission::Refused(connection),
            false => Admission::Accepted(connection),
        })
    }

    /// Ends the account of a connection.
    pub(crate) fn remove(&self, id: u64, address: IpAddr) {
        let mut held = self.held();
        if let Some(entry) = held.connections.remove(&id) {
            held.held_bytes -= entry.held_bytes;
        }
        if let Some(bytes) = held.closing.remove(&id) {
            held.held_bytes -= bytes;
            held.closing_bytes -= bytes;
            self.released.notify_waiters();
        }
        if let Some(count) = held.addresses.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                held.addresses.remove(&address);
            }
        }
    }

    /// Reserves bytes for a connection, at once or while others are being closed for it. `false` if none can be
    /// closed, or if the connection itself has been told to close.
    pub(crate) fn reserve(&self, id: u64, bytes: usize) -> bool {
        match self.try_reserve(id, bytes, true) {
            Room::No => false,
            Room::Now | Room::Soon => true,
        }
    }

    /// Reserves bytes for a connection, and waits until those that are closed for it have ended.
    pub(crate) async fn reserve_later(&self, id: u64, bytes: usize) -> bool {
        loop {
            let mut released = pin!(self.released.notified());
            // Registered before the attempt, so that no release is missed.
            released.as_mut().enable();
            match self.try_reserve(id, bytes, false) {
                Room::No => return false,
                Room::Now => return true,
                Room::Soon => released.await,
            }
        }
    }

    fn try_reserve(&self, id: u64, bytes: usize, takes_soon: bool) -> Room {
        let mut held = self.held();
        let Some(own) = held.connections.get(&id).map(|entry| entry.held_bytes) else {
            return Room::No;
        };
        let room = self.make_room(&mut held, bytes, own + bytes);
        match room {
            Room::Now => add(&mut held, id, bytes),
            Room::Soon if takes_soon => add(&mut held, id, bytes),
            Room::Soon => {}
            Room::No => {
                drop(held);
                self.reached(Limit::HeldBytes);
            }
        }
        room
    }

    /// Reserves bytes that are held already, also beyond the budget.
    pub(crate) fn reserve_anyway(&self, id: u64, bytes: usize) {
        let mut held = self.held();
        self.make_room(&mut held, bytes, usize::MAX);
        add(&mut held, id, bytes);
    }

    pub(crate) fn release(&self, id: u64, bytes: usize) {
        let mut held = self.held();
        if let Some(entry) = held.connections.get_mut(&id) {
            entry.held_bytes -= bytes;
            held.held_bytes -= bytes;
        } else if let Some(closing) = held.closing.get_mut(&id) {
            *closing -= bytes;
            held.closing_bytes -= bytes;
            held.held_bytes -= bytes;
            self.released.notify_waiters();
        }
    }

    /// Closes connections until `bytes` fit: the one without progress for longest, or else the one that holds
    /// most, if that is more than `own` bytes.
    fn make_room(&self, held: &mut Held, bytes: usize, own: usize) -> Room {
        let most = self.limits.max_held_bytes;
        while held.held_bytes - held.closing_bytes + bytes > most {
            let victim = self
                .stalled(held, MEMORY_STALL)
                .or_else(|| largest(held).filter(|(_, most)| *most > own).map(|(id, _)| id));
            match victim {
                Some(victim) => close(held, victim),
                None => return Room::No,
            }
            self.reached(Limit::HeldBytes);
        }
        match held.held_bytes + bytes <= most {
            true => Room::Now,
            false => Room::Soon,
        }
    }

    /// Returns the connection without progress for longest, at least `min_stall`. One that waits for its next
    /// request comes after all others.
    fn stalled(&self, held: &Held, min_stall: Duration) -> Option<u64> {
        let now_ms = self.now_ms();
        held.connections
            .iter()
            .filter_map(|(id, entry)| {
                let (is_waiting, stalled_ms) = match entry.connection.stall(now_ms) {
                    Stall::Handling => return None,
                    Stall::Idle(stalled_ms) => (false, stalled_ms),
                    Stall::Transfer(stalled_ms) => (true, stalled_ms),
                };
                (stalled_ms >= min_stall.as_millis() as u64).then_some(((is_waiting, stalled_ms), *id))
            })
            .max()
            .map(|(_, id)| id)
    }

    /// Closes the connections that reached a limit in time or rate.
    pub(crate) fn close_slow(&self) {
        let now_ms = self.now_ms();
        let mut held = self.held();
        let slow: Vec<_> = held
            .connections
            .iter()
            .filter_map(|(id, entry)| Some((*id, entry.connection.slow_limit(now_ms, &self.limits)?)))
            .collect();
        for (id, _) in &slow {
            close(&mut held, *id);
        }
        drop(held);
        for (_, limit) in slow {
            self.reached(limit);
        }
    }
}

/// Returns the connection that holds most, except those whose request is being handled.
fn largest(held: &Held) -> Option<(u64, usize)> {
    held.connections
        .iter()
        .filter(|(_, entry)| !entry.connection.is_handling())
        .map(|(id, entry)| (*id, entry.held_bytes))
        .max_by_key(|(_, held_bytes)| *held_bytes)
}

fn add(held: &mut Held, id: u64, bytes: usize) {
    if let Some(entry) = held.connections.get_mut(&id) {
        entry.held_bytes += bytes;
        held.held_bytes += bytes;
    }
}

/// Tells a connection to close. Its bytes are held until its task has ended.
fn close(held: &mut Held, id: u64) {
    if let Some(entry) = held.connections.remove(&id) {
        held.closing_bytes += entry.held_bytes;
        held.closing.insert(id, entry.held_bytes);
        entry.connection.close();
    }
}

/// Bytes reserved for a connection, which are released when this is dropped.
pub struct Reservation {
    pub(crate) bytes: usize,
    pub(crate) connection: Arc<Connection>,
}

impl Reservation {
    /// Ends the reservation without releasing its bytes, and returns their number.
    pub(crate) fn keep(mut self) -> usize {
        std::mem::take(&mut self.bytes)
    }

    /// Adds bytes, after a wait for the connections that are closed for them. `false` if the budget is used up.
    pub(crate) async fn grow(&mut self, bytes: usize) -> bool {
        let has_grown = self
            .connection
            .budget
            .reserve_later(self.connection.id, bytes)
            .await;
        if has_grown {
            self.bytes += bytes;
        }
        has_grown
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.connection.budget.release(self.connection.id, self.bytes);
        }
    }
}

/// Records the length of a response to a GET request. A long one is forgotten over about 20 short ones, since
/// what each GET reserves limits how many are handled at a time.
pub(crate) fn record_read(budget: &Budget, bytes: usize) {
    let recent = budget.recent_read_bytes.load(Ordering::Acquire);
    let decayed = recent - recent / DECAY_PART;
    budget
        .recent_read_bytes
        .store(decayed.max(bytes), Ordering::Release);
}
