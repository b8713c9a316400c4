//! Requests over loopback sockets against a server with low limits.

use {
    bytes::Bytes,
    fuchsiatack_http::{
        BodyError, Connection, HttpLimits, HttpServer, HttpService, Limit, LimitObserver, read_body,
    },
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

const LONG_BODY_BYTES: usize = 32 << 20;
const MAX_BODY_BYTES: usize = 100_000;
/// Longest wait for an answer. It ends a test that hangs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers with the length of the body.
struct LengthService;

impl HttpService for LengthService {
    type Body = Full<Bytes>;

    async fn call(
        &self,
        request: Request<Incoming>,
        connection: &Arc<Connection>,
        _remote: SocketAddr,
    ) -> Response<Full<Bytes>> {
        match read_body(connection, request.into_body(), MAX_BODY_BYTES).await {
            Ok(body) => respond(StatusCode::OK, body.bytes.len().to_string()),
            Err(BodyError::NoRoom) => respond(StatusCode::SERVICE_UNAVAILABLE, String::new()),
            Err(BodyError::TooLong) => respond(StatusCode::PAYLOAD_TOO_LARGE, String::new()),
            Err(BodyError::Broken) => respond(StatusCode::BAD_REQUEST, String::new()),
        }
    }

    fn refuse(&self, _limit: Limit) -> Response<Full<Bytes>> {
        respond(StatusCode::SERVICE_UNAVAILABLE, String::new())
    }
}

/// Answers with a long body, more than the buffers of the sockets take.
struct LongService;

impl HttpService for LongService {
    type Body = Full<Bytes>;

    async fn call(
        &self,
        _request: Request<Incoming>,
        _connection: &Arc<Connection>,
        _remote: SocketAddr,
    ) -> Response<Full<Bytes>> {
        respond(StatusCode::OK, "x".repeat(LONG_BODY_BYTES))
    }

    fn refuse(&self, _limit: Limit) -> Response<Full<Bytes>> {
        respond(StatusCode::SERVICE_UNAVAILABLE, String::new())
    }
}

fn respond(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

#[derive(Default)]
struct Reached(Mutex<Vec<Limit>>);

impl LimitObserver for Reached {
    fn limit_reached(&self, limit: Limit) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(limit);
    }
}

impl Reached {
    fn has(&self, limit: Limit) -> bool {
        let reached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        reached.contains(&limit)
    }
}

async fn start(limits: HttpLimits) -> (HttpServer, SocketAddr, Arc<Reached>) {
    start_service(limits, LengthService).await
}

async fn start_service(
    limits: HttpLimits,
    service: impl HttpService,
) -> (HttpServer, SocketAddr, Arc<Reached>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port should be bound");
    let address = listener.local_addr().expect("the listener should be bound");
    let reached = Arc::new(Reached::default());
    let server = HttpServer::start(listener, limits, reached.clone(), Arc::new(service));
    (server, address, reached)
}

async fn send(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server should accept");
    let _ = stream.write_all(request.as_bytes()).await;
    stream
}

/// Reads what the server sends until it closes the connection or `end` has arrived.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let read = async {
        let mut buffer = [0; 1_024];
        while let Ok(bytes @ 1..) = stream.read(&mut buffer).await {
            text.extend_from_slice(&buffer[..bytes]);
            if String::from_utf8_lossy(&text).contains(end) {
                break;
            }
        }
    };
    timeout(WAIT_TIMEOUT, read)
        .await
        .expect("an answer should arrive");
    String::from_utf8_lossy(&text).into_owned()
}

fn post(bytes: usize) -> String {
    let body = "x".repeat(bytes);
    format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {bytes}\r\n\r\n{body}")
}

