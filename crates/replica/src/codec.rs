//! On-disk record format: magic number, body length, checksum and body.

use crc32fast::Hasher;
use std::ops::Range;

/// Magic number at the start of each record.
const RECORD_MAGIC: u32 = 0x4854_484c;
/// Size of a record header in bytes.
pub(crate) const HEADER_BYTES: usize = 12;
/// Maximum size of a record body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// Encodes a record with the given body.
pub(crate) fn encode_record(body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len());
    record.extend_from_slice(&RECORD_MAGIC.to_le_bytes());
    record.extend_from_slice(&(body.len() as u32).to_le_bytes());
    record.extend_from_slice(&checksum(body).to_le_bytes());
    record.extend_from_slice(body);
    record
}

/// Returns the byte range of the body of the record at `offset`, or `None` if the record is
/// incomplete or damaged.
pub(crate) fn find_record(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
    let read_u32 = |start: usize| {
        let part = bytes.get(start..start + 4)?;
        Some(u32::from_le_bytes(part.try_into().ok()?))
    };
    if read_u32(offset)? != RECORD_MAGIC {
        return None;
    }
    let length = read_u32(offset + 4)? as usize;
    let expected = read_u32(offset + 8)?;
    let start = offset + HEADER_BYTES;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(start..start + length)?;
    (checksum(body) == expected).then_some(start..start + length)
}

/// Returns whether an undamaged record starts anywhere after `offset`.
pub(crate) fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| find_record(bytes, start).is_some())
}

fn checksum(body: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
