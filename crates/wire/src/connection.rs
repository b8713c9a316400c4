//! Handshake of a peer connection and its reading and writing halves.
//!
//! Each side sends a random challenge and proves with a tag over both challenges that it holds the
//! cell's secret. The keys of both directions are derived from the secret and the challenges.

use {
    crate::{
        CellSecret, Frame, WireError,
        cell_secret::TAG_BYTES,
        codec::{FrameDecoder, FrameEncoder},
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
/// Size in bytes above which no further frame is added to a write.
const WRITE_BATCH_BYTES: usize = 64 << 10;

/// Reading half of an authenticated connection.
pub(crate) struct FrameReader {
    decoder: FrameDecoder,
    stream: BufReader<OwnedReadHalf>,
}

impl FrameReader {
    pub(crate) async fn next(&mut self) -> Result<Frame, WireError> {
        self.decoder.read(&mut self.stream).await
    }
}

/// Writing half of an authenticated connection.
pub(crate) struct FrameWriter {
    encoder: FrameEncoder,
    stream: OwnedWriteHalf,
}

impl FrameWriter {
    /// Writes frames until the channel closes or the connection fails. Queued frames are combined
    /// into one write.
    pub(crate) async fn run(mut self, mut frames: mpsc::Receiver<Frame>) -> Result<(), WireError> {
        let mut buffer = Vec::new();
        while let Some(frame) = frames.recv().await {
            self.encoder.encode(&frame, &mut buffer)?;
            while buffer.len() < WRITE_BATCH_BYTES {
                match frames.try_recv() {
                    Ok(frame) => self.encoder.encode(&frame, &mut buffer)?,
                    Err(_) => break,
                }
            }
            self.stream.write_all(&buffer).await?;
            buffer.clear();
        }
        Ok(())
    }
}

/// Performs the handshake on the side that opened the connection.
pub(crate) async fn open(
    stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    timeout(HANDSHAKE_TIMEOUT, client_handshake(stream, secret))
        .await
        .map_err(|_| WireError::TimedOut)?
}

/// Performs the handshake on the side that accepted the connection.
pub(crate) async fn accept(
    stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    timeout(HANDSHAKE_TIMEOUT, server_handshake(stream, secret))
        .await
        .map_err(|_| WireError::TimedOut)?
}

async fn client_handshake(
    mut stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    stream.set_nodelay(true)?;
    let own_challenge = challenge();
    stream.write_all(&own_challenge).await?;
    let mut peer_challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !secret
        .derive(SERVER_PROOF, &[&own_challenge, &peer_challenge])
        .verify(0, &[], &proof)
    {
        return Err(WireError::Authentication);
    }
    stream
        .write_all(
            &secret
                .derive(CLIENT_PROOF, &[&own_challenge, &peer_challenge])
                .tag(0, &[]),
        )
        .await?;
    let send_key = secret.derive(CLIENT_TO_SERVER, &[&own_challenge, &peer_challenge]);
    let receive_key = secret.derive(SERVER_TO_CLIENT, &[&own_challenge, &peer_challenge]);
    Ok(split(stream, send_key, receive_key))
}

async fn server_handshake(
    mut stream: TcpStream,
    secret: &CellSecret,
) -> Result<(FrameReader, FrameWriter), WireError> {
    stream.set_nodelay(true)?;
    let mut peer_challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut peer_challenge).await?;
    let own_challenge = challenge();
    stream.write_all(&own_challenge).await?;
    stream
        .write_all(
            &secret
                .derive(SERVER_PROOF, &[&peer_challenge, &own_challenge])
                .tag(0, &[]),
        )
        .await?;
    let mut proof = [0; TAG_BYTES];
    stream.read_exact(&mut proof).await?;
    if !secret
        .derive(CLIENT_PROOF, &[&peer_challenge, &own_challenge])
        .verify(0, &[], &proof)
    {
        return Err(WireError::Authentication);
    }
    let send_key = secret.derive(SERVER_TO_CLIENT, &[&peer_challenge, &own_challenge]);
    let receive_key = secret.derive(CLIENT_TO_SERVER, &[&peer_challenge, &own_challenge]);
    Ok(split(stream, send_key, receive_key))
}

fn challenge() -> [u8; CHALLENGE_BYTES] {
    let mut bytes = [0; CHALLENGE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

fn split(stream: TcpStream, send_key: CellSecret, receive_key: CellSecret) -> (FrameReader, FrameWriter) {
    let (read, write) = stream.into_split();
    let reader = FrameReader {
        decoder: FrameDecoder::new(receive_key),
        stream: BufReader::new(read),
    };
    let writer = FrameWriter {
        encoder: FrameEncoder::new(send_key),
        stream: write,
    };
    (reader, writer)
}
