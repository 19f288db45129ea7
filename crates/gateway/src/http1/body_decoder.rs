//! Decodes request bodies, with a `Content-Length` or chunked.

use super::head::BodyFraming;
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Maximum length of a chunk-size line or of a trailer field, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// The reason why a body is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum BodyDecodeError {
    /// A chunk or a trailer field is not well-formed.
    #[error("a chunk of the body cannot be read")]
    Malformed,
    /// The body exceeds this limit, in bytes.
    #[error("the body has more than {0} bytes")]
    TooLarge(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Bytes left of a body with a `Content-Length`.
    Length(u64),
    ChunkLine,
    /// Bytes left of the current chunk.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// Decodes a body incrementally as its bytes arrive.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: DecoderState,
    limit: u64,
    body: BytesMut,
}

impl BodyDecoder {
    /// Starts decoding a body of at most `limit` bytes. Fails if its `Content-Length` exceeds the
    /// limit.
    pub(crate) fn new(framing: BodyFraming, limit: u64) -> Result<Self, BodyDecodeError> {
        let state = match framing {
            BodyFraming::Length(length) if length > limit => {
                return Err(BodyDecodeError::TooLarge(limit));
            }
            BodyFraming::Length(0) => DecoderState::Done,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkLine,
        };
        Ok(Self { state, limit, body: BytesMut::new() })
    }

    /// Returns the number of bytes decoded so far.
    pub(crate) fn decoded_bytes(&self) -> u64 {
        self.body.len() as u64
    }

    /// Consumes the body's bytes from the front of `buffer`. Returns whether the body is complete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool, BodyDecodeError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(true),
                DecoderState::Length(left) => {
                    let left = self.copy_body(buffer, left)?;
                    if left > 0 {
                        self.state = DecoderState::Length(left);
                        return Ok(false);
                    }
                    self.state = DecoderState::Done;
                }
                DecoderState::ChunkLine => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((line_length, size))) => {
                        buffer.advance(line_length);
                        self.state = match size {
                            0 => DecoderState::Trailer,
                            size => DecoderState::Chunk(size),
                        };
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_LINE_BYTES => {
                        return Ok(false);
                    }
                    Ok(httparse::Status::Partial) | Err(_) => {
                        return Err(BodyDecodeError::Malformed);
                    }
                },
                DecoderState::Chunk(left) => {
                    let left = self.copy_body(buffer, left)?;
                    if left > 0 {
                        self.state = DecoderState::Chunk(left);
                        return Ok(false);
                    }
                    self.state = DecoderState::ChunkEnd;
                }
                DecoderState::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(false),
                    Some(line) if line.is_empty() => self.state = DecoderState::ChunkLine,
                    Some(_) => return Err(BodyDecodeError::Malformed),
                },
                DecoderState::Trailer => match take_line(buffer)? {
                    None => return Ok(false),
                    Some(line) if line.is_empty() => self.state = DecoderState::Done,
                    // Trailer fields are discarded.
                    Some(_) => {}
                },
            }
        }
    }

    /// Returns the complete body.
    pub(crate) fn finish(self) -> Bytes {
        self.body.freeze()
    }

    fn copy_body(&mut self, buffer: &mut BytesMut, left: u64) -> Result<u64, BodyDecodeError> {
        let count = left.min(buffer.len() as u64);
        if self.body.len() as u64 + left > self.limit {
            return Err(BodyDecodeError::TooLarge(self.limit));
        }
        self.body.extend_from_slice(&buffer.split_to(count as usize));
        Ok(left - count)
    }
}

/// Removes a line from the buffer and returns it without its CRLF, or `None` if the line is not
/// complete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, BodyDecodeError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        let is_within_limit = buffer.len() <= MAX_LINE_BYTES;
        return if is_within_limit { Ok(None) } else { Err(BodyDecodeError::Malformed) };
    };
    let mut line = buffer.split_to(end + 1);
    line.truncate(end);
    if line.last() != Some(&b'\r') {
        return Err(BodyDecodeError::Malformed);
    }
    line.truncate(end - 1);
    Ok(Some(line))
}
