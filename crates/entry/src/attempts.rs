//! One try of a request at one server.

use crate::{EntryContext, active_call::ActiveCall, service_pool::ServerPermit};
use policy::{AttemptOutcome, ServerReport};
use runtime::EventKind;
use server::{SendError, ServerAnswer, ServerTransport, StartGuard, TransportError};
use std::{sync::Arc, time::Instant};
use types::{CallAnswer, CallOutcome, ServerName};

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
                permit.finish(connect_outcome(&error), &ServerReport::default());
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

fn stated_load(answer: &ServerAnswer) -> ServerReport {
    ServerReport {
        load: answer.load,
        incarnation: answer.incarnation,
        is_leaving: answer.is_leaving,
    }
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
