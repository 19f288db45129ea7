//! HTTP endpoints for callers: `/v1/entries/{service}` queries the directory, and
//! `/v1/call/{service}/{path}` passes a request on to a server of the service.

use crate::DirectoryAnswer;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use runtime::DecisionCounters;
use std::{net::SocketAddr, time::Duration};
use tokio::time::timeout;
use types::{CallAnswer, CallOutcome, CallRequest, HeaderField, ServiceName, header};
use uuid::Uuid;

/// Path prefix of directory queries, followed by the service.
const DIRECTORY_PREFIX: &str = "/v1/entries/";
/// Path prefix of requests to a service, followed by the service and the path at its server.
const CALL_PREFIX: &str = "/v1/call/";
/// Maximum time that a caller may set for a request, in milliseconds.
const MAX_DEADLINE_MS: u32 = 120_000;
/// Maximum number of header fields in a request.
const MAX_HEADERS: usize = 64;

/// Header fields of a request that are not passed on: hop-by-hop fields, and fields that the entry
/// interprets or sets itself.
const EXCLUDED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    header::DEADLINE,
    header::REQUEST_ID,
    header::IDEMPOTENCY_KEY,
];

/// Processes the requests of callers.
#[async_trait]
pub trait CallHandler: Send + Sync {
    /// Passes a request on to a server and returns the answer. A deadline of 0 selects the
    /// service's timeout.
    async fn call(&self, request: CallRequest) -> CallAnswer;

    /// Returns the entries that callers should use for a service.
    fn directory(&self, service: &ServiceName) -> DirectoryAnswer;

    /// Returns the addresses of other entries that a caller can use for a service.
    fn other_entries(&self, service: &ServiceName) -> Vec<SocketAddr>;
}

/// Limits for the requests and connections of callers.
#[derive(Debug, Clone)]
pub struct ListenerSettings {
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time allowed for a request's body to arrive.
    pub body_timeout: Duration,
    /// Time allowed for a request's head to arrive, which also limits how long a connection may be
    /// idle.
    pub head_timeout: Duration,
}

impl Default for ListenerSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(30),
        }
    }
}

/// Validates a caller's request, passes it to the handler and builds the response.
pub(crate) async fn handle_request(
    request: Request<Incoming>,
    handler: &dyn CallHandler,
    settings: &ListenerSettings,
    counters: &DecisionCounters,
) -> Response<Full<Bytes>> {
    let path = request.uri().path();
    if let Some(service) = path.strip_prefix(DIRECTORY_PREFIX) {
        return answer_directory(service, request.method(), handler, counters);
    }
    let Some(rest) = path.strip_prefix(CALL_PREFIX) else {
        counters.count("request-invalid");
        return refuse(StatusCode::NOT_FOUND, "path: neither /v1/entries/ nor /v1/call/");
    };
    let service = rest.split('/').next().unwrap_or_default();
    let service = match service.parse::<ServiceName>() {
        Ok(service) => service,
        Err(error) => {
            counters.count("request-invalid");
            return refuse(StatusCode::BAD_REQUEST, &format!("service: {error}"));
        }
    };
    let call = match read_call(request, service, settings).await {
        Ok(call) => call,
        Err((status, reason)) => {
            counters.count("request-invalid");
            return refuse(status, &reason);
        }
    };
    let (id, service) = (call.id, call.service.clone());
    let answer = handler.call(call).await;
    build_response(answer, id, &service, handler)
}

/// Answers a directory query.
fn answer_directory(
    service: &str,
    method: &Method,
    handler: &dyn CallHandler,
    counters: &DecisionCounters,
) -> Response<Full<Bytes>> {
    if method != Method::GET {
        return refuse(StatusCode::METHOD_NOT_ALLOWED, "ask the directory by GET");
    }
    let service = match service.parse::<ServiceName>() {
        Ok(service) => service,
        Err(error) => return refuse(StatusCode::BAD_REQUEST, &format!("service: {error}")),
    };
    counters.count("directory-answered");
    let directory = handler.directory(&service);
    if directory.entries.is_empty() {
        let mut response = refuse(StatusCode::SERVICE_UNAVAILABLE, "no entry serves yet");
        insert_header(response.headers_mut(), "retry-after", "1");
        return response;
    }
    let max_age = format!("max-age={}", directory.max_age_s);
    let body = serde_json::to_vec(&directory).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    insert_header(response.headers_mut(), "content-type", "application/json");
    insert_header(response.headers_mut(), "cache-control", &max_age);
    response
}

