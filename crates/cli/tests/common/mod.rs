//! Fake HTTP server with scripted responses, and helpers that run the command line.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

pub const KEY: &str = "s3cret-operator-key";

/// Request as the fake server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub body: String,
    pub headers: String,
    pub line: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// HTTP server that sends the given statuses and bodies, one for each request in order.
/// Status 0 closes the connection without a response.
pub struct FakeServer {
    pub address: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl FakeServer {
    pub fn start(responses: &[(u16, &str)]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let received = Arc::new(Mutex::new(Vec::new()));
        let requests = Arc::clone(&received);
        let responses: Vec<(u16, String)> = responses
            .iter()
            .map(|(status, body)| (*status, (*body).to_owned()))
            .collect();
        thread::spawn(move || {
            for (status, body) in responses {
                let (stream, _) = listener.accept().unwrap();
                let request = read_request(&stream);
                requests.lock().unwrap().push(request);
                respond(stream, status, &body);
            }
        });
        Self { address, received }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

fn read_request(stream: &TcpStream) -> ReceivedRequest {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let mut headers = String::new();
    while !headers.ends_with("\r\n\r\n") && headers != "\r\n" {
        reader.read_line(&mut headers).unwrap();
    }
    let mut request = ReceivedRequest {
        body: String::new(),
        headers,
        line: line.trim().to_owned(),
    };
    let length = request
        .header("content-length")
        .map_or(0, |length| length.trim().parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    request.body = String::from_utf8(body).unwrap();
    request
}

fn respond(mut stream: TcpStream, status: u16, body: &str) {
    if status > 0 {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
    }
}

/// Returns an address on which nothing listens.
pub fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Writes a file in the directory of the test target and returns its path.
pub fn write_file(name: &str, contents: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, contents).unwrap();
    path
}

/// Runs the command line with the operator's key, the given servers and the given arguments.
pub fn run(servers: &[&str], arguments: &[&str]) -> Output {
    let key = write_file(&format!("{:?}.key", thread::current().id()), KEY);
    let mut command = Command::new(env!("CARGO_BIN_EXE_fuchsiatack"));
    command.env("FUCHSIATACK_KEY_FILE", key);
    for server in servers {
        command.args(["--server", server]);
    }
    command.args(arguments).output().unwrap()
}

pub fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

pub fn standard_output(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn standard_error(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
