//! Tests that the proxy injects exactly the configured faults.

use {
    fuchsiatack_testkit::{LinkFaults, OUTSIDE, Proxy, free_address},
    std::{
        net::SocketAddr,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        time::{sleep, timeout},
    },
};

/// Longest wait for an expected event.
const LIMIT: Duration = Duration::from_secs(20);
/// Wait after which an event that must not happen counts as absent.
const SILENCE: Duration = Duration::from_millis(300);

/// A server that echoes each byte.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port should be found");
    let address = listener.local_addr().expect("the socket should have an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                tokio::io::copy(&mut reader, &mut writer).await
            });
        }
    });
    address
}

async fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut buffer = vec![0; length];
    timeout(LIMIT, stream.read_exact(&mut buffer))
        .await
        .expect("the bytes should arrive in time")
        .expect("the connection should be open");
    buffer
}

async fn is_silent(stream: &mut TcpStream) -> bool {
    timeout(SILENCE, stream.read_u8()).await.is_err()
}

/// Guards against a cut that forwards bytes of a connection, or that loses, repeats or reorders them.
#[tokio::test]
async fn a_cut_holds_the_bytes_of_a_connection() {
    let proxy = Proxy::new(1);
    let proxy_address = proxy
        .open_from("a", "b", echo().await)
        .await
        .expect("the proxy should open an address");
    let mut stream = TcpStream::connect(proxy_address)
        .await
        .expect("the connection should be opened");
    stream
        .write_all(b"one")
        .await
        .expect("the bytes should be written");
    assert_eq!(read(&mut stream, 3).await, b"one");

    proxy.cut("a", "b");
    stream
        .write_all(b"two")
        .await
        .expect("the bytes should be written");
    assert!(is_silent(&mut stream).await);
    stream
        .write_all(b"three")
        .await
        .expect("the bytes should be written");
    proxy.heal("a", "b");
    assert_eq!(read(&mut stream, 8).await, b"twothree");

    proxy.cut("b", "a");
    stream
        .write_all(b"four")
        .await
        .expect("the bytes should be written");
    assert!(is_silent(&mut stream).await);
    proxy.heal_all();
    assert_eq!(read(&mut stream, 4).await, b"four");
}

/// Guards against a cut that new connections bypass, or that forwards the end of a connection.
#[tokio::test]
async fn a_cut_holds_new_connections_and_ends() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port should be found");
    let target = listener.local_addr().expect("the socket should have an address");
    let proxy = Proxy::new(1);
    let proxy_address = proxy
        .open_from("a", "b", target)
        .await
        .expect("the proxy should open an address");

    proxy.isolate("b");
    let stream = TcpStream::connect(proxy_address)
        .await
        .expect("the proxy should accept the connection");
    assert!(timeout(SILENCE, listener.accept()).await.is_err());
    proxy.heal_both("b", fuchsiatack_testkit::ANY);
    let (mut accepted, _) = timeout(LIMIT, listener.accept())
        .await
        .expect("the proxy should connect to the target in time")
        .expect("the connection should be accepted");

    proxy.cut_both("a", "b");
    drop(stream);
    assert!(is_silent(&mut accepted).await);
    proxy.heal_all();
    let end = timeout(LIMIT, accepted.read(&mut [0; 1]))
        .await
        .expect("the connection should end in time");
    assert_eq!(end.expect("the connection should end cleanly"), 0);
}

/// Guards against an isolation that also separates a daemon from its own store role.
#[tokio::test]
async fn an_isolated_party_reaches_itself() {
    let proxy = Proxy::new(1);
    let proxy_address = proxy
        .open_from("a", "a", echo().await)
        .await
        .expect("the proxy should open an address");
    let mut stream = TcpStream::connect(proxy_address)
        .await
        .expect("the connection should be opened");

    proxy.isolate("a");
    proxy.reset_connections("a", fuchsiatack_testkit::ANY);

    stream.write_all(b"x").await.expect("the bytes should be written");
    assert_eq!(read(&mut stream, 1).await, b"x");
}

/// Guards against resets that appear as a clean end, or that affect other parties.
#[tokio::test]
async fn a_reset_breaks_only_its_connections() {
    let proxy = Proxy::new(1);
    let target = echo().await;
    let first = proxy
        .open_from("a", "b", target)
        .await
        .expect("the proxy should open an address");
    let second = proxy
        .open_from("a", "c", target)
        .await
        .expect("the proxy should open an address");
    let mut reset = TcpStream::connect(first)
        .await
        .expect("the connection should be opened");
    let mut unaffected = TcpStream::connect(second)
        .await
        .expect("the connection should be opened");
    for stream in [&mut reset, &mut unaffected] {
        stream.write_all(b"x").await.expect("the bytes should be written");
        read(stream, 1).await;
    }

    proxy.reset_connections("b", "a");

    let error = timeout(LIMIT, reset.read_u8())
        .await
        .expect("the connection should end in time")
        .expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    unaffected
        .write_all(b"y")
        .await
        .expect("the bytes should be written");
    assert_eq!(read(&mut unaffected, 1).await, b"y");
    let mut again = TcpStream::connect(first)
        .await
        .expect("the connection should be opened");
    again.write_all(b"z").await.expect("the bytes should be written");
    assert_eq!(read(&mut again, 1).await, b"z");
}

