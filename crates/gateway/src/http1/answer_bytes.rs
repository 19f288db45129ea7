//! Encodes responses.

use crate::GatewayAnswer;
use bytes::{BufMut, Bytes, BytesMut};
use http::{Method, StatusCode, header};

/// Interim response that tells a caller to send the body of its request.
pub(crate) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Bytes of the chunk that ends a chunked body.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How a caller determines the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerFraming {
    /// The response has no body, because of its status or because it answers HEAD.
    NoBody,
    /// By the length in bytes.
    Length(u64),
    /// By the zero-length chunk.
    Chunked,
}

/// Returns how the body of a response is framed. Returns `None` if the length is not known and the
/// caller does not accept chunks: the body would end with the connection, so that one that broke off
/// would look complete.
pub(crate) fn answer_framing(
    answer: &GatewayAnswer,
    method: &Method,
    accepts_chunks: bool,
) -> Option<AnswerFraming> {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&answer.status);
    if has_no_body || method == Method::HEAD {
        return Some(AnswerFraming::NoBody);
    }
    match answer.body.length() {
        Some(length) => Some(AnswerFraming::Length(length)),
        None => accepts_chunks.then_some(AnswerFraming::Chunked),
    }
}

/// Encodes the head of a response; `is_last` adds `Connection: close`.
pub(crate) fn encode_head(
    answer: &GatewayAnswer,
    framing: AnswerFraming,
    is_last: bool,
) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(512);
    bytes.put_slice(b"HTTP/1.1 ");
    bytes.put_slice(answer.status.as_str().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(answer.status.canonical_reason().unwrap_or_default().as_bytes());
    bytes.put_slice(b"\r\n");
    for (name, value) in &answer.headers {
        put_field(&mut bytes, name.as_str(), value.as_bytes());
    }
    match framing {
        AnswerFraming::NoBody => {}
        AnswerFraming::Length(length) => {
            let length = length.to_string();
            put_field(&mut bytes, header::CONTENT_LENGTH.as_str(), length.as_bytes());
        }
        AnswerFraming::Chunked => {
            put_field(&mut bytes, header::TRANSFER_ENCODING.as_str(), b"chunked");
        }
    }
    if is_last {
        put_field(&mut bytes, header::CONNECTION.as_str(), b"close");
    }
    bytes.put_slice(b"\r\n");
    bytes
}

/// Encodes a part of a body. An empty part is encoded as nothing, since an empty chunk would end the
/// body.
pub(crate) fn encode_part(part: Bytes, framing: AnswerFraming) -> Bytes {
    match framing {
        AnswerFraming::NoBody => Bytes::new(),
        AnswerFraming::Length(_) => part,
        AnswerFraming::Chunked if part.is_empty() => part,
        AnswerFraming::Chunked => {
            let mut bytes = BytesMut::with_capacity(part.len() + 16);
            bytes.put_slice(format!("{:x}\r\n", part.len()).as_bytes());
            bytes.put_slice(&part);
            bytes.put_slice(b"\r\n");
            bytes.freeze()
        }
    }
}

fn put_field(bytes: &mut BytesMut, name: &str, value: &[u8]) {
    bytes.put_slice(name.as_bytes());
    bytes.put_slice(b": ");
    bytes.put_slice(value);
    bytes.put_slice(b"\r\n");
}
