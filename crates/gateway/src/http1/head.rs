//! Parses request heads and determines how their bodies are framed.

use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};
use std::str::FromStr;
use thiserror::Error;

/// Maximum number of header fields.
const MAX_FIELDS: usize = 128;

/// The reason why a request head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum HeadError {
    /// The head exceeds the limit on its bytes or fields.
    #[error("the head is too large")]
    TooLarge,
    /// The head is not valid HTTP/1.1 or 1.0.
    #[error("the head cannot be read")]
    Malformed,
    /// `Host` is missing or occurs more than once.
    #[error("Host: not stated exactly once")]
    Host,
    /// The framing of the body is ambiguous, so that this entry and a server might disagree about
    /// where the next request begins (request smuggling).
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By the length in bytes; 0 if there is no body.
    Length(u64),
    /// By the zero-length chunk.
    Chunked,
}

/// The head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// Whether the caller wants the connection closed after the response.
    pub(crate) is_last: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
    /// Whether the caller accepts chunked bodies, as HTTP/1.1 requires.
    pub(crate) accepts_chunks: bool,
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes, or `None` if
/// the head is not complete.
pub(crate) fn parse_head(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > max_bytes => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    let malformed = HeadError::Malformed;
    let method = Method::from_str(request.method.ok_or(malformed)?).map_err(|_| malformed)?;
    let target = Uri::from_str(request.path.ok_or(malformed)?).map_err(|_| malformed)?;
    let is_http_10 = request.version == Some(0);
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for field in request.headers.iter() {
        let name = HeaderName::from_str(field.name).map_err(|_| malformed)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| malformed)?;
        headers.append(name, value);
    }
    let hosts = headers.get_all(header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && !is_http_10) {
        return Err(HeadError::Host);
    }
    let framing = body_framing(&headers, is_http_10)?;
    let is_last = has_token(&headers, header::CONNECTION, "close")
        || (is_http_10 && !has_token(&headers, header::CONNECTION, "keep-alive"));
    let expects_continue = has_token(&headers, header::EXPECT, "100-continue");
    let accepts_chunks = !is_http_10;
    let head =
        RequestHead { method, target, headers, framing, is_last, expects_continue, accepts_chunks };
    Ok(Some((head, length)))
}

fn body_framing(headers: &HeaderMap, is_http_10: bool) -> Result<BodyFraming, HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(BodyFraming::Length(0)),
        (Some(length), None) => {
            let is_consistent = lengths.all(|other| other == length);
            let text = length.to_str().map_err(|_| HeadError::AmbiguousLength)?;
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !is_consistent || !is_number {
                return Err(HeadError::AmbiguousLength);
            }
            text.parse().map(BodyFraming::Length).map_err(|_| HeadError::AmbiguousLength)
        }
        (None, Some(encoding)) => {
            let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            let is_only = encodings.next().is_none();
            let is_unambiguous = is_chunked && is_only && !is_http_10;
            is_unambiguous.then_some(BodyFraming::Chunked).ok_or(HeadError::AmbiguousLength)
        }
        (Some(_), Some(_)) => Err(HeadError::AmbiguousLength),
    }
}

/// Returns whether a comma-separated field contains a token, ignoring case.
fn has_token(headers: &HeaderMap, field: HeaderName, token: &str) -> bool {
    let values = headers.get_all(field);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case(token)))
}
