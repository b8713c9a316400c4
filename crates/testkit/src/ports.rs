//! Free addresses for the processes of a test.

use std::{
    collections::HashSet,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{LazyLock, Mutex, MutexGuard, PoisonError},
};

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const ATTEMPTS: usize = 50;

/// Addresses that were returned already. The system may choose a released port again while a test on
/// another thread still starts the process that the port is meant for.
static ALLOCATED: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);

/// Loopback address of this test process.
///
/// Parallel test processes use different addresses and outgoing connections use 127.0.0.1, so no other
/// socket takes a released port before the daemon binds it.
pub fn test_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, middle, low.clamp(1, 254))
}

/// Prevents other threads from probing ports while a process is started.
///
/// A new process holds copies of all open sockets until it executes its program. The copy of a probe
/// socket would keep the port bound after its release, and the daemon could not listen on it.
pub(crate) fn block_probing() -> MutexGuard<'static, HashSet<SocketAddr>> {
    ALLOCATED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns an address of [`test_ip`] whose port is free for TCP and UDP and not bound.
/// No address is returned twice in a process.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut allocated = block_probing();
    let (listener, _) = probe(&mut allocated)?;
    listener.local_addr()
}

/// Binds a TCP and a UDP socket to the same free port of [`test_ip`].
pub(crate) fn bind_free_port() -> io::Result<(TcpListener, UdpSocket)> {
    probe(&mut block_probing())
}

fn probe(allocated: &mut HashSet<SocketAddr>) -> io::Result<(TcpListener, UdpSocket)> {
    let mut last = io::Error::other("no attempt was made");
    for _ in 0..ATTEMPTS {
        let listener = TcpListener::bind((test_ip(), 0))?;
        let address = listener.local_addr()?;
        match UdpSocket::bind(address) {
            Ok(socket) if allocated.insert(address) => return Ok((listener, socket)),
            Ok(_) => {}
            Err(error) => last = error,
        }
    }
    Err(last)
}
