//! Compression of large frames, views and changes, for links with little bandwidth.

use crate::{PeerError, frame::MAX_FRAME_BYTES};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use types::{ClusterView, ViewChange, ViewVersion};

/// Minimum size in bytes of a compressed frame. For smaller frames, compression saves less than it
/// costs.
const MIN_COMPRESSED_BYTES: usize = 1_024;
/// First byte of an uncompressed frame.
const UNCOMPRESSED: u8 = 0;
/// First byte of a compressed frame, which is followed by the uncompressed length and LZ4 data.
const COMPRESSED: u8 = 1;

/// A whole view, encoded and compressed: the uncompressed length, followed by LZ4 data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedView(Bytes);

impl PackedView {
    /// Encodes and compresses a view.
    ///
    /// # Errors
    ///
    /// Fails if the view cannot be encoded.
    pub fn pack(view: &ClusterView) -> Result<Self, PeerError> {
        let encoded = postcard::to_stdvec(view).map_err(|error| malformed(&error))?;
        Ok(Self(lz4_flex::compress_prepend_size(&encoded).into()))
    }

    /// Decompresses and decodes the view.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed, or if the decompressed size exceeds [`MAX_FRAME_BYTES`].
    pub fn unpack(&self) -> Result<ClusterView, PeerError> {
        let encoded = decompress(&self.0).ok_or_else(|| {
            PeerError::Malformed("packed view: cannot be decompressed".to_owned())
        })?;
        postcard::from_bytes(&encoded).map_err(|error| malformed(&error))
    }
}

/// Consecutive changes of the view, encoded and compressed once for many entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChanges {
    /// The version that the first change follows.
    pub since: ViewVersion,
    /// The uncompressed length, followed by LZ4 data.
    bytes: Bytes,
}

impl PackedChanges {
    /// Encodes and compresses the changes that follow version `since`.
    ///
    /// # Errors
    ///
    /// Fails if the changes cannot be encoded.
    pub fn pack(since: ViewVersion, changes: &[ViewChange]) -> Result<Self, PeerError> {
        let encoded = postcard::to_stdvec(changes).map_err(|error| malformed(&error))?;
        Ok(Self { since, bytes: lz4_flex::compress_prepend_size(&encoded).into() })
    }

    /// Decompresses and decodes the changes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed, or if the decompressed size exceeds [`MAX_FRAME_BYTES`].
    pub fn unpack(&self) -> Result<Vec<ViewChange>, PeerError> {
        let encoded = decompress(&self.bytes).ok_or_else(|| {
            PeerError::Malformed("packed changes: cannot be decompressed".to_owned())
        })?;
        postcard::from_bytes(&encoded).map_err(|error| malformed(&error))
    }
}

fn malformed(error: &postcard::Error) -> PeerError {
    PeerError::Malformed(format!("packed view: {error}"))
}

/// Decompresses LZ4 data that follows its uncompressed length. Returns `None` if the data is
/// malformed or its length exceeds [`MAX_FRAME_BYTES`].
fn decompress(body: &[u8]) -> Option<Vec<u8>> {
    let (length, _) = body.split_first_chunk::<4>()?;
    let is_within_limit = u32::from_le_bytes(*length) as usize <= MAX_FRAME_BYTES;
    if is_within_limit { lz4_flex::decompress_size_prepended(body).ok() } else { None }
}

/// Marks a frame as compressed or not, and compresses it if it is large.
pub(crate) fn compress_frame(frame: Vec<u8>) -> Bytes {
    let is_large = frame.len() >= MIN_COMPRESSED_BYTES;
    let (marker, body) = match is_large {
        true => (COMPRESSED, lz4_flex::compress_prepend_size(&frame)),
        false => (UNCOMPRESSED, frame),
    };
    let mut bytes = Vec::with_capacity(body.len() + 1);
    bytes.push(marker);
    bytes.extend_from_slice(&body);
    bytes.into()
}

/// Reverses [`compress_frame`]. Returns `None` if the bytes are malformed.
pub(crate) fn decompress_frame(bytes: &[u8]) -> Option<Vec<u8>> {
    match bytes.split_first()? {
        (&UNCOMPRESSED, body) => Some(body.to_vec()),
        (&COMPRESSED, body) => decompress(body),
        _ => None,
    }
}
