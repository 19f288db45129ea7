//! A single attempt: sends a request to one server and classifies the result.

use crate::{
    ForwardMetadata, GatewayAnswer, WireDialect,
    answer::remove_hop_headers,
    body::BodyMemory,
    placer::ProbedServer,
    server_connection::{ExchangeError, ServerAnswer},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use std::{sync::Arc, time::Instant};
use tokio::time::timeout_at;

/// A request in the form in which it is sent to servers.
#[derive(Debug, Clone)]
pub(crate) struct PreparedRequest {
    pub(crate) id: Option<HeaderValue>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the caller stops waiting.
    pub(crate) caller_deadline: Instant,
    /// When the entry gives up; not later than `caller_deadline`.
    pub(crate) deadline: Instant,
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The server's response, to be forwarded to the caller.
    Answered(GatewayAnswer),
    /// The server responded with a 5xx status; the response may be forwarded to the caller.
    Failed(GatewayAnswer),
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request.
    Unknown(String),
    /// The deadline passed; the server may have run the request.
    TimedOut,
}

impl AttemptResult {
    /// Returns the name of the result in logs and counters.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
            Self::TimedOut => "timed-out",
        }
    }
}

/// Sends a request to a server that has just responded to a probe.
pub(crate) async fn run_attempt(
    request: &PreparedRequest,
    probed: ProbedServer,
    dialect: &Arc<dyn WireDialect>,
    memory: &Arc<BodyMemory>,
) -> AttemptResult {
    let ProbedServer { server, mut connection, .. } = probed;
    let time_allowed = request.caller_deadline.min(request.deadline) - Instant::now();
    if time_allowed.is_zero() {
        server.put_connection(connection);
        return AttemptResult::NotRun("no time was left".to_owned());
    }
    let mut headers = request.headers.clone();
    dialect.write_forward_metadata(
        &mut headers,
        &ForwardMetadata { server: &server.name, time_allowed },
    );
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = headers;
    let exchange_result =
        timeout_at(request.deadline.into(), connection.exchange(message, memory)).await;
    let now = Instant::now();
    let result = match exchange_result {
        Err(_) => AttemptResult::TimedOut,
        Ok(Err(ExchangeError::NotSent(reason))) => AttemptResult::NotRun(reason),
        Ok(Err(ExchangeError::MaybeSent(reason))) => AttemptResult::Unknown(reason),
        Ok(Ok(answer)) => {
            let is_keep_alive = answer.is_keep_alive;
            let result = classify_answer(request, answer, dialect);
            if is_keep_alive
                && matches!(result, AttemptResult::Answered(_) | AttemptResult::Failed(_))
            {
                server.put_connection(connection);
            }
            result
        }
    };
    match &result {
        AttemptResult::Answered(_) => server.record_outcome(now, false),
        AttemptResult::NotRun(_) => {}
        AttemptResult::Failed(_) | AttemptResult::Unknown(_) | AttemptResult::TimedOut => {
            server.record_outcome(now, true);
        }
    }
    result
}

/// Determines the result of an attempt from the complete response.
fn classify_answer(
    request: &PreparedRequest,
    answer: ServerAnswer,
    dialect: &Arc<dyn WireDialect>,
) -> AttemptResult {
    let metadata = dialect.answer_metadata(&answer.headers);
    if request.id.is_some() && metadata.request_id.is_some() && metadata.request_id != request.id {
        return AttemptResult::Unknown("the answer is to another request".to_owned());
    }
    if metadata.is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptResult::NotRun(format!("refused with {}", answer.status.as_u16()));
    }
    if request.id.is_some() && metadata.request_id.is_none() {
        return AttemptResult::Unknown("the answer names no request".to_owned());
    }
    let is_success = answer.status.is_success();
    if answer.headers.contains_key(header::CONTENT_ENCODING) || (is_success && !metadata.is_signed)
    {
        return AttemptResult::Unknown("the answer is not the server's own".to_owned());
    }
    let ServerAnswer { status, mut headers, body, .. } = answer;
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let forwarded = GatewayAnswer { status, headers, body, retry_after: None, is_last: false };
    if status.is_server_error() {
        AttemptResult::Failed(forwarded)
    } else {
        AttemptResult::Answered(forwarded)
    }
}
