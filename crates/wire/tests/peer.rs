//! Peer connections and datagrams over loopback.

use {
    fuchsiatack_consensus::Envelope,
    fuchsiatack_ledger::{Query, Renewal},
    fuchsiatack_model::{DaemonName, LogIndex, Resources, SessionId},
    fuchsiatack_wire::{
        CellSecret, FollowUpdate, Frame, Handler, HintSocket, LoadHint, PeerCaller, PeerClient,
        PeerClientSettings, PeerServer, Request, Response, ServerCounters, WireError,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::mpsc, task::JoinHandle},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Store that responds to `Follow` with two pushes, to `Renew` with the number of the session, and
/// never to `Query`.
#[derive(Default)]
struct FakeStore {
    /// Number of calls that were dropped before a response.
    cancelled: Arc<AtomicU64>,
}

struct CountOnDrop(Arc<AtomicU64>);

impl Drop for CountOnDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl Handler for FakeStore {
    async fn call(&self, caller: PeerCaller, request: Request) -> Response {
        match request {
            Request::Follow { .. } => {
                for index in [1, 2] {
                    let push = Frame::Push {
                        changes: Vec::new(),
                        index: LogIndex(index),
                        reset: index == 1,
                    };
                    caller.frames.send(push).await.expect("connection is open");
                }
                Response::Following
            }
            Request::Query(_) => {
                let _count = CountOnDrop(self.cancelled.clone());
                std::future::pending().await
            }
            Request::Renew(renewal) => {
                // Calls with a higher session finish earlier, so that responses arrive out of order.
                tokio::time::sleep(Duration::from_millis(64 - renewal.session.0)).await;
                Response::Failed {
                    message: renewal.session.0.to_string().into(),
                }
            }
            _ => Response::Failed {
                message: "unexpected".into(),
            },
        }
    }

    fn handle_consensus(&self, _envelope: Envelope) {}
}

struct Server {
    address: SocketAddr,
    cancelled: Arc<AtomicU64>,
    counters: Arc<ServerCounters>,
    task: JoinHandle<()>,
}

async fn server(secret: &str) -> Server {
    let server = PeerServer::bind(loopback(), CellSecret::new(secret))
        .await
        .expect("loopback binds");
    let address = server.local_address().expect("socket is bound");
    let counters = server.counters();
    let store = FakeStore::default();
    let cancelled = store.cancelled.clone();
    let task = tokio::spawn(server.serve(Arc::new(store)));
    Server {
        address,
        cancelled,
        counters,
        task,
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(address: SocketAddr, secret: &str, pushes: Option<mpsc::Sender<FollowUpdate>>) -> PeerClient {
    let settings = PeerClientSettings {
        probe_after: Duration::from_millis(200),
        ..Default::default()
    };
    PeerClient::new(address, CellSecret::new(secret), settings, pushes)
}

fn hint(sequence: u64) -> LoadHint {
    LoadHint {
        daemon: DaemonName::new("entry-1"),
        free_slots: 3,
        sequence,
        session: SessionId(7),
        token_teams: Vec::new(),
        waiting: 0,
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let reached = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reached)
        .await
        .expect("condition is reached in time");
}

/// Guards against a response that is delivered to the wrong call.
#[tokio::test]
async fn concurrent_calls_get_their_own_responses() {
    let server = server("a shared secret").await;
    let client = Arc::new(client(server.address, "a shared secret", None));

    let calls: Vec<_> = (0..64_u64)
        .map(|number| {
            let client = client.clone();
            let renewal = Renewal {
                applied: LogIndex(0),
                free: Resources::NONE,
                session: SessionId(number),
                stopping: false,
                usage: Vec::new(),
            };
            tokio::spawn(async move { (number, client.call(Request::Renew(renewal), TEST_TIMEOUT).await) })
        })
        .collect();

    for call in calls {
        let (number, response) = call.await.expect("call does not panic");
        let expected = Response::Failed {
            message: number.to_string().into(),
        };
        assert_eq!(response.expect("a response arrives"), expected);
    }
}

/// Guards against a follower that loses or reorders updates.
#[tokio::test]
async fn pushes_arrive_in_order() {
    let server = server("a shared secret").await;
    let (sender, mut updates) = mpsc::channel(4);
    let client = client(server.address, "a shared secret", Some(sender));

    client
        .call(
            Request::Follow {
                from: LogIndex(0),
                session: SessionId(1),
            },
            TEST_TIMEOUT,
        )
        .await
        .expect("a response arrives");

    let first = updates.recv().await.expect("first update");
    let second = updates.recv().await.expect("second update");
    assert_eq!((first.index, first.reset), (LogIndex(1), true));
    assert_eq!((second.index, second.reset), (LogIndex(2), false));
}

/// Guards against a peer that is accepted without the cell's secret.
#[tokio::test]
async fn wrong_secret_is_rejected() {
    let server = server("a shared secret").await;
    let client = client(server.address, "another secret", None);

    let result = client.call(Request::Ping, TEST_TIMEOUT).await;

    let error = result.expect_err("call is rejected");
    assert!(matches!(error, WireError::Authentication), "{error:?}");
    assert!(error.had_no_effect());
}

/// Guards against a connection of another protocol that is not closed and counted.
#[tokio::test]
async fn stray_streams_are_dropped_and_counted() {
    let server = server("a shared secret").await;
    let mut stream = TcpStream::connect(server.address).await.expect("server listens");

    stream.write_all(&[7; 4_096]).await.expect("bytes are sent");

    wait_until(|| server.counters.dropped_connections.load(Ordering::Relaxed) == 1).await;
}

/// Guards against an error that claims no effect although the receiver may have run the call.
#[tokio::test]
async fn lost_response_is_in_doubt() {
    let server = server("a shared secret").await;
    let client = Arc::new(client(server.address, "a shared secret", None));
    let calling = client.clone();
    let query = Request::Query(Query::Status);
    let call = tokio::spawn(async move { calling.call(query, TEST_TIMEOUT).await });
    wait_until(|| client.connection_count() == 1).await;
    client
        .call(Request::Ping, TEST_TIMEOUT)
        .await
        .expect("connection works");

    server.task.abort();

    let error = call
        .await
        .expect("call does not panic")
        .expect_err("no response arrives");
    assert!(matches!(error, WireError::ConnectionLost), "{error:?}");
    assert!(!error.had_no_effect());
}

/// Guards against a call that never times out, and a time-out that claims no effect.
#[tokio::test]
async fn silent_receiver_times_out_in_doubt() {
    let server = server("a shared secret").await;
    let client = client(server.address, "a shared secret", None);

    let query = Request::Query(Query::Status);
    let error = client
        .call(query, Duration::from_millis(300))
        .await
        .expect_err("no response arrives");

    assert!(!error.had_no_effect(), "{error:?}");
}

/// Guards against a forwarded request that keeps running after its caller has dropped it.
#[tokio::test]
async fn dropped_call_is_cancelled_at_the_receiver() {
    let server = server("a shared secret").await;
    let client = client(server.address, "a shared secret", None);

    let query = Request::Query(Query::Status);
    let dropped = tokio::time::timeout(Duration::from_millis(100), client.call(query, TEST_TIMEOUT)).await;

    assert!(dropped.is_err());
    wait_until(|| server.cancelled.load(Ordering::Relaxed) == 1).await;
    assert_eq!(client.connection_count(), 1);
}

/// Guards against an error that reports a call as in doubt although the port was closed.
#[tokio::test]
async fn closed_port_has_no_effect() {
    let unused = std::net::TcpListener::bind(loopback()).expect("loopback binds");
    let address = unused.local_addr().expect("socket is bound");
    drop(unused);

    let error = client(address, "a shared secret", None)
        .call(Request::Ping, TEST_TIMEOUT)
        .await
        .expect_err("refused");

    assert!(error.had_no_effect(), "{error:?}");
}

/// Guards against forged load hints, which could attract requests to a daemon.
#[tokio::test]
async fn forged_datagrams_are_dropped_and_counted() {
    let secret = CellSecret::new("a shared secret");
    let receiver = HintSocket::bind(loopback(), &secret).await.expect("binds");
    let address = receiver.local_address().expect("socket is bound");
    let forger = HintSocket::bind(loopback(), &CellSecret::new("another secret"))
        .await
        .expect("binds");
    let sender = HintSocket::bind(loopback(), &secret).await.expect("binds");

    forger.send(address, &hint(1)).await.expect("sent");
    sender.send(address, &hint(2)).await.expect("sent");

    let received = tokio::time::timeout(TEST_TIMEOUT, receiver.receive())
        .await
        .expect("in time")
        .expect("received");
    assert_eq!(received.sequence, 2);
    assert_eq!(receiver.dropped_datagrams.load(Ordering::Relaxed), 1);
}
