//! Responses to callers.

use crate::answer_body::AnswerBody;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header};
use std::time::Duration;

/// Hop-by-hop header fields, which are not forwarded.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A response, from a server or from the entry itself.
#[derive(Debug)]
pub(crate) struct GatewayAnswer {
    /// Status code.
    pub(crate) status: StatusCode,
    /// End-to-end header fields.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: AnswerBody,
    /// How long a refused caller should wait before it retries.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the caller's connection is closed after this response.
    pub(crate) is_last: bool,
}

impl GatewayAnswer {
    /// Returns a response from the entry itself, with `reason` as its body.
    pub(crate) fn own(status: StatusCode, reason: &str) -> Self {
        let body = AnswerBody::Whole(Bytes::from(format!("{reason}\n")), None);
        let headers = HeaderMap::new();
        Self { status, headers, body, retry_after: None, is_last: false }
    }

    /// Returns a 503 response to a request that has not run and will not run.
    pub(crate) fn refused(reason: &str, retry_after: Duration) -> Self {
        let answer = Self::own(StatusCode::SERVICE_UNAVAILABLE, reason);
        Self { retry_after: Some(retry_after), ..answer }
    }
}

/// Removes the hop-by-hop fields, including those that `Connection` lists.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
