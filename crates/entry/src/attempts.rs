//! One try of a request at one server.

use crate::{EntryContext, active_call::ActiveCall, service_pool::ServerPermit};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, uri::PathAndQuery};
use policy::{AttemptOutcome, StatedLoad};
use runtime::EventKind;
use server::{SendError, ServerAnswer, ServerRequest, ServerTransport, StartGuard, TransportError};
use std::{sync::Arc, time::Instant};
use types::{CallAnswer, CallOutcome, CallRequest, ServerName, header};

/// How a try ended, as far as the request is concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The server's whole answer.
    Answered(CallAnswer),
    /// The server did not run it and will not.
    NotRun(String),
    /// The entry closed to new work before a byte left.
    Closed,
    /// The server may have run it.
    Unknown(String),
    /// No answer by the deadline; the server may have run it.
    Late,
}

/// A request in the form in which it is sent to servers.
#[derive(Debug, Clone)]
pub(crate) struct PreparedCall {
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
}

impl PreparedCall {
    /// Checks and converts a caller's request. Fails with the name of the wrong field.
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

    fn request(&self, deadline: Instant) -> ServerRequest {
        let mut headers = self.headers.clone();
        insert(&mut headers, header::DEADLINE, &crate::context::left_ms(deadline).to_string());
        ServerRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
        }
    }
}

/// Sends requests to servers and judges how they end.
#[derive(Clone)]
pub(crate) struct TryRunner {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) transport: Arc<dyn ServerTransport>,
}

impl TryRunner {
    /// Sends a request to the permit's server and ends the permit.
    pub(crate) async fn run(&self, active: &ActiveCall, permit: ServerPermit) -> AttemptEnd {
        let server = permit.server.name.clone();
        let (address, deadline) = (permit.server.address, active.deadline);
        let connection = match self.transport.connect(address, deadline).await {
            Ok(connection) => connection,
            Err(error) => {
                permit.finish(connect_outcome(&error), &StatedLoad::default());
                return AttemptEnd::NotRun(format!("{server}: {error}"));
            }
        };
        self.context.record_call(EventKind::CallSent, active.call.id, format!("to {server}"));
        let started = Instant::now();
        active.note_sent();
        let request = active.prepared.request(deadline);
        let result = connection.send(request, self.guard(), deadline).await;
        let outcome = send_outcome(&result, started);
        if outcome == AttemptOutcome::Broken {
            self.transport.forget(address);
        }
        let stated = result.as_ref().map(stated_load).unwrap_or_default();
        permit.finish(outcome, &stated);
        let end = judge(&server, result);
        if matches!(end, AttemptEnd::NotRun(_) | AttemptEnd::Closed) {
            active.note_not_run();
        }
        end
    }

    fn guard(&self) -> StartGuard {
        let context = self.context.clone();
        Arc::new(move || context.is_open())
    }
}

fn connect_outcome(error: &TransportError) -> AttemptOutcome {
    match error {
        TransportError::Refused | TransportError::NotConnected(_) => AttemptOutcome::Unreachable,
    }
}

fn send_outcome(result: &Result<ServerAnswer, SendError>, started: Instant) -> AttemptOutcome {
    match result {
        Ok(answer) if answer.is_not_run => AttemptOutcome::Shed,
        Ok(answer) if answer.status >= 500 => AttemptOutcome::ServerError,
        Ok(_) | Err(SendError::TooLarge(_)) => AttemptOutcome::Success(started.elapsed()),
        Err(SendError::Guarded | SendError::NotSent(_)) => AttemptOutcome::Cancelled,
        Err(SendError::MaybeSent(_)) => AttemptOutcome::Broken,
        Err(SendError::DeadlinePassed) => AttemptOutcome::Late,
    }
}

fn stated_load(answer: &ServerAnswer) -> StatedLoad {
    StatedLoad { load: answer.load, incarnation: answer.incarnation, is_leaving: answer.is_leaving }
}

fn judge(server: &ServerName, result: Result<ServerAnswer, SendError>) -> AttemptEnd {
    match result {
        Ok(answer) if answer.is_not_run => AttemptEnd::NotRun(format!("{server} shed the request")),
        Ok(answer) => AttemptEnd::Answered(CallAnswer {
            status: answer.status,
            outcome: CallOutcome::Ran,
            headers: answer.headers,
            body: answer.body,
            retry_after_ms: None,
        }),
        Err(SendError::Guarded) => AttemptEnd::Closed,
        Err(SendError::NotSent(reason)) => AttemptEnd::NotRun(format!("{server}: {reason}")),
        Err(error @ SendError::TooLarge(_)) => AttemptEnd::Answered(CallAnswer::refusal(
            502,
            CallOutcome::Ran,
            &format!("{server}: {error}"),
        )),
        Err(SendError::MaybeSent(reason)) => AttemptEnd::Unknown(format!("{server}: {reason}")),
        Err(SendError::DeadlinePassed) => AttemptEnd::Late,
    }
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