/// Guards against bodies that are cut, mixed up between blocks or lost between requests of a connection.
#[tokio::test]
async fn bodies_of_all_lengths_arrive_complete() {
    let (server, address, _) = start(HttpLimits::default()).await;
    let mut stream = send(address, "").await;

    for bytes in [0, 1, 16_383, 16_384, 16_385, 32_768, MAX_BODY_BYTES] {
        stream
            .write_all(post(bytes).as_bytes())
            .await
            .expect("the server should read");
        let answer = read_until(&mut stream, &format!("\r\n\r\n{bytes}")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{bytes}: {answer}");
    }
    let chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n";
    stream
        .write_all(chunked.as_bytes())
        .await
        .expect("the server should read");
    let answer = read_until(&mut stream, "\r\n\r\n4").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");

    server.stop(Duration::ZERO).await;
}

/// Guards against reading a body that is declared over the limit.
#[tokio::test]
async fn a_body_declared_too_long_is_answered_before_it_arrives() {
    let (server, address, reached) = start(HttpLimits::default()).await;

    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100001\r\n\r\n";
    let answer = read_until(&mut send(address, head).await, "\r\n\r\n").await;

    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(reached.has(Limit::BodyBytes));
    server.stop(Duration::ZERO).await;
}

/// Guards against a budget that stopped bodies use up for good.
#[tokio::test]
async fn a_stopped_body_is_closed_for_one_that_arrives() {
    const STOPPED: usize = 4;
    let limits = HttpLimits {
        max_held_bytes: 512 << 10,
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;
    let stopped = post(90_000);
    let mut held = Vec::new();
    for _ in 0..STOPPED {
        held.push(send(address, &stopped[..stopped.len() - 2]).await);
    }
    sleep(Duration::from_millis(700)).await;

    let answer = read_until(&mut send(address, &post(90_000)).await, "\r\n\r\n90000").await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(reached.has(Limit::HeldBytes));
    server.stop(Duration::ZERO).await;
}

/// Guards against connections over the limit that take the place of active ones, and against a limit that
/// connections without a request keep reached for good.
#[tokio::test]
async fn a_connection_over_the_limit_is_refused_until_another_one_stalls() {
    let limits = HttpLimits {
        max_connections: 1,
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;
    let _held = send(address, "POST / HTT").await;

    let refused = read_until(&mut send(address, &post(1)).await, "\r\n\r\n").await;
    sleep(Duration::from_millis(2_200)).await;
    let accepted = read_until(&mut send(address, &post(1)).await, "\r\n\r\n1").await;

    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(accepted.starts_with("HTTP/1.1 200"), "{accepted}");
    assert!(reached.has(Limit::Connections));
    server.stop(Duration::ZERO).await;
}

/// Guards against connections of one address beyond their limit.
#[tokio::test]
async fn an_address_has_its_own_limit() {
    let limits = HttpLimits {
        max_connections_per_address: Some(1),
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;
    let mut first = send(address, &post(1)).await;
    read_until(&mut first, "\r\n\r\n1").await;

    let closed = read_until(&mut send(address, &post(1)).await, "HTTP").await;

    assert_eq!(closed, "");
    assert!(reached.has(Limit::AddressConnections));
    server.stop(Duration::ZERO).await;
}

/// Guards against clients that hold a connection without sending or reading.
#[tokio::test]
async fn slow_clients_are_closed_at_each_limit_in_time() {
    let limits = HttpLimits {
        head_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_millis(500),
        rate_grace: Duration::from_millis(500),
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;
    let stopped_body = post(1_000);
    let clients = [
        ("", Limit::IdleTime),
        ("POST / HTTP/1.1\r\n", Limit::HeadTime),
        (&stopped_body[..stopped_body.len() - 2], Limit::BodyRate),
    ];

    for (request, limit) in clients {
        let mut stream = send(address, request).await;
        let answer = read_until(&mut stream, "HTTP").await;
        assert_eq!(answer, "", "{limit:?}");
        assert!(reached.has(limit), "{limit:?}");
    }
    server.stop(Duration::ZERO).await;
}

/// Guards against a response that is held for a client which does not read it, and against closing one that reads.
#[tokio::test]
async fn an_unread_response_is_closed_and_a_read_one_is_complete() {
    let limits = HttpLimits {
        max_held_bytes: 3 * LONG_BODY_BYTES,
        rate_grace: Duration::from_millis(500),
        ..HttpLimits::default()
    };
    let (server, address, reached) = start_service(limits, LongService).await;
    let request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    let mut unread = send(address, request).await;
    let mut read = send(address, request).await;
    let mut response = Vec::new();
    timeout(WAIT_TIMEOUT, read.read_to_end(&mut response))
        .await
        .expect("the response should arrive")
        .expect("the response should be complete");
    sleep(Duration::from_secs(3)).await;
    let mut rest = Vec::new();
    let _ = timeout(WAIT_TIMEOUT, unread.read_to_end(&mut rest))
        .await
        .expect("the connection should be closed");

    assert!(response.len() > LONG_BODY_BYTES);
    assert!(rest.len() < LONG_BODY_BYTES, "{} bytes", rest.len());
    assert!(reached.has(Limit::ResponseRate));
    server.stop(Duration::ZERO).await;
}

/// Guards against requests without end from one read of a connection.
#[tokio::test]
async fn too_many_pipelined_requests_are_refused() {
    let limits = HttpLimits {
        max_pipelined: 3,
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;

    let requests = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(10);
    let answers = read_until(&mut send(address, &requests).await, "503 Service").await;

    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
    assert!(answers.contains("HTTP/1.1 503"), "{answers}");
    assert!(reached.has(Limit::Pipelined));
    server.stop(Duration::ZERO).await;
}

/// Guards against request heads beyond the limit.
#[tokio::test]
async fn a_long_head_is_refused() {
    let limits = HttpLimits {
        max_head_bytes: 8 << 10,
        ..HttpLimits::default()
    };
    let (server, address, reached) = start(limits).await;

    let head = format!("GET / HTTP/1.1\r\nHost: a\r\nx: {}\r\n\r\n", "v".repeat(9_000));
    let answer = read_until(&mut send(address, &head).await, "\r\n\r\n").await;

    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    sleep(Duration::from_millis(100)).await;
    assert!(reached.has(Limit::Head));
    server.stop(Duration::ZERO).await;
}

/// Guards against a stop that waits for clients which send nothing.
#[tokio::test]
async fn a_stop_ends_with_idle_and_stopped_connections() {
    let (server, address, _) = start(HttpLimits::default()).await;
    let _idle = send(address, "").await;
    let _stopped = send(address, "POST / HTTP/1.1\r\n").await;
    sleep(Duration::from_millis(100)).await;

    let stop = server.stop(Duration::from_millis(500));

    timeout(WAIT_TIMEOUT, stop).await.expect("the stop should end");
}
