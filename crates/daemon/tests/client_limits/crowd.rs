//! Crowds of clients that stay outside the limits, on blocking sockets with one thread for each client.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Longest time for which one write of a client may block. A server that stops reading keeps it waiting.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the last write in which the server handles what has arrived.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Size of the pieces of a chunked body in bytes.
const CHUNK_BYTES: usize = 256;
/// Declared length of a body far over the limit in bytes.
const FAR_TOO_LONG_BYTES: usize = 100 << 20;
/// Bytes that are sent of a body far over the limit.
const SENT_OF_TOO_LONG_BYTES: usize = 1 << 20;

/// Request line and headers of a client.
#[derive(Clone, Copy)]
pub struct Target<'a> {
    pub headers: &'a str,
    pub method: &'a str,
    pub path: &'a str,
}

impl Target<'_> {
    fn head(&self, more: &str) -> String {
        format!(
            "{} {} HTTP/1.1\r\n{}{more}\r\n",
            self.method, self.path, self.headers
        )
    }

    /// A body of legal size in one piece that stops two bytes short.
    pub fn stopped_body(&self, bytes: usize) -> Vec<u8> {
        let mut request = self.head(&format!("Content-Length: {bytes}\r\n")).into_bytes();
        request.resize(request.len() + bytes - 2, b' ');
        request
    }

    /// A body of legal size in small chunks, without the last one.
    pub fn stopped_chunks(&self, bytes: usize) -> Vec<u8> {
        let mut request = self.head("Transfer-Encoding: chunked\r\n").into_bytes();
        for _ in 0..bytes / CHUNK_BYTES {
            request.extend(format!("{CHUNK_BYTES:x}\r\n").as_bytes());
            request.resize(request.len() + CHUNK_BYTES, b' ');
            request.extend(b"\r\n");
        }
        request
    }

    /// The first part of a body that is declared far over the limit.
    pub fn far_too_long(&self) -> Vec<u8> {
        let mut request = self
            .head(&format!("Content-Length: {FAR_TOO_LONG_BYTES}\r\n"))
            .into_bytes();
        request.resize(request.len() + SENT_OF_TOO_LONG_BYTES, b' ');
        request
    }

    /// A complete request with this body.
    pub fn whole(&self, body: &str) -> Vec<u8> {
        let mut request = self
            .head(&format!("Content-Length: {}\r\n", body.len()))
            .into_bytes();
        request.extend(body.as_bytes());
        request
    }

    /// Many requests without a body, one after the other.
    pub fn pipelined(&self, count: usize) -> Vec<u8> {
        self.head("").repeat(count).into_bytes()
    }

    /// A request head of many long fields that never ends.
    pub fn endless_head(&self, bytes: usize) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n{}", self.method, self.path, self.headers);
        let mut number = 0;
        while head.len() < bytes {
            number += 1;
            head.push_str(&format!("x-field-{number}: {}\r\n", "v".repeat(4_000)));
        }
        head.into_bytes()
    }

    /// A head of legal size made of very many short fields.
    pub fn short_fields(&self, bytes: usize) -> Vec<u8> {
        let fields: String = (0..bytes / 8)
            .map(|number| format!("a{number:03x}:b\r\n"))
            .collect();
        self.head(&fields).into_bytes()
    }

    /// A request that stops within its first line.
    pub fn half_line(&self) -> Vec<u8> {
        format!("{} {}", self.method, self.path).into_bytes()
    }
}

/// Returns a JSON list with as many of the elements as fit into a text of this length.
pub fn list_of(element: &str, bytes: usize) -> String {
    let count = bytes / (element.len() + 1);
    format!("[{}]", vec![element; count].join(","))
}

/// Connects `count` clients at once that each send `request`, and returns their open connections.
///
/// Writes and connections that fail are left as they are, since a server may refuse such a client.
pub fn open(address: SocketAddr, count: usize, request: &[u8]) -> Vec<TcpStream> {
    let streams = thread::scope(|scope| {
        let clients: Vec<_> = (0..count)
            .map(|_| scope.spawn(move || open_client(address, request)))
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok().flatten())
            .collect()
    });
    thread::sleep(SETTLE_TIME);
    streams
}

fn open_client(address: SocketAddr, request: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok()?;
    let _ = stream.write_all(request);
    Some(stream)
}
