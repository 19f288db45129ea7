//! A single attempt: sends a request to one server and classifies the outcome.

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

/// The outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
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

impl AttemptOutcome {
    /// Returns the name of the outcome in logs and counters.
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
) -> AttemptOutcome {
    let ProbedServer { server, mut connection, .. } = probed;
    let time_allowed = request.caller_deadline.min(request.deadline) - Instant::now();
    if time_allowed.is_zero() {
        server.put_connection(connection);
        return AttemptOutcome::NotRun("no time was left".to_owned());
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
    let outcome = match exchange_result {
        Err(_) => AttemptOutcome::TimedOut,
        Ok(Err(ExchangeError::NotSent(reason))) => AttemptOutcome::NotRun(reason),
        Ok(Err(ExchangeError::MaybeSent(reason))) => AttemptOutcome::Unknown(reason),
        Ok(Ok(answer)) => {
            let is_kept = answer.is_kept;
            let outcome = classify_answer(request, answer, dialect);
            if is_kept && matches!(outcome, AttemptOutcome::Answered(_) | AttemptOutcome::Failed(_))
            {
                server.put_connection(connection);
            }
            outcome
        }
    };
    match &outcome {
        AttemptOutcome::Answered(_) => server.record_outcome(now, false),
        AttemptOutcome::NotRun(_) => {}
        AttemptOutcome::Failed(_) | AttemptOutcome::Unknown(_) | AttemptOutcome::TimedOut => {
            server.record_outcome(now, true);
        }
    }
    outcome
}

/// Determines the outcome of an attempt from the complete response.
fn classify_answer(
    request: &PreparedRequest,
    answer: ServerAnswer,
    dialect: &Arc<dyn WireDialect>,
) -> AttemptOutcome {
    let metadata = dialect.answer_metadata(&answer.headers);
    if request.id.is_some() && metadata.request_id.is_some() && metadata.request_id != request.id {
        return AttemptOutcome::Unknown("the answer is to another request".to_owned());
    }
    if metadata.is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(format!("refused with {}", answer.status.as_u16()));
    }
    if request.id.is_some() && metadata.request_id.is_none() {
        return AttemptOutcome::Unknown("the answer names no request".to_owned());
    }
    let is_success = answer.status.is_success();
    if answer.headers.contains_key(header::CONTENT_ENCODING) || (is_success && !metadata.is_signed)
    {
        return AttemptOutcome::Unknown("the answer is not the server's own".to_owned());
    }
    let ServerAnswer { status, mut headers, body, .. } = answer;
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let forwarded = GatewayAnswer { status, headers, body, retry_after: None, is_last: false };
    if status.is_server_error() {
        AttemptOutcome::Failed(forwarded)
    } else {
        AttemptOutcome::Answered(forwarded)
    }
}
