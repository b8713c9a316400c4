//! Free addresses for the processes of a test.

use std::{
    collections::HashSet,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{LazyLock, Mutex, MutexGuard, PoisonError},
};

/// Attempts to find a port that is free for TCP and UDP.
const ATTEMPTS: usize = 50;

/// Addresses that were given out. The system may choose a port again once it is released, while a
/// test on another thread still starts the process that it is meant for.
static GIVEN_OUT: LazyLock<Mutex<HashSet<SocketAddr>>> = LazyLock::new(Mutex::default);

/// Loopback address of this test process. Tests in parallel use different ones, and connections
/// leave from 127.0.0.1, so a released port is not taken before the daemon binds it.
pub fn test_ip() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 64, middle, low.clamp(1, 254))
}

/// Keeps other threads from probing ports while a process is started.
///
/// A new process holds copies of all open sockets until it executes its program. A probe that
/// is copied so keeps its port bound after it was released, and the port's daemon cannot listen.
pub(crate) fn hold() -> MutexGuard<'static, HashSet<SocketAddr>> {
    GIVEN_OUT.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets the system choose a port that is free for TCP and UDP, and releases it.
/// Each address is given out once in a process.
pub fn free_address() -> io::Result<SocketAddr> {
    let mut given_out = hold();
    let mut last = io::Error::other("no attempt was made");
    for _ in 0..ATTEMPTS {
        let listener = TcpListener::bind((test_ip(), 0))?;
        let address = listener.local_addr()?;
        match UdpSocket::bind(address) {
            Ok(_) if given_out.insert(address) => return Ok(address),
            Ok(_) => {}
            Err(error) => last = error,
        }
    }
    Err(last)
}
