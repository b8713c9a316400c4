//! HTTP/1.1 over blocking sockets: a client for one request, and the parts of a server.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response.
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Returns the value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a word of the first line.
    pub fn word(&self, position: usize) -> &str {
        self.first_line.split(' ').nth(position).unwrap_or("")
    }
}

/// Reads a message; `None` at the end of the connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: String::new(),
    };
    let length = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// Writes a response.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> Result<()> {
    let text = format!(
        "HTTP/1.1 {status} status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Sends a request on a new connection and returns the status and body of the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let response = read(&mut reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
    let status = response.word(1).parse();
    status
        .map(|status| (status, response.body.clone()))
        .map_err(|_| Error::from(ErrorKind::InvalidData))
}
