//! Answers to callers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, StatusCode, header};
use std::time::Duration;

/// Header fields that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A whole answer, of a server or of the entry itself.
#[derive(Debug, Clone)]
pub struct GatewayAnswer {
    /// Status.
    pub status: StatusCode,
    /// Header fields that concern the answer.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When a refused caller should come back.
    pub retry_after: Option<Duration>,
    /// The caller's connection is closed behind the answer.
    pub is_last: bool,
}

impl GatewayAnswer {
    /// Returns an answer of the entry itself.
    pub fn own(status: StatusCode, reason: &str) -> Self {
        let body = Bytes::from(format!("{reason}\n"));
        let headers = HeaderMap::new();
        Self { status, headers, body, retry_after: None, is_last: false }
    }

    /// Returns a refusal of a request that has not run and will not run.
    pub fn refused(reason: &str, retry_after: Duration) -> Self {
        let answer = Self::own(StatusCode::SERVICE_UNAVAILABLE, reason);
        Self { retry_after: Some(retry_after), ..answer }
    }
}

/// Removes the fields that concern one connection only, also those that `Connection` names.
pub(crate) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
