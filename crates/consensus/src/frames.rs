//! Format of log segments.
//!
//! A segment is a sequence of frames. Each sync appends one frame:
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | `MAGIC` |
//! | 8 | sequence number of the frame, little-endian |
//! | 4 | length of the body, little-endian |
//! | 4 | CRC-32 of the 16 bytes above, little-endian |
//! | n | records, each with 4 bytes length, 4 bytes CRC-32 and a postcard body |
//!
//! A frame is written only after the previous one was synced. An invalid frame that is followed by
//! a valid one is therefore damage, and any other invalid frame is an append that did not finish.

use {
    crate::{Entry, HardState},
    fuchsiatack_derives::message,
    fuchsiatack_model::LogIndex,
    std::sync::Arc,
};

const HEADER_BYTES: usize = 20;
const MAGIC: [u8; 4] = *b"FXL1";
const RECORD_HEADER_BYTES: usize = 8;

/// One record of a segment.
#[message]
pub(crate) enum Record {
    /// Log entry. It replaces any stored entry at its index and all later ones.
    Entry(Arc<Entry>),
    /// Term and vote; replaces the earlier hard state.
    HardState(HardState),
    /// Discards all entries before this record. The log continues after this index.
    Reset(LogIndex),
}

/// A decoded frame.
pub(crate) struct Frame {
    /// Byte offset of the end of the frame in the file.
    pub(crate) end: usize,
    pub(crate) records: Vec<Record>,
    pub(crate) sequence: u64,
}

/// Encodes one frame.
pub(crate) fn encode(sequence: u64, records: &[Record]) -> Result<Vec<u8>, postcard::Error> {
    let mut frame = vec![0; HEADER_BYTES];
    for record in records {
        let body = postcard::to_stdvec(record)?;
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        frame.extend_from_slice(&body);
    }
    let body_bytes = (frame.len() - HEADER_BYTES) as u32;
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..12].copy_from_slice(&sequence.to_le_bytes());
    frame[12..16].copy_from_slice(&body_bytes.to_le_bytes());
    let checksum = crc32fast::hash(&frame[..16]);
    frame[16..20].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// Decodes the frame at `offset`, or returns `None` if it is incomplete or damaged.
pub(crate) fn decode(file: &[u8], offset: usize) -> Option<Frame> {
    let header = file.get(offset..offset + HEADER_BYTES)?;
    let is_valid = header[..4] == MAGIC && read_u32(header, 16)? == crc32fast::hash(&header[..16]);
    if !is_valid {
        return None;
    }
    let body_start = offset + HEADER_BYTES;
    let end = body_start.checked_add(read_u32(header, 12)? as usize)?;
    let records = decode_records(file.get(body_start..end)?)?;
    let sequence = u64::from_le_bytes(header[4..12].try_into().ok()?);
    Some(Frame {
        end,
        records,
        sequence,
    })
}

/// Returns whether a valid frame starts anywhere after `offset`.
pub(crate) fn has_frame_after(file: &[u8], offset: usize) -> bool {
    (offset + 1..file.len()).any(|start| file[start..].starts_with(&MAGIC) && decode(file, start).is_some())
}

fn decode_records(mut body: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = read_u32(body, 0)? as usize;
        let checksum = read_u32(body, 4)?;
        let record = body.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES.checked_add(length)?)?;
        if crc32fast::hash(record) != checksum {
            return None;
        }
        records.push(postcard::from_bytes(record).ok()?);
        body = &body[RECORD_HEADER_BYTES + length..];
    }
    Some(records)
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}