/// Reads the request's headers and its complete body. The error is the status and reason of the
/// refusal.
async fn read_call(
    request: Request<Incoming>,
    service: ServiceName,
    settings: &ListenerSettings,
) -> Result<CallRequest, (StatusCode, String)> {
    let bad_request = |reason: String| (StatusCode::BAD_REQUEST, reason);
    let (parts, body) = request.into_parts();
    let deadline_ms = parse_deadline(&parts.headers).map_err(bad_request)?;
    let key = parse_idempotency_key(&parts.headers).map_err(bad_request)?;
    let id = parse_uuid(&parts.headers, header::REQUEST_ID).map_err(bad_request)?;
    if parts.headers.len() > MAX_HEADERS {
        return Err(bad_request(format!("headers: more than {MAX_HEADERS}")));
    }
    let prefix_len = CALL_PREFIX.len() + service.as_str().len();
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    let path = match target.get(prefix_len..).unwrap_or_default() {
        "" => "/".to_owned(),
        rest if rest.starts_with('/') => rest.to_owned(),
        rest => format!("/{rest}"),
    };
    let body = Limited::new(body, settings.max_body_bytes).collect();
    let body = timeout(settings.body_timeout, body)
        .await
        .map_err(|_| (StatusCode::REQUEST_TIMEOUT, "body: did not arrive in time".to_owned()))?;
    let body = body.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let reason = format!("body: more than {} bytes", settings.max_body_bytes);
            (StatusCode::PAYLOAD_TOO_LARGE, reason)
        } else {
            bad_request(format!("body: {error}"))
        }
    })?;
    let headers = HeaderField::all_except(&parts.headers, EXCLUDED_HEADERS);
    Ok(CallRequest {
        id: id.unwrap_or_else(Uuid::now_v7),
        service,
        method: parts.method.as_str().to_owned(),
        path,
        headers,
        body: body.to_bytes().to_vec(),
        key,
        deadline_ms,
    })
}

/// Returns the time that the caller allows for the request in milliseconds, or 0 if it sets none.
fn parse_deadline(headers: &HeaderMap) -> Result<u32, String> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(0);
    };
    let text = value.to_str().map_err(|_| format!("{}: not text", header::DEADLINE))?;
    match text.parse::<u32>() {
        Ok(deadline) if (1..=MAX_DEADLINE_MS).contains(&deadline) => Ok(deadline),
        _ => Err(format!("{}: not between 1 and {MAX_DEADLINE_MS}", header::DEADLINE)),
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<Uuid>, String> {
    parse_uuid(headers, header::IDEMPOTENCY_KEY)
}

/// Parses the UUID in a header field, with or without double quotes.
fn parse_uuid(headers: &HeaderMap, name: &str) -> Result<Option<Uuid>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| format!("{name}: not text"))?;
    let text = text.trim_matches('"');
    Uuid::parse_str(text).map(Some).map_err(|error| format!("{name}: {error}"))
}

/// Converts an answer to HTTP. An answer with a retry delay also lists other entries.
fn build_response(
    answer: CallAnswer,
    id: Uuid,
    service: &ServiceName,
    handler: &dyn CallHandler,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for field in answer.headers {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    insert_header(headers, header::OUTCOME, answer.outcome.as_str());
    insert_header(headers, header::REQUEST_ID, &id.to_string());
    if let Some(retry_after_ms) = answer.retry_after_ms {
        insert_header(headers, "retry-after", &retry_after_ms.div_ceil(1000).to_string());
        insert_header(headers, "hawthornhill-retry-after-ms", &retry_after_ms.to_string());
        let others = handler.other_entries(service);
        let others: Vec<String> = others.iter().map(SocketAddr::to_string).collect();
        if !others.is_empty() {
            insert_header(headers, header::ENTRIES, &others.join(","));
        }
    }
    response
}

/// Builds the response to a request that was not passed on.
fn refuse(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    insert_header(response.headers_mut(), header::OUTCOME, CallOutcome::NotRun.as_str());
    response
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
