//! Frames: a protocol version, the sender's hybrid time and a message, encoded with postcard.

use crate::PeerError;
use runtime::HybridTime;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Version of the message format. Frames with another version are rejected.
const PROTOCOL_VERSION: u8 = 3;

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails if postcard cannot encode the message.
pub fn encode_frame<T: Serialize>(time: HybridTime, message: &T) -> Result<Vec<u8>, PeerError> {
    let frame = vec![PROTOCOL_VERSION];
    let result = postcard::to_extend(&(time, message), frame);
    result.map_err(|error| PeerError::Malformed(error.to_string()))
}

/// Decodes a frame into the sender's time and the message.
///
/// # Errors
///
/// Fails on an unknown version, and on truncated, trailing or invalid bytes.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<(HybridTime, T), PeerError> {
    let malformed = |reason: &str| PeerError::Malformed(reason.to_owned());
    match bytes.split_first() {
        None => Err(malformed("empty frame")),
        Some((&PROTOCOL_VERSION, rest)) => {
            let (value, left) = postcard::take_from_bytes::<(HybridTime, T)>(rest)
                .map_err(|error| malformed(&error.to_string()))?;
            if left.is_empty() { Ok(value) } else { Err(malformed("trailing bytes")) }
        }
        Some((version, _)) => Err(malformed(&format!("protocol version {version}"))),
    }
}
