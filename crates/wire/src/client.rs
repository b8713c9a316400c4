//! Client of one other daemon: calls, cancellation, pushed updates and detection of dead
//! connections.

use {
    crate::{
        CellSecret, Frame, Request, Response, WireError,
        connection::{self, FrameReader},
    },
    fuchsiatack_derives::value,
    fuchsiatack_ledger::Change,
    fuchsiatack_model::LogIndex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time::{Instant, timeout},
    },
};

/// Capacity of a connection's write queue in frames.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Changes pushed to a follower.
#[value]
pub struct FollowUpdate {
    /// Changes in log order.
    pub changes: Vec<Change>,
    /// Log index of the state after these changes.
    pub index: LogIndex,
    /// Whether `changes` is the full directory, which replaces the follower's state.
    pub reset: bool,
}

/// Time-outs of a connection.
#[derive(Clone, Debug)]
pub struct PeerClientSettings {
    /// Longest time to open a TCP connection.
    pub connect_timeout: Duration,
    /// Time without a frame after which a ping is sent. The connection is closed after the same
    /// time without a response.
    pub probe_after: Duration,
    /// Shortest time between two attempts to connect. Calls in between fail at once.
    pub reconnect_delay: Duration,
}

impl Default for PeerClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            probe_after: Duration::from_secs(1),
            reconnect_delay: Duration::from_millis(50),
        }
    }
}

/// Calls that wait for a response, by call id.
type PendingCalls = Arc<Mutex<HashMap<u64, oneshot::Sender<Response>>>>;

/// An open connection. Dropping the last clone of `frames` closes it.
#[derive(Clone)]
struct Link {
    frames: mpsc::Sender<Frame>,
    next_call_id: Arc<AtomicU64>,
    pending: PendingCalls,
}

/// Client of one address. It connects on the first call and reconnects after a connection is lost.
pub struct PeerClient {
    address: SocketAddr,
    connection_count: AtomicU64,
    /// The open connection, if any, and the time of the last attempt to connect.
    link: tokio::sync::Mutex<(Option<Link>, Option<Instant>)>,
    pushes: Option<mpsc::Sender<FollowUpdate>>,
    secret: CellSecret,
    settings: PeerClientSettings,
}

impl PeerClient {
    /// Creates a client that is not connected yet. `pushes` receives the updates that follow a
    /// `Request::Follow`; without it, a pushed update closes the connection.
    pub fn new(
        address: SocketAddr,
        secret: CellSecret,
        settings: PeerClientSettings,
        pushes: Option<mpsc::Sender<FollowUpdate>>,
    ) -> Self {
        Self {
            address,
            connection_count: AtomicU64::default(),
            link: tokio::sync::Mutex::default(),
            pushes,
            secret,
            settings,
        }
    }

