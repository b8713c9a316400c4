//! Server of the peer port: accepts connections of other daemons and runs their calls.

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

/// Pause after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of concurrent calls on one connection. A further call, and the frames after it,
/// wait until one of them ends.
const MAX_CALLS_PER_CONNECTION: usize = 4_096;
/// Capacity of a connection's write queue in frames.
const WRITE_QUEUE_FRAMES: usize = 4_096;

/// Counters of the peer server.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Number of connections closed because of an invalid proof, tag or frame.
    pub dropped_connections: AtomicU64,
}

/// Server of a daemon's peer port.
pub struct PeerServer {
    counters: Arc<ServerCounters>,
    listener: TcpListener,
    secret: CellSecret,
}

impl PeerServer {
    /// Binds the TCP side of the peer port.
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

    /// Returns the counters, which stay valid after `serve` has consumed the server.
    pub fn counters(&self) -> Arc<ServerCounters> {
        self.counters.clone()
    }

    /// Returns the bound address, with the port that the system chose if port 0 was requested.
    pub fn local_address(&self) -> Result<SocketAddr, WireError> {
        Ok(self.listener.local_addr()?)
    }

    /// Serves connections until the future is dropped, which also closes the connections.
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
                let error = serve_connection(stream, &secret, handler).await;
                if is_protocol_violation(&error) {
                    counters.dropped_connections.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    }
}

fn is_protocol_violation(error: &WireError) -> bool {
    matches!(
        error,
        WireError::Authentication | WireError::Malformed(_) | WireError::Oversized(_)
    )
}

/// Serves one connection. Returns the error that ended it.
async fn serve_connection(stream: TcpStream, secret: &CellSecret, handler: Arc<impl Handler>) -> WireError {
    let (mut reader, writer) = match connection::accept(stream, secret).await {
        Ok(halves) => halves,
        Err(error) => return error,
    };
    let (outgoing, frames) = mpsc::channel(WRITE_QUEUE_FRAMES);
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let _ = writer.run(frames).await;
        None
    });
    let mut running_calls: HashMap<u64, AbortHandle> = HashMap::new();
    let permits = Arc::new(Semaphore::new(MAX_CALLS_PER_CONNECTION));
    loop {
        while let Some(ended) = tasks.try_join_next() {
            if let Ok(Some(call_id)) = ended {
                running_calls.remove(&call_id);
            }
        }
        match reader.next().await {
            Ok(Frame::Cancel { call_id }) => {
                if let Some(task) = running_calls.remove(&call_id) {
                    task.abort();
                }
            }
            Ok(Frame::Call {
                call_id,
                request: Request::Ping,
            }) => {
                let _ = outgoing
                    .send(Frame::Reply {
                        call_id,
                        response: Response::Pong,
                    })
                    .await;
            }
            Ok(Frame::Call { call_id, request }) => {
                let Ok(permit) = permits.clone().acquire_owned().await else {
                    return WireError::ConnectionLost;
                };
                let caller = PeerCaller {
                    frames: outgoing.clone(),
                };
                let handler = handler.clone();
                let task = tasks.spawn(async move {
                    let outgoing = caller.frames.clone();
                    let response = handler.call(caller, request).await;
                    let _ = outgoing.send(Frame::Reply { call_id, response }).await;
                    drop(permit);
                    Some(call_id)
                });
                running_calls.insert(call_id, task);
            }
            Ok(Frame::Consensus(envelope)) => handler.handle_consensus(*envelope),
            Ok(Frame::Push { .. } | Frame::Reply { .. }) => return WireError::Authentication,
            Err(error) => return error,
        }
    }
}
