//! Encodes responses.

use crate::GatewayAnswer;
use bytes::{BufMut, BytesMut};
use http::{Method, StatusCode, header};

/// Interim response that tells a caller to send the body of its request.
pub(crate) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Encodes a response. It gets a `Content-Length`, except for HEAD requests and for statuses
/// without a body; `is_last` adds `Connection: close`.
pub(crate) fn encode_answer(answer: &GatewayAnswer, method: &Method, is_last: bool) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(256 + answer.body.len());
    bytes.put_slice(b"HTTP/1.1 ");
    bytes.put_slice(answer.status.as_str().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(answer.status.canonical_reason().unwrap_or_default().as_bytes());
    bytes.put_slice(b"\r\n");
    for (name, value) in &answer.headers {
        put_field(&mut bytes, name.as_str(), value.as_bytes());
    }
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&answer.status);
    let is_head = method == Method::HEAD;
    if !has_no_body && !is_head {
        let length = answer.body.len().to_string();
        put_field(&mut bytes, header::CONTENT_LENGTH.as_str(), length.as_bytes());
    }
    if is_last {
        put_field(&mut bytes, header::CONNECTION.as_str(), b"close");
    }
    bytes.put_slice(b"\r\n");
    if !has_no_body && !is_head {
        bytes.put_slice(&answer.body);
    }
    bytes
}

fn put_field(bytes: &mut BytesMut, name: &str, value: &[u8]) {
    bytes.put_slice(name.as_bytes());
    bytes.put_slice(b": ");
    bytes.put_slice(value);
    bytes.put_slice(b"\r\n");
}
