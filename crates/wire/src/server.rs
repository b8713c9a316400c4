//! Listener for connections of other daemons.

use {
    crate::{CellSecret, Frame, Handler, PeerCaller, Request, Response, WireError, connection},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc},
        task::{AbortHandle, JoinSet},
    },
};

/// Pause after a failed accept, so that running out of file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most calls of one connection that are answered at a time; further frames wait.
const MAX_CALLS_PER_CONNECTION: usize = 4_096;
/// Frames that may wait to be written on one connection.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Counts of what the listener dropped.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Connections closed for a wrong proof, tag or frame.
    pub dropped_connections: AtomicU64,
}

/// Listener of a daemon's peer port.
pub struct PeerServer {
    counters: Arc<ServerCounters>,
    listener: TcpListener,
    secret: CellSecret,
}

impl PeerServer {
    /// Binds the peer port.
    pub async fn bind(address: SocketAddr, secret: CellSecret) -> Result<Self, WireError> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| WireError::Bind { address, source })?;
        Ok(Self {
            counters: Arc::default(),
            listener,
            secret,
        })
    }

    /// Counters of dropped connections.
    pub fn counters(&self) -> Arc<ServerCounters> {
        self.counters.clone()
    }

    /// Address that is bound, with the port that the system chose if the setting was 0.
    pub fn local_address(&self) -> Result<SocketAddr, WireError> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves connections until the future is dropped; its connections are closed with it.
    pub async fn serve(self, handler: Arc<impl Handler>) {
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let counters = self.counters.clone();
            let handler = handler.clone();
            let secret = self.secret.clone();
            connections.spawn(async move {
                let ended = serve_connection(stream, &secret, handler).await;
                if is_hostile(&ended) {
                    counters.dropped_connections.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    }
}

fn is_hostile(ended: &WireError) -> bool {
    matches!(
        ended,
        WireError::Authentication | WireError::Malformed(_) | WireError::Oversized(_)
    )
}

async fn serve_connection(stream: TcpStream, secret: &CellSecret, handler: Arc<impl Handler>) -> WireError {
    let (mut reader, writer) = match connection::accept(stream, secret).await {
        Ok(halves) => halves,
        Err(error) => return error,
    };
    let (pushes, frames) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let _ = writer.run(frames).await;
        None
    });
    let mut open: HashMap<u64, AbortHandle> = HashMap::new();
    let permits = Arc::new(Semaphore::new(MAX_CALLS_PER_CONNECTION));
    loop {
        while let Some(ended) = tasks.try_join_next() {
            if let Ok(Some(call)) = ended {
                open.remove(&call);
            }
        }
        match reader.next().await {
            Ok(Frame::Cancel { call }) => {
                if let Some(task) = open.remove(&call) {
                    task.abort();
                }
            }
            Ok(Frame::Call {
                call,
                request: Request::Ping,
            }) => {
                let _ = pushes
                    .send(Frame::Reply {
                        call,
                        response: Response::Pong,
                    })
                    .await;
            }
            Ok(Frame::Call { call, request }) => {
                let Ok(permit) = permits.clone().acquire_owned().await else {
                    return WireError::ConnectionLost;
                };
                let caller = PeerCaller {
                    frames: pushes.clone(),
                };
                let handler = handler.clone();
                let task = tasks.spawn(async move {
                    let pushes = caller.frames.clone();
                    let response = handler.call(caller, request).await;
                    let _ = pushes.send(Frame::Reply { call, response }).await;
                    drop(permit);
                    Some(call)
                });
                open.insert(call, task);
            }
            Ok(Frame::Consensus(envelope)) => handler.handle_consensus(*envelope),
            Ok(Frame::Push { .. } | Frame::Reply { .. }) => return WireError::Authentication,
            Err(error) => return error,
        }
    }
}
