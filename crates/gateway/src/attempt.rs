//! One attempt: a request sent to one server, and what came of it.

use crate::{
    GatewayAnswer, SendTerms, WireDialect,
    answer::remove_hop_headers,
    body::BodyMemory,
    line::{LineError, ServerAnswer},
    placer::ProbedServer,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use std::{sync::Arc, time::Instant};
use tokio::time::timeout_at;

/// A request as it is sent to servers.
#[derive(Debug, Clone)]
pub(crate) struct PreparedRequest {
    pub(crate) id: Option<HeaderValue>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// When the caller no longer waits.
    pub(crate) caller_deadline: Instant,
    /// When the entry gives up.
    pub(crate) deadline: Instant,
}

/// What came of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The server's answer, to be passed on.
    Answered(GatewayAnswer),
    /// The server failed the request by its own account; the answer may be passed on.
    Failed(GatewayAnswer),
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request.
    Unknown(String),
    /// The time is up; the server may have run the request.
    TimedOut,
}

impl AttemptEnd {
    /// Returns a short name for logs and counters.
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

/// Sends a request to a server that has just answered a probe.
pub(crate) async fn run_attempt(
    request: &PreparedRequest,
    probed: ProbedServer,
    dialect: &Arc<dyn WireDialect>,
    memory: &Arc<BodyMemory>,
) -> AttemptEnd {
    let ProbedServer { server, mut line, .. } = probed;
    let time_allowed = request.caller_deadline.min(request.deadline) - Instant::now();
    if time_allowed.is_zero() {
        server.put_line(line);
        return AttemptEnd::NotRun("no time was left".to_owned());
    }
    let mut headers = request.headers.clone();
    dialect.write_send_terms(&mut headers, &SendTerms { server: &server.name, time_allowed });
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone();
    *message.headers_mut() = headers;
    let exchanged = timeout_at(request.deadline.into(), line.exchange(message, memory)).await;
    let now = Instant::now();
    let end = match exchanged {
        Err(_) => AttemptEnd::TimedOut,
        Ok(Err(LineError::NotSent(reason))) => AttemptEnd::NotRun(reason),
        Ok(Err(LineError::MaybeSent(reason))) => AttemptEnd::Unknown(reason),
        Ok(Ok(answer)) => {
            let is_kept = answer.is_kept;
            let end = judge_answer(request, answer, dialect);
            if is_kept && matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Failed(_)) {
                server.put_line(line);
            }
            end
        }
    };
    match &end {
        AttemptEnd::Answered(_) => server.note_outcome(now, false),
        AttemptEnd::NotRun(_) => {}
        AttemptEnd::Failed(_) | AttemptEnd::Unknown(_) | AttemptEnd::TimedOut => {
            server.note_outcome(now, true);
        }
    }
    end
}

/// Decides what a whole answer means.
fn judge_answer(
    request: &PreparedRequest,
    answer: ServerAnswer,
    dialect: &Arc<dyn WireDialect>,
) -> AttemptEnd {
    let signs = dialect.answer_signs(&answer.headers);
    if request.id.is_some() && signs.request_id.is_some() && signs.request_id != request.id {
        return AttemptEnd::Unknown("the answer is to another request".to_owned());
    }
    if signs.is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptEnd::NotRun(format!("refused with {}", answer.status.as_u16()));
    }
    if request.id.is_some() && signs.request_id.is_none() {
        return AttemptEnd::Unknown("the answer names no request".to_owned());
    }
    let is_success = answer.status.is_success();
    if answer.headers.contains_key(header::CONTENT_ENCODING) || (is_success && !signs.is_signed) {
        return AttemptEnd::Unknown("the answer is not the server's own".to_owned());
    }
    let ServerAnswer { status, mut headers, body, .. } = answer;
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let passed_on = GatewayAnswer { status, headers, body, retry_after: None, is_last: false };
    if status.is_server_error() {
        AttemptEnd::Failed(passed_on)
    } else {
        AttemptEnd::Answered(passed_on)
    }
}
