//! Framing: a big-endian length, a postcard body and a keyed tag.

use {
    crate::{
        CellSecret, Frame, PeerTraffic, TrafficDirection, TrafficKind, WireError, cell_secret::TAG_BYTES,
    },
    tokio::io::{AsyncRead, AsyncReadExt},
};

/// Longest frame body in bytes. Snapshots are sent in smaller parts.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;

/// Length of the prefix of a frame in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes and tags the frames of one direction of a connection.
pub(crate) struct Sealer {
    key: CellSecret,
    sequence: u64,
}

impl Sealer {
    pub(crate) fn new(key: CellSecret) -> Self {
        Self { key, sequence: 0 }
    }

    /// Appends the frame to `output`, ready to be written.
    pub(crate) fn seal(&mut self, frame: &Frame, output: &mut Vec<u8>) -> Result<(), WireError> {
        let body = postcard::to_stdvec(frame)?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(WireError::Oversized(body.len()));
        }
        output.extend_from_slice(&(body.len() as u32).to_be_bytes());
        output.extend_from_slice(&body);
        output.extend_from_slice(&self.key.tag(self.sequence, &body));
        self.sequence += 1;
        count(TrafficDirection::Sent, frame, body.len());
        Ok(())
    }
}

/// Checks and decodes the frames of one direction of a connection.
pub(crate) struct Opener {
    key: CellSecret,
    sequence: u64,
}

impl Opener {
    pub(crate) fn new(key: CellSecret) -> Self {
        Self { key, sequence: 0 }
    }

    /// Reads the next frame.
    pub(crate) async fn read(&mut self, input: &mut (impl AsyncRead + Unpin)) -> Result<Frame, WireError> {
        let body_bytes = input.read_u32().await? as usize;
        if body_bytes > MAX_FRAME_BYTES {
            return Err(WireError::Oversized(body_bytes));
        }
        let mut sealed = vec![0; body_bytes + TAG_BYTES];
        input.read_exact(&mut sealed).await?;
        let (body, tag) = sealed.split_at(body_bytes);
        if !self.key.verify(self.sequence, body, tag) {
            return Err(WireError::Authentication);
        }
        self.sequence += 1;
        let frame = postcard::from_bytes(body)?;
        count(TrafficDirection::Received, &frame, body_bytes);
        Ok(frame)
    }
}

fn count(direction: TrafficDirection, frame: &Frame, body_bytes: usize) {
    let bytes = PREFIX_BYTES + body_bytes + TAG_BYTES;
    PeerTraffic::global().add(direction, TrafficKind::of(frame), bytes);
}
