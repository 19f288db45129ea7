//! Records on disk: magic number, length, checksum, body.

use crc32fast::Hasher;
use std::ops::Range;

/// Marks the start of each record.
const RECORD_MAGIC: u32 = 0x4854_484c;
/// Bytes before the body of a record.
pub(crate) const HEADER_BYTES: usize = 12;
/// The greatest body of a record in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// Returns a record with this body.
pub(crate) fn encode_record(body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len());
    record.extend_from_slice(&RECORD_MAGIC.to_le_bytes());
    record.extend_from_slice(&(body.len() as u32).to_le_bytes());
    record.extend_from_slice(&checksum(body).to_le_bytes());
    record.extend_from_slice(body);
    record
}

/// Returns where the body of the record at `offset` lies, if the record is whole and undamaged.
pub(crate) fn find_record(bytes: &[u8], offset: usize) -> Option<Range<usize>> {
    let word = |at: usize| {
        let part = bytes.get(at..at + 4)?;
        Some(u32::from_le_bytes(part.try_into().ok()?))
    };
    if word(offset)? != RECORD_MAGIC {
        return None;
    }
    let length = word(offset + 4)? as usize;
    let expected = word(offset + 8)?;
    let start = offset + HEADER_BYTES;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let body = bytes.get(start..start + length)?;
    (checksum(body) == expected).then_some(start..start + length)
}

/// Says whether an undamaged record begins anywhere after `offset`.
pub(crate) fn has_record_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| find_record(bytes, start).is_some())
}

fn checksum(body: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
