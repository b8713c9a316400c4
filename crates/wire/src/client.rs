//! Connection to one other daemon.

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

/// Frames that may wait to be written.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Changes pushed to a follower.
#[value]
pub struct FollowUpdate {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Index up to which they reach.
    pub index: LogIndex,
    /// Whether the follower must forget what it has.
    pub reset: bool,
}

/// Times of a connection.
#[derive(Clone, Debug)]
pub struct PeerClientSettings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Silence after which the connection is probed; it is closed after as long again.
    pub probe_after: Duration,
    /// Shortest time between two attempts to connect.
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

type Pending = Arc<Mutex<HashMap<u64, oneshot::Sender<Response>>>>;

/// A live connection. Dropping the last clone of `frames` closes it.
#[derive(Clone)]
struct Link {
    calls: Arc<AtomicU64>,
    frames: mpsc::Sender<Frame>,
    pending: Pending,
}

/// Connection to one address, opened when it is needed and opened again after it was lost.
pub struct PeerClient {
    address: SocketAddr,
    connections: AtomicU64,
    link: tokio::sync::Mutex<(Option<Link>, Option<Instant>)>,
    pushes: Option<mpsc::Sender<FollowUpdate>>,
    secret: CellSecret,
    settings: PeerClientSettings,
}

impl PeerClient {
    /// Creates a client. `pushes` receives the updates that follow a `Request::Follow`.
    pub fn new(
        address: SocketAddr,
        secret: CellSecret,
        settings: PeerClientSettings,
        pushes: Option<mpsc::Sender<FollowUpdate>>,
    ) -> Self {
        Self {
            address,
            connections: AtomicU64::default(),
            link: tokio::sync::Mutex::default(),
            pushes,
            secret,
            settings,
        }
    }

    /// Address of the other daemon.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections opened so far. A subscription ends with the connection it was made on.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Acquire)
    }

    /// Makes a call and waits for its answer.
    ///
    /// `WireError::had_no_effect` tells whether a failed call may have taken effect.
    pub async fn call(&self, request: Request, limit: Duration) -> Result<Response, WireError> {
        let deadline = Instant::now() + limit;
        let link = tokio::time::timeout_at(deadline, self.link())
            .await
            .map_err(|_| WireError::NotSent(self.address))??;
        let call = link.calls.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        lock(&link.pending).insert(call, sender);
        let _cancel = CancelOnDrop {
            call,
            link: link.clone(),
        };
        let sent = link.frames.send(Frame::Call { call, request });
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

    /// Sends a frame without an answer. It is dropped if there is no connection.
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
        self.connections.fetch_add(1, Ordering::AcqRel);
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
        let pending = Pending::default();
        let link = Link {
            calls: Arc::default(),
            frames,
            pending: pending.clone(),
        };
        let prober = Prober {
            calls: link.calls.clone(),
            frames: link.frames.downgrade(),
            probe_after: self.settings.probe_after,
        };
        let pushes = self.pushes.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = writer.run(queue) => {}
                () = read_frames(reader, &pending, pushes, prober) => {}
            }
            // Dropping the senders tells every caller that the connection is lost.
            lock(&pending).clear();
        });
        Ok(link)
    }
}

/// Cancels a call that is no longer waited for, so that the receiver does not run a request whose
/// caller went away.
struct CancelOnDrop {
    call: u64,
    link: Link,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let is_open = lock(&self.link.pending).remove(&self.call).is_some();
        if is_open {
            let _ = self.link.frames.try_send(Frame::Cancel { call: self.call });
        }
    }
}

/// Sends pings on a silent connection. A lost network segment is noticed only this way, since
/// TCP retransmits for minutes.
struct Prober {
    calls: Arc<AtomicU64>,
    /// Weak, so that the connection closes when its client is dropped.
    frames: mpsc::WeakSender<Frame>,
    probe_after: Duration,
}

impl Prober {
    fn ping(&self) {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        if let Some(frames) = self.frames.upgrade() {
            let _ = frames.try_send(Frame::Call {
                call,
                request: Request::Ping,
            });
        }
    }
}

async fn read_frames(
    mut reader: FrameReader,
    pending: &Pending,
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
            (Frame::Reply { call, response }, _) => {
                if let Some(sender) = lock(pending).remove(&call) {
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

fn lock(pending: &Pending) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<Response>>> {
    pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
