//! Conversion of a caller's request to the HTTP form that servers receive.

use crate::context::remaining_ms;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, uri::PathAndQuery};
use server::ServerRequest;
use std::time::Instant;
use types::{CallRequest, header};

/// A validated request, ready to be sent to servers.
#[derive(Debug, Clone)]
pub(crate) struct PreparedCall {
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
}

impl PreparedCall {
    /// Validates and converts a caller's request. The error names the invalid field.
    pub(crate) fn new(call: &CallRequest) -> Result<Self, String> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|error| format!("method: {error}"))?;
        let path =
            PathAndQuery::try_from(call.path.as_str()).map_err(|error| format!("path: {error}"))?;
        let mut headers = HeaderMap::with_capacity(call.headers.len() + 3);
        for field in &call.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes())
                .map_err(|error| format!("header {:?}: {error}", field.name))?;
            let value = HeaderValue::from_bytes(&field.value)
                .map_err(|error| format!("header {}: {error}", field.name))?;
            headers.append(name, value);
        }
        insert(&mut headers, header::REQUEST_ID, &call.id.to_string());
        if let Some(key) = call.key {
            insert(&mut headers, header::IDEMPOTENCY_KEY, &key.to_string());
        }
        Ok(Self { method, path, headers, body: Bytes::copy_from_slice(&call.body) })
    }

    /// Returns the request for one attempt. A header field contains the time left until the
    /// deadline.
    pub(crate) fn request(&self, deadline: Instant) -> ServerRequest {
        let mut headers = self.headers.clone();
        insert(&mut headers, header::DEADLINE, &remaining_ms(deadline).to_string());
        ServerRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
        }
    }
}

/// Sets a header field. Skips a value that is not valid in HTTP.
fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
