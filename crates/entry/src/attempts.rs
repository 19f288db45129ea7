//! One attempt to run a request at one server.

use crate::{EntryContext, active_call::ActiveCall, service_pool::ServerPermit};
use policy::{AttemptOutcome, ServerReport};
use runtime::EventKind;
use server::{SendError, ServerAnswer, ServerTransport, StartGuard, TransportError};
use std::{sync::Arc, time::Instant};
use types::{CallAnswer, CallOutcome, ServerName};

/// The result of an attempt, which decides how its request continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// The server ran the request; this is the complete answer.
    Answered(CallAnswer),
    /// The server did not run the request and will not run it. Contains the reason.
    NotRun(String),
    /// The entry stopped accepting new work before it sent a byte.
    Closed,
    /// The server may have run the request. Contains the reason.
    Unknown(String),
    /// No answer by the deadline; the server may have run the request.
    Late,
}

/// Sends requests to servers and classifies the results.
#[derive(Clone)]
pub(crate) struct AttemptRunner {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) transport: Arc<dyn ServerTransport>,
}

impl AttemptRunner {
    /// Sends a request to the permit's server and finishes the permit.
    pub(crate) async fn run(&self, active: &ActiveCall, permit: ServerPermit) -> AttemptResult {
        let server = permit.server.name.clone();
        let (address, deadline) = (permit.server.address, active.deadline);
        let connection = match self.transport.connect(address, deadline).await {
            Ok(connection) => connection,
            Err(error) => {
                permit.finish(connect_outcome(&error), &ServerReport::default());
                return AttemptResult::NotRun(format!("{server}: {error}"));
            }
        };
        self.context.record_call(EventKind::CallSent, active.call.id, format!("to {server}"));
        let started = Instant::now();
        active.record_start();
        let request = active.prepared.request(deadline);
        let send_result = connection.send(request, self.start_guard(), deadline).await;
        let outcome = send_outcome(&send_result, started);
        if outcome == AttemptOutcome::Broken {
            self.transport.close_idle_connections(address);
        }
        let report = send_result.as_ref().map(server_report).unwrap_or_default();
        permit.finish(outcome, &report);
        let result = attempt_result(&server, send_result);
        if matches!(result, AttemptResult::NotRun(_) | AttemptResult::Closed) {
            active.record_not_run();
        }
        result
    }

    /// Returns a guard that stops a send before its first byte if this entry no longer accepts
    /// work.
    fn start_guard(&self) -> StartGuard {
        let context = self.context.clone();
        Arc::new(move || context.is_open())
    }
}

/// Returns what a failed connection means for the server's health.
fn connect_outcome(error: &TransportError) -> AttemptOutcome {
    match error {
        TransportError::Refused | TransportError::NotConnected(_) => AttemptOutcome::Unreachable,
    }
}

/// Returns what the result of a send means for the server's health.
fn send_outcome(result: &Result<ServerAnswer, SendError>, started: Instant) -> AttemptOutcome {
    match result {
        Ok(answer) if answer.is_not_run => AttemptOutcome::Shed,
        Ok(answer) if answer.status >= 500 => AttemptOutcome::ServerError,
        // An answer that is too large shows that the server ran the request.
        Ok(_) | Err(SendError::TooLarge(_)) => AttemptOutcome::Success(started.elapsed()),
        // No byte was sent, so the attempt does not count for or against the server.
        Err(SendError::RefusedByGuard | SendError::NotSent(_)) => AttemptOutcome::Cancelled,
        Err(SendError::MaybeSent(_)) => AttemptOutcome::Broken,
        Err(SendError::DeadlinePassed) => AttemptOutcome::Late,
    }
}

/// Returns the load, incarnation and leaving state that the server reported with its answer.
fn server_report(answer: &ServerAnswer) -> ServerReport {
    ServerReport {
        load: answer.load,
        incarnation: answer.incarnation,
        is_leaving: answer.is_leaving,
    }
}

/// Returns what the result of a send means for the request.
fn attempt_result(server: &ServerName, result: Result<ServerAnswer, SendError>) -> AttemptResult {
    match result {
        Ok(answer) if answer.is_not_run => {
            AttemptResult::NotRun(format!("{server} shed the request"))
        }
        Ok(answer) => AttemptResult::Answered(CallAnswer {
            status: answer.status,
            outcome: CallOutcome::Ran,
            headers: answer.headers,
            body: answer.body,
            retry_after_ms: None,
        }),
        Err(SendError::RefusedByGuard) => AttemptResult::Closed,
        Err(SendError::NotSent(reason)) => AttemptResult::NotRun(format!("{server}: {reason}")),
        Err(error @ SendError::TooLarge(_)) => AttemptResult::Answered(CallAnswer::refusal(
            502,
            CallOutcome::Ran,
            &format!("{server}: {error}"),
        )),
        Err(SendError::MaybeSent(reason)) => AttemptResult::Unknown(format!("{server}: {reason}")),
        Err(SendError::DeadlinePassed) => AttemptResult::Late,
    }
}
