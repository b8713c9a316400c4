//! Handshake and the two halves of a peer connection.

use {
    crate::{
        CellSecret, Frame, WireError,
        cell_secret::TAG_BYTES,
        codec::{Opener, Sealer},
    },
    rand::Rng,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, BufReader},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::mpsc,
        time::timeout,
    },
};

const CHALLENGE_BYTES: usize = 32;
const CLIENT_PROOF: &str = "client proof";
const CLIENT_TO_SERVER: &str = "client to server";
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const SERVER_PROOF: &str = "server proof";
const SERVER_TO_CLIENT: &str = "server to client";
/// Most bytes that are collected from waiting frames for one write.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// Reading half of an authenticated connection.
pub(crate) struct FrameReader {
    opener: Opener,
    stream: BufReader<OwnedReadHalf>,
}

impl FrameReader {
    pub(crate) async fn next(&mut self) -> Result<Frame, WireError> {
        self.opener.read(&mut self.stream).await
    }
}

/// Writing half of an authenticated connection.
pub(crate) struct FrameWriter {
    sealer: Sealer,
    stream: OwnedWriteHalf,
}

impl FrameWriter {
    /// Writes frames until the channel closes or the connection fails. Waiting frames share a write.
    pub(crate) async fn run(mut self, mut frames: mpsc::Receiver<Frame>) -> Result<(), WireError> {
        let mut buffer = Vec::new();
        while let Some(frame) = frames.recv().await {
            self.sealer.seal(&frame, &mut buffer)?;
            while buffer.len() < WRITE_BATCH_BYTES {
                match frames.try_recv() {
                    Ok(frame) => self.sealer.seal(&frame, &mut buffer)?,
                    Err(_) => break,
                }
            }
            self.stream.write_all(&buffer).await?;
            buffer.clear();
        }
        Ok(())
    }
}

/// Authenticates a connection from the side that opened it.
pub(crate) async fn open(
    stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    timeout(HANDSHAKE_TIMEOUT, open_unbounded(stream, secret))
        .await
        .map_err(|_| WireError::TimedOut)?
}

/// Authenticates a connection from the side that accepted it.
pub(crate) async fn accept(
    stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    timeout(HANDSHAKE_TIMEOUT, accept_unbounded(stream, secret))
        .await
        .map_err(|_| WireError::TimedOut)?
}

async fn open_unbounded(
    mut stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    stream.set_nodelay(true)?;
    let own = challenge();
    stream.write_all(&own).await?;
    let mut other = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut other).await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !secret
        .derive(SERVER_PROOF, &[&own, &other])
        .verify(0, &[], &proof)
    {
        return Err(WireError::Authentication);
    }
    stream
        .write_all(&secret.derive(CLIENT_PROOF, &[&own, &other]).tag(0, &[]))
        .await?;
    let sending = secret.derive(CLIENT_TO_SERVER, &[&own, &other]);
    let receiving = secret.derive(SERVER_TO_CLIENT, &[&own, &other]);
    Ok(halves(stream, sending, receiving))
}

async fn accept_unbounded(
    mut stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    stream.set_nodelay(true)?;
    let mut other = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut other).await?;
    let own = challenge();
    stream.write_all(&own).await?;
    stream
        .write_all(&secret.derive(SERVER_PROOF, &[&other, &own]).tag(0, &[]))
        .await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !secret
        .derive(CLIENT_PROOF, &[&other, &own])
        .verify(0, &[], &proof)
    {
        return Err(WireError::Authentication);
    }
    let sending = secret.derive(SERVER_TO_CLIENT, &[&other, &own]);
    let receiving = secret.derive(CLIENT_TO_SERVER, &[&other, &own]);
    Ok(halves(stream, sending, receiving))
}

fn challenge() -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0; CHALLENGE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

fn halves(stream: TcpStream, sending: CellSecret, receiving: CellSecret) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.into_split();
    let reader = FrameReader {
        opener: Opener::new(receiving),
        stream: BufReader::new(read),
    };
    let writer = FrameWriter {
        sealer: Sealer::new(sending),
        stream: write,
    };
    (reader, writer)
}
