//! Encoding of frames on a connection: the body length as a big-endian `u32`, the postcard body,
//! and an authentication tag over the frame's sequence number and body.

use {
    crate::{
        CellSecret, Frame, PeerTraffic, TrafficDirection, TrafficKind, WireError, cell_secret::TAG_BYTES,
    },
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Longest frame body in bytes. Snapshots are split into smaller frames.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;

/// Length of the length prefix of a frame in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes and authenticates the frames that are sent on a connection.
pub(crate) struct FrameEncoder {
    key: CellSecret,
    sequence: u64,
}

impl FrameEncoder {
    pub(crate) fn new(key: CellSecret) -> Self {
        Self { key, sequence: 0 }
    }

    /// Appends the encoded frame to `output`.
    pub(crate) fn encode(&mut self, frame: &Frame, output: &mut Vec<u8>) -> Result<(), WireError> {
        let body = postcard::to_stdvec(frame)?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(WireError::Oversized(body.len()));
        }
        output.extend_from_slice(&(body.len() as u32).to_be_bytes());
        output.extend_from_slice(&body);
        output.extend_from_slice(&self.key.tag(self.sequence, &body));
        self.sequence += 1;
        count_frame(TrafficDirection::Sent, frame, body.len());
        Ok(())
    }
}

/// Verifies and decodes the frames that are received on a connection.
pub(crate) struct FrameDecoder {
    key: CellSecret,
    sequence: u64,
}

impl FrameDecoder {
    pub(crate) fn new(key: CellSecret) -> Self {
        Self { key, sequence: 0 }
    }

    /// Reads the next frame. Fails if its tag, length or body is invalid.
    pub(crate) async fn read(&mut self, input: &mut (impl AsyncRead + Unpin)) -> Result<Frame, WireError> {
        let body_bytes = input.read_u32().await? as usize;
        if body_bytes > MAX_FRAME_BYTES {
            return Err(WireError::Oversized(body_bytes));
        }
        let mut tagged_body = vec![0; body_bytes + TAG_BYTES];
        input.read_exact(&mut tagged_body).await?;
        let (body, tag) = tagged_body.split_at(body_bytes);
        if !self.key.verify(self.sequence, body, tag) {
            return Err(WireError::Authentication);
        }
        self.sequence += 1;
        let frame = postcard::from_bytes(body)?;
        count_frame(TrafficDirection::Received, &frame, body_bytes);
        Ok(frame)
    }
}

fn count_frame(direction: TrafficDirection, frame: &Frame, body_bytes: usize) {
    let bytes = PREFIX_BYTES + body_bytes + TAG_BYTES;
    PeerTraffic::global().add(direction, TrafficKind::of(frame), bytes);
}
