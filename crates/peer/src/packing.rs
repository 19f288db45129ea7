//! Compression of large frames and views on narrow links.

use crate::{PeerError, frame::MAX_FRAME_BYTES};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::ClusterView;

/// Frames below this many bytes are sent as they are; compressing them saves less than it costs.
const MIN_PACKED_BYTES: usize = 1_024;
/// First byte of a frame that is sent as it is.
const PLAIN: u8 = 0;
/// First byte of a frame that is compressed (LZ4, with its length before it).
const PACKED: u8 = 1;

/// A whole view, encoded and compressed (LZ4, with its length before it).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedView(Bytes);

impl PackedView {
    /// Packs a view.
    ///
    /// # Errors
    ///
    /// Fails if the view cannot be encoded.
    pub fn pack(view: &ClusterView) -> Result<Self, PeerError> {
        let encoded = postcard::to_stdvec(view).map_err(|error| malformed(&error))?;
        Ok(Self(lz4_flex::compress_prepend_size(&encoded).into()))
    }

    /// Returns the view.
    ///
    /// # Errors
    ///
    /// Fails on bytes that are no packed view, or one of more than [`MAX_FRAME_BYTES`].
    pub fn unpack(&self) -> Result<ClusterView, PeerError> {
        let encoded = decompress(&self.0)
            .ok_or_else(|| PeerError::Malformed("the packed view is broken".to_owned()))?;
        postcard::from_bytes(&encoded).map_err(|error| malformed(&error))
    }
}

fn malformed(error: &postcard::Error) -> PeerError {
    PeerError::Malformed(format!("packed view: {error}"))
}

/// Decompresses bytes that stand behind their length, `None` if they are broken or too long.
fn decompress(body: &[u8]) -> Option<Vec<u8>> {
    let (length, _) = body.split_first_chunk::<4>()?;
    let is_bounded = u32::from_le_bytes(*length) as usize <= MAX_FRAME_BYTES;
    if is_bounded { lz4_flex::decompress_size_prepended(body).ok() } else { None }
}

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
        (&PACKED, body) => decompress(body),
        _ => None,
    }
}
