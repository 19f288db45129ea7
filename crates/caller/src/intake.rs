//! Requests of callers: `/v1/entries/{service}` asks the directory, `/v1/call/{service}/{path}` is
//! passed on to a server of the service.

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

const DIRECTORY_PREFIX: &str = "/v1/entries/";
const CALL_PREFIX: &str = "/v1/call/";
/// The longest time that a request may ask for, in milliseconds.
const MAX_DEADLINE_MS: u32 = 120_000;
/// The greatest number of header fields that are passed on.
const MAX_HEADERS: usize = 64;

/// Header fields that concern one connection only, or that the entry sets itself.
const HOP_HEADERS: &[&str] = &[
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

/// Answers callers.
#[async_trait]
pub trait CallHandler: Send + Sync {
    /// Passes a request on and returns its answer. A deadline of 0 means the service's timeout.
    async fn call(&self, request: CallRequest) -> CallAnswer;

    /// Returns the entries for a service.
    fn directory(&self, service: &ServiceName) -> DirectoryAnswer;

    /// Returns the addresses of other entries.
    fn other_entries(&self, service: &ServiceName) -> Vec<SocketAddr>;
}

/// Limits of the intake.
#[derive(Debug, Clone)]
pub struct IntakeSettings {
    /// The greatest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Time allowed for a request's body to arrive.
    pub body_timeout: Duration,
    /// Time allowed for a request's head to arrive, and for an idle connection.
    pub head_timeout: Duration,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(30),
        }
    }
}

/// Answers one request of a caller.
pub(crate) async fn answer(
    request: Request<Incoming>,
    handler: &dyn CallHandler,
    settings: &IntakeSettings,
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
        insert(response.headers_mut(), "retry-after", "1");
        return response;
    }
    let max_age = format!("max-age={}", directory.max_age_s);
    let body = serde_json::to_vec(&directory).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    insert(response.headers_mut(), "content-type", "application/json");
    insert(response.headers_mut(), "cache-control", &max_age);
    response
}

async fn read_call(
    request: Request<Incoming>,
    service: ServiceName,
    settings: &IntakeSettings,
) -> Result<CallRequest, (StatusCode, String)> {
    let bad = |reason: String| (StatusCode::BAD_REQUEST, reason);
    let (parts, body) = request.into_parts();
    let deadline_ms = read_deadline(&parts.headers).map_err(bad)?;
    let key = read_key(&parts.headers).map_err(bad)?;
    let id = read_uuid(&parts.headers, header::REQUEST_ID).map_err(bad)?;
    if parts.headers.len() > MAX_HEADERS {
        return Err(bad(format!("headers: more than {MAX_HEADERS}")));
    }
    let prefix = CALL_PREFIX.len() + service.as_str().len();
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    let path = match target.get(prefix..).unwrap_or_default() {
        "" => "/".to_owned(),
        rest if rest.starts_with('/') => rest.to_owned(),
        rest => format!("/{rest}"),
    };
    let limited = Limited::new(body, settings.max_body_bytes).collect();
    let collected = timeout(settings.body_timeout, limited)
        .await
        .map_err(|_| (StatusCode::REQUEST_TIMEOUT, "body: did not arrive in time".to_owned()))?;
    let body = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let reason = format!("body: more than {} bytes", settings.max_body_bytes);
            (StatusCode::PAYLOAD_TOO_LARGE, reason)
        } else {
            bad(format!("body: {error}"))
        }
    })?;
    let headers = HeaderField::all_except(&parts.headers, HOP_HEADERS);
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

fn read_deadline(headers: &HeaderMap) -> Result<u32, String> {
    let Some(value) = headers.get(header::DEADLINE) else {
        return Ok(0);
    };
    let text = value.to_str().map_err(|_| format!("{}: not text", header::DEADLINE))?;
    match text.parse::<u32>() {
        Ok(deadline) if (1..=MAX_DEADLINE_MS).contains(&deadline) => Ok(deadline),
        _ => Err(format!("{}: not between 1 and {MAX_DEADLINE_MS}", header::DEADLINE)),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<Uuid>, String> {
    read_uuid(headers, header::IDEMPOTENCY_KEY)
}

fn read_uuid(headers: &HeaderMap, name: &str) -> Result<Option<Uuid>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| format!("{name}: not text"))?;
    let text = text.trim_matches('"');
    Uuid::parse_str(text).map(Some).map_err(|error| format!("{name}: {error}"))
}

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
    insert(headers, header::OUTCOME, answer.outcome.as_str());
    insert(headers, header::REQUEST_ID, &id.to_string());
    if let Some(retry_after_ms) = answer.retry_after_ms {
        insert(headers, "retry-after", &retry_after_ms.div_ceil(1000).to_string());
        insert(headers, "hawthornhill-retry-after-ms", &retry_after_ms.to_string());
        let others = handler.other_entries(service);
        let others: Vec<String> = others.iter().map(SocketAddr::to_string).collect();
        if !others.is_empty() {
            insert(headers, header::ENTRIES, &others.join(","));
        }
    }
    response
}

/// Returns an answer to a request that was not passed on.
fn refuse(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    insert(response.headers_mut(), header::OUTCOME, CallOutcome::NotRun.as_str());
    response
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
