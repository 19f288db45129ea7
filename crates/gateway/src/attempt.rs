//! A single attempt: sends a request to one server and classifies the result.

use crate::{
    AnswerMetadata, ForwardMetadata, GatewayAnswer, WireDialect,
    answer::remove_hop_headers,
    answer_body::{AnswerBody, AnswerStream},
    body::{BodyMemory, BodyStart},
    local_quarantine::QuarantineStages,
    relay::RELAY_FIELD,
    server_connection::{
        ConnectionOwner, ExchangeError, MAX_HELD_BODY_BYTES, ServerAnswer, ServerConnection,
    },
    server_probe::ProbedServer,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use policy::SignalSource;
use std::{sync::Arc, time::Instant};
use tokio::time::timeout_at;
use types::{HeadHash, QuarantineStage, RequestFingerprint};

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

impl PreparedRequest {
    /// Returns the fingerprint that identifies requests which are alike.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::new(self.head_hash(), &self.body)
    }

    /// Returns the request's stage in the quarantine, or `None` if it is not there. Hashes the body
    /// only if a request with the same head is there.
    pub(crate) fn quarantine_stage(
        &self,
        quarantine: &QuarantineStages,
    ) -> Option<QuarantineStage> {
        if quarantine.is_empty() {
            return None;
        }
        let (first, last) = RequestFingerprint::range(self.head_hash());
        quarantine.range(first..=last).next()?;
        quarantine.get(&self.fingerprint()).copied()
    }

    fn head_hash(&self) -> HeadHash {
        let host = self.headers.get(header::HOST).map_or(&[][..], HeaderValue::as_bytes);
        let (host, target) = (String::from_utf8_lossy(host), self.target.to_string());
        HeadHash::new(self.method.as_str(), &host, &target, self.body.len())
    }
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
    /// Another entry refused the request: no server ran it. Holds the refusal.
    Refused(GatewayAnswer),
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
            Self::Refused(_) => "refused",
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
    let exchange = connection.exchange(message, MAX_HELD_BODY_BYTES, memory);
    let exchange_result = timeout_at(request.deadline.into(), exchange).await;
    let now = Instant::now();
    let result = match exchange_result {
        Err(_) => AttemptResult::TimedOut,
        Ok(Err(ExchangeError::NotSent(reason))) => AttemptResult::NotRun(reason),
        Ok(Err(ExchangeError::MaybeSent(reason))) => AttemptResult::Unknown(reason),
        Ok(Ok(answer)) => {
            let metadata = dialect.answer_metadata(&answer.headers);
            if is_from_expected_server(request, &answer, &metadata) {
                let signals = metadata.signals(answer.status);
                server.record_signals(now, SignalSource::Request, signals);
            }
            match classify_answer(request, &answer, &metadata) {
                AnswerClass::NotRun(reason) => AttemptResult::NotRun(reason),
                AnswerClass::Unknown(reason) => AttemptResult::Unknown(reason),
                AnswerClass::Forwarded => {
                    forward_answer(request, answer, server.clone(), connection)
                }
            }
        }
    };
    match &result {
        AttemptResult::Answered(_) => server.record_outcome(now, false),
        AttemptResult::NotRun(_) | AttemptResult::Refused(_) => {}
        AttemptResult::Failed(_) | AttemptResult::Unknown(_) | AttemptResult::TimedOut => {
            server.record_outcome(now, true);
        }
    }
    result
}

/// Returns whether a response is from the server that the request was sent to. Another server at
/// the same address answers with 421, and a late response may belong to another request.
fn is_from_expected_server(
    request: &PreparedRequest,
    answer: &ServerAnswer,
    metadata: &AnswerMetadata,
) -> bool {
    let is_other_request = metadata.request_id.is_some() && metadata.request_id != request.id;
    answer.status != StatusCode::MISDIRECTED_REQUEST && !is_other_request
}

/// The class of a response.
enum AnswerClass {
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request, but this is not a response that can be forwarded.
    Unknown(String),
    /// The server's own response to the request.
    Forwarded,
}

/// Classifies a response by its head.
fn classify_answer(
    request: &PreparedRequest,
    answer: &ServerAnswer,
    metadata: &AnswerMetadata,
) -> AnswerClass {
    let unknown = |reason: &str| AnswerClass::Unknown(reason.to_owned());
    if request.id.is_some() && metadata.request_id.is_some() && metadata.request_id != request.id {
        return unknown("the answer is to another request");
    }
    if metadata.is_not_run || answer.status == StatusCode::MISDIRECTED_REQUEST {
        return AnswerClass::NotRun(format!("refused with {}", answer.status.as_u16()));
    }
    if request.id.is_some() && metadata.request_id.is_none() {
        return unknown("the answer names no request");
    }
    let is_success = answer.status.is_success();
    if answer.headers.contains_key(header::CONTENT_ENCODING) || (is_success && !metadata.is_signed)
    {
        return unknown("the answer is not the server's own");
    }
    AnswerClass::Forwarded
}

/// Classifies a server's response that another entry passed on.
pub(crate) fn classify_relayed_answer(
    request: &PreparedRequest,
    answer: ServerAnswer,
    owner: Arc<dyn ConnectionOwner>,
    connection: ServerConnection,
    dialect: &Arc<dyn WireDialect>,
) -> AttemptResult {
    let metadata = dialect.answer_metadata(&answer.headers);
    let is_other_request = metadata.request_id.is_some() && metadata.request_id != request.id;
    if is_other_request || (answer.status.is_success() && !metadata.is_signed) {
        return AttemptResult::Unknown("the relayed answer is not the server's own".to_owned());
    }
    forward_answer(request, answer, owner, connection)
}

/// Returns the response for the caller. If its body is complete, the connection returns to the
/// pool; otherwise the response takes the connection.
fn forward_answer(
    request: &PreparedRequest,
    answer: ServerAnswer,
    owner: Arc<dyn ConnectionOwner>,
    connection: ServerConnection,
) -> AttemptResult {
    let ServerAnswer { status, mut headers, length, body, is_keep_alive } = answer;
    remove_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(RELAY_FIELD);
    let BodyStart { bytes, reservation, rest } = body;
    let body = match rest {
        None => {
            if is_keep_alive {
                owner.put_connection(connection);
            }
            AnswerBody::Whole(bytes, Some(reservation))
        }
        Some(rest) => AnswerBody::Stream(Box::new(AnswerStream::new(
            bytes,
            rest,
            length,
            request.deadline,
            owner,
            connection,
            is_keep_alive,
        ))),
    };
    let forwarded = GatewayAnswer { status, headers, body, retry_after: None, is_last: false };
    if status.is_server_error() {
        AttemptResult::Failed(forwarded)
    } else {
        AttemptResult::Answered(forwarded)
    }
}
