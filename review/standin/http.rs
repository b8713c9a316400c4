//! Minimal HTTP/1.1 over TCP: requests with a body of known length, on connections that stay open.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A received request.
pub struct Request {
    pub path: String,
    pub body: String,
}

/// Reads the next request of a connection; `None` once it is closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, body) = read_message(reader)?;
    let mut words = first.split_whitespace();
    let path = words.nth(1)?.to_owned();
    Some(Request { path, body })
}

/// Writes a response with a JSON body.
pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> Option<()> {
    let text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()
}

/// Sends a request on a new connection. Returns status and body, or `None` without a complete response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Content-Type: application/json\r\nConnection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let (first, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body))
}

/// Reads the first line and the body of a message.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, String::from_utf8(body).ok()?))
}

/// Returns the value of a number in a flat JSON object; `None` if the field is missing.
pub fn number(body: &str, field: &str) -> Option<u64> {
    let rest = after_field(body, field)?;
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Returns the value of a text without escapes in a flat JSON object; `None` if the field is missing.
pub fn text<'a>(body: &'a str, field: &str) -> Option<&'a str> {
    let rest = after_field(body, field)?.strip_prefix('"')?;
    rest.split('"').next()
}

fn after_field<'a>(body: &'a str, field: &str) -> Option<&'a str> {
    let name = format!("\"{field}\":");
    let start = body.find(&name)? + name.len();
    Some(body[start..].trim_start())
}