/// Guards against a delay that is not applied, or that is added again for each chunk of a stream.
#[tokio::test]
async fn a_delay_is_added_once() {
    let proxy = Proxy::new(1);
    let proxy_address = proxy
        .open_from("a", "b", echo().await)
        .await
        .expect("the proxy should open an address");
    proxy.set_faults(
        "a",
        "b",
        LinkFaults {
            delay: Duration::from_millis(200),
            ..LinkFaults::default()
        },
    );
    let mut stream = TcpStream::connect(proxy_address)
        .await
        .expect("the connection should be opened");
    let start = Instant::now();

    let sent: Vec<u8> = (0..400_000_u32).map(|number| number as u8).collect();
    let (mut reader, mut writer) = stream.split();
    let mut received = vec![0; sent.len()];
    let (written, received_all) = tokio::join!(writer.write_all(&sent), reader.read_exact(&mut received));

    written.expect("the bytes should be written");
    received_all.expect("the bytes should be read");
    assert!(received == sent);
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(200), "{elapsed:?}");
    // 25 chunks of 16 KiB, each delayed after the one before it, would take 5 s.
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

struct Datagrams {
    proxy_address: SocketAddr,
    proxy: Proxy,
    receiver: UdpSocket,
    sender: UdpSocket,
}

async fn datagrams() -> Datagrams {
    let proxy = Proxy::new(7);
    let receiver = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a free port should be found");
    let sender = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a free port should be found");
    proxy.register_address(
        "a",
        sender.local_addr().expect("the socket should have an address"),
    );
    let target = receiver.local_addr().expect("the socket should have an address");
    Datagrams {
        proxy_address: proxy
            .open("b", target)
            .await
            .expect("the proxy should open an address"),
        proxy,
        receiver,
        sender,
    }
}

impl Datagrams {
    async fn send(&self, text: &str) {
        self.sender
            .send_to(text.as_bytes(), self.proxy_address)
            .await
            .expect("the datagram should be sent");
    }

    async fn receive(&self) -> Option<String> {
        let mut buffer = [0; 100];
        let (length, _) = timeout(Duration::from_secs(2), self.receiver.recv_from(&mut buffer))
            .await
            .ok()?
            .expect("the datagram should be received");
        Some(String::from_utf8_lossy(&buffer[..length]).into_owned())
    }
}

/// Guards against a cut that delays datagrams instead of dropping them.
#[tokio::test]
async fn a_cut_drops_datagrams() {
    let test = datagrams().await;
    test.send("one").await;
    assert_eq!(test.receive().await.as_deref(), Some("one"));

    test.proxy.cut("a", "b");
    test.send("two").await;
    sleep(SILENCE).await;
    test.proxy.heal("a", "b");
    test.send("three").await;

    assert_eq!(test.receive().await.as_deref(), Some("three"));
    let traffic = test.proxy.traffic()[&("a".into(), "b".into())];
    assert_eq!((traffic.datagrams, traffic.dropped, traffic.bytes), (2, 1, 8));
}

/// Guards against duplication and reordering without effect.
#[tokio::test]
async fn duplicates_and_reorders_datagrams() {
    let test = datagrams().await;
    test.proxy.set_faults(
        "a",
        "b",
        LinkFaults {
            duplicate_millis: 1_000,
            ..LinkFaults::default()
        },
    );
    test.send("one").await;
    assert_eq!(test.receive().await.as_deref(), Some("one"));
    assert_eq!(test.receive().await.as_deref(), Some("one"));

    test.proxy.set_faults(
        "a",
        "b",
        LinkFaults {
            reorder_millis: 1_000,
            ..LinkFaults::default()
        },
    );
    test.send("two").await;
    test.send("three").await;
    assert_eq!(test.receive().await.as_deref(), Some("three"));
    assert_eq!(test.receive().await.as_deref(), Some("two"));
    test.send("four").await;
    assert_eq!(test.receive().await.as_deref(), Some("four"));
}

/// Starts a process that connects to an address and sends a line.
fn client_process(address: SocketAddr) -> Child {
    let script = format!(
        "exec 3<>/dev/tcp/{}/{}; echo x >&3; exec sleep 20",
        address.ip(),
        address.port()
    );
    Command::new("bash")
        .args(["-c", &script])
        .stdin(Stdio::null())
        .spawn()
        .expect("bash is installed, as the build scripts require it")
}

/// Guards against faults between two parties that affect a third one on the same listen address.
#[tokio::test]
async fn identifies_the_sender_by_its_process() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port should be found");
    let target = listener.local_addr().expect("the socket should have an address");
    let proxy = Proxy::new(1);
    let proxy_address = proxy
        .open("b", target)
        .await
        .expect("the proxy should open an address");
    proxy.cut("a", "b");

    let mut cut_off = client_process(proxy_address);
    proxy.register_process("a", cut_off.id());
    let held = timeout(Duration::from_secs(1), listener.accept()).await.is_err();
    let mut other = TcpStream::connect(proxy_address)
        .await
        .expect("the connection should be opened");
    other.write_all(b"y").await.expect("the bytes should be written");
    let (mut accepted, _) = timeout(LIMIT, listener.accept())
        .await
        .expect("the proxy should connect to the target in time")
        .expect("the connection should be accepted");
    let byte = accepted.read_u8().await.expect("the byte should arrive");
    cut_off.kill().expect("the process should run");
    cut_off.wait().expect("the process should end");

    assert!(held);
    assert_eq!(byte, b'y');
    assert!(proxy.traffic().contains_key(&(OUTSIDE.into(), "b".into())));
}

/// Guards against a proxy that hides a target that is down.
#[tokio::test]
async fn a_target_that_is_down_resets_the_connection() {
    let proxy = Proxy::new(1);
    let closed = free_address().expect("a free port should be found");
    let proxy_address = proxy
        .open_from("a", "b", closed)
        .await
        .expect("the proxy should open an address");
    let mut stream = TcpStream::connect(proxy_address)
        .await
        .expect("the proxy should accept the connection");

    assert!(
        timeout(LIMIT, stream.read_u8())
            .await
            .expect("the connection should end in time")
            .is_err()
    );
}
