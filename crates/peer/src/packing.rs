//! Compression of large frames on narrow links.

use crate::frame::MAX_FRAME_BYTES;
use bytes::Bytes;

/// Frames below this many bytes are sent as they are; compressing them saves less than it costs.
const MIN_PACKED_BYTES: usize = 1_024;
/// First byte of a frame that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a frame that is compressed (LZ4, with its length before it).
const PACKED: u8 = 1;

/// Returns a frame as it goes over the link.
pub(crate) fn pack(frame: Vec<u8>) -> Bytes {
    let is_large = frame.len() >= MIN_PACKED_BYTES;
    let (mark, body) = match is_large {
        true => (PACKED, lz4_flex::compress_prepend_size(&frame)),
        false => (PLAIN, frame),
    };
    let mut packed = Vec::with_capacity(body.len() + 1);
    packed.push(mark);
    packed.extend_from_slice(&body);
    packed.into()
}

/// Returns the frame of bytes that came over a link, `None` if they are none.
pub(crate) fn unpack(bytes: &[u8]) -> Option<Vec<u8>> {
    match bytes.split_first()? {
        (&PLAIN, body) => Some(body.to_vec()),
        (&PACKED, body) => {
            let (length, _) = body.split_first_chunk::<4>()?;
            let is_bounded = u32::from_le_bytes(*length) as usize <= MAX_FRAME_BYTES;
            if is_bounded { lz4_flex::decompress_size_prepended(body).ok() } else { None }
        }
        _ => None,
    }
}