    /// Returns the peer address of the other daemon.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections opened so far. A change shows that subscriptions made on
    /// an earlier connection have ended.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::Acquire)
    }

    /// Sends a request and waits for its response.
    ///
    /// After an error, `WireError::had_no_effect` tells whether the call may have taken effect.
    /// Dropping the future cancels the call at the receiver.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Response, WireError> {
        let deadline = Instant::now() + limit;
        let link = tokio::time::timeout_at(deadline, self.link())
            .await
            .map_err(|_| WireError::NotSent(self.address))??;
        let call_id = link.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&link.pending).insert(call_id, sender);
        let _cancel = CancelOnDrop {
            call_id,
            link: link.clone(),
        };
        let sent = link.frames.send(Frame::Call { call_id, request });
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(WireError::NotSent(self.address)),
        }
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(WireError::ConnectionLost),
            Err(_) => Err(WireError::TimedOut),
        }
    }

    /// Sends a frame that has no response. The frame is dropped if the connection cannot be opened
    /// or its write queue is full.
    pub async fn send(&self, frame: Frame) {
        if let Ok(link) = self.link().await {
            let _ = link.frames.try_send(frame);
        }
    }

    async fn link(&self) -> Result<Link, WireError> {
        let mut slot = self.link.lock().await;
        match &mut *slot {
            (Some(link), _) if !link.frames.is_closed() => return Ok(link.clone()),
            (_, Some(tried)) if tried.elapsed() < self.settings.reconnect_delay => {
                return Err(WireError::NotSent(self.address));
            }
            _ => {}
        }
        *slot = (None, Some(Instant::now()));
        let link = self.connect().await?;
        self.connection_count.fetch_add(1, Ordering::AcqRel);
        slot.0 = Some(link.clone());
        Ok(link)
    }

    async fn connect(&self) -> Result<Link, WireError> {
        let unreachable = |_| WireError::NotSent(self.address);
        let stream = timeout(self.settings.connect_timeout, TcpStream::connect(self.address))
            .await
            .map_err(|_| WireError::NotSent(self.address))?
            .map_err(unreachable)?;
        let (reader, writer) = match connection::open(stream, &self.secret).await {
            Err(WireError::Authentication) => return Err(WireError::Authentication),
            other => other.map_err(|_| WireError::NotSent(self.address))?,
        };
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_FRAMES);
        let pending = PendingCalls::default();
        let link = Link {
            next_call_id: Arc::default(),
            frames,
            pending: pending.clone(),
        };
        let prober = Prober {
            next_call_id: link.next_call_id.clone(),
            frames: link.frames.downgrade(),
            probe_after: self.settings.probe_after,
        };
        let pushes = self.pushes.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = writer.run(queue) => {}
                () = read_frames(reader, &pending, pushes, prober) => {}
            }
            // Dropping the senders fails every pending call with `WireError::ConnectionLost`.
            lock(&pending).clear();
        });
        Ok(link)
    }
}

/// Cancels a call whose future is dropped, so that the receiver does not run a request that nobody
/// waits for.
struct CancelOnDrop {
    call_id: u64,
    link: Link,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let is_pending = lock(&self.link.pending).remove(&self.call_id).is_some();
        if is_pending {
            let _ = self.link.frames.try_send(Frame::Cancel {
                call_id: self.call_id,
            });
        }
    }
}

/// Sends pings on a silent connection. A network partition is detected only this way, since TCP
/// retransmits for minutes before it reports an error.
struct Prober {
    next_call_id: Arc<AtomicU64>,
    /// Weak, so that the connection closes when its client is dropped.
    frames: mpsc::WeakSender<Frame>,
    /// Time without a frame after which a ping is sent.
    probe_after: Duration,
}

impl Prober {
    fn ping(&self) {
        let call_id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        if let Some(frames) = self.frames.upgrade() {
            let _ = frames.try_send(Frame::Call {
                call_id,
                request: Request::Ping,
            });
        }
    }
}

/// Delivers responses and pushed updates until the connection fails, a ping gets no response or an
/// unexpected frame arrives.
async fn read_frames(
    mut reader: FrameReader,
    pending: &PendingCalls,
    pushes: Option<mpsc::Sender<FollowUpdate>>,
    prober: Prober,
) {
    let mut probed = false;
    let mut next = Box::pin(reader.next());
    loop {
        let frame = match timeout(prober.probe_after, &mut next).await {
            Ok(Ok(frame)) => frame,
            Err(_) if !probed => {
                prober.ping();
                probed = true;
                continue;
            }
            Ok(Err(_)) | Err(_) => return,
        };
        drop(next);
        probed = false;
        match (frame, &pushes) {
            (Frame::Reply { call_id, response }, _) => {
                if let Some(sender) = lock(pending).remove(&call_id) {
                    let _ = sender.send(response);
                }
            }
            (
                Frame::Push {
                    changes,
                    index,
                    reset,
                },
                Some(pushes),
            ) => {
                if pushes
                    .send(FollowUpdate {
                        changes,
                        index,
                        reset,
                    })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            _ => return,
        }
        next = Box::pin(reader.next());
    }
}

fn lock(pending: &PendingCalls) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Response>>> {
    pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
