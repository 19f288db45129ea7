//! Attempts through another entry, for requests that this entry has no path to a server for.

use crate::{
    GatewayAnswer,
    answer_body::AnswerBody,
    attempt::{AttemptResult, classify_relayed_answer},
    call::ForwardedCall,
    forwarder::RequestForwarder,
    placer::PlaceError,
    relay::{
        ForwardTerms, FoundEntry, RELAY_FIELD, RelayAnswer, RelayQuestion, encode, relay_answer,
    },
    server_connection::{ConnectionOwner, ExchangeError, MAX_HELD_BODY_BYTES, ServerAnswer},
    server_probe::ProbedServer,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::{ReachLevel, SignalSource};
use std::{
    fmt::Write as _,
    time::{Duration, Instant},
};
use tokio::time::timeout_at;

/// Maximum number of other entries that one request is sent to. The first may have no capacity.
const MAX_RELAYS: usize = 2;
/// Time within which a refusal by another entry still leaves time to try a second one.
const QUICK_REFUSAL_TIME: Duration = Duration::from_millis(20);

/// Where an attempt is sent.
pub(crate) enum AttemptTarget {
    /// A server.
    Server(ProbedServer),
    /// Another entry, which finds a server.
    Entry(FoundEntry),
}

impl RequestForwarder {
    /// Finds another entry for a request if this one lacks paths to servers and the last search, if
    /// there was one, ended with this obstacle.
    pub(crate) async fn find_entry(
        &self,
        call: &ForwardedCall,
        obstacle: Option<PlaceError>,
    ) -> Option<FoundEntry> {
        let service = &call.pool.service;
        let reach = self.placer.table.reach(service);
        let is_helpful = match obstacle {
            None => reach.level() == ReachLevel::Lost,
            Some(PlaceError::NoneAnswered) => true,
            Some(PlaceError::Full | PlaceError::Held(_)) => reach.level() != ReachLevel::Whole,
            Some(PlaceError::NoServers | PlaceError::Quarantined) => false,
        };
        if !is_helpful || call.is_relayed || call.attempt_log.lock().relay_count >= MAX_RELAYS {
            return None;
        }
        self.relay.find(service, reach, call.routing).await
    }

    /// Sends a request to another entry, and records the attempt.
    pub(crate) async fn try_entry(&self, call: &ForwardedCall, found: FoundEntry) -> AttemptResult {
        let started = Instant::now();
        call.attempt_log.lock().relay_count += 1;
        let name = found.link.name.clone();
        let result = self.relay_request(call, found).await;
        self.relay.counters.count(result.name());
        let is_quick = started.elapsed() < QUICK_REFUSAL_TIME;
        let mut attempt_log = call.attempt_log.lock();
        attempt_log.may_have_run |=
            !matches!(result, AttemptResult::NotRun(_) | AttemptResult::Refused(_));
        attempt_log.was_answered |=
            matches!(result, AttemptResult::Answered(_) | AttemptResult::Failed(_));
        attempt_log.may_relay_again = is_quick && attempt_log.relay_count < MAX_RELAYS;
        let reason = match &result {
            AttemptResult::NotRun(reason) | AttemptResult::Unknown(reason) => reason.as_str(),
            _ => "",
        };
        // Writing to a string cannot fail.
        let _ = write!(
            attempt_log.summary,
            "through {name}: {} {reason} {} ms; ",
            result.name(),
            started.elapsed().as_millis()
        );
        result
    }

    async fn relay_request(&self, call: &ForwardedCall, found: FoundEntry) -> AttemptResult {
        let FoundEntry { link, mut connection, .. } = found;
        let entries = call.serving_entries();
        let is_budgeted = self.with_service(&call.pool.service, |state| {
            state.budget.hand_over_request(Instant::now(), &self.budget, entries)
        });
        let Some(message) = relayed_message(call, is_budgeted) else {
            return AttemptResult::NotRun("the request cannot be relayed".to_owned());
        };
        let exchange = connection.exchange(message, MAX_HELD_BODY_BYTES, &self.memory);
        let answer = match timeout_at(call.request.deadline.into(), exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(ExchangeError::NotSent(reason))) => {
                link.record(Instant::now(), &call.pool.service, false);
                return AttemptResult::NotRun(reason);
            }
            Ok(Err(ExchangeError::MaybeSent(reason))) => {
                link.record(Instant::now(), &call.pool.service, false);
                call.attempt_log.lock().is_exhausted = true;
                return AttemptResult::Unknown(reason);
            }
            Err(_) => return AttemptResult::TimedOut,
        };
        let reported = relay_answer(&answer.headers);
        let tried = match &reported {
            Some(
                RelayAnswer::Answered(tried)
                | RelayAnswer::NotRun { tried, .. }
                | RelayAnswer::Unknown(tried),
            ) => tried.clone(),
            _ => {
                call.attempt_log.lock().is_exhausted = true;
                return AttemptResult::Unknown("the answer is not that of an entry".to_owned());
            }
        };
        call.attempt_log.lock().tried = tried;
        match reported {
            Some(RelayAnswer::Answered(_)) => {
                self.record_relayed_signals(call, &answer);
                classify_relayed_answer(&call.request, answer, link, connection, &self.dialect)
            }
            Some(RelayAnswer::NotRun { retry_after_ms, .. }) => {
                link.record(Instant::now(), &call.pool.service, false);
                link.put_connection(connection);
                let retry_after = Duration::from_millis(retry_after_ms);
                AttemptResult::Refused(own_refusal(answer, retry_after))
            }
            _ => {
                let status = answer.status.as_u16();
                link.put_connection(connection);
                AttemptResult::Unknown(format!("the other entry answered with {status}"))
            }
        }
    }

    /// Records what a server's response, which another entry passed on, says about further requests.
    /// It binds this entry too, whose caller gets the response.
    fn record_relayed_signals(&self, call: &ForwardedCall, answer: &ServerAnswer) {
        let tried = call.attempt_log.lock().tried.clone();
        let servers = self.placer.table.servers(&call.pool.service);
        if let Some(name) = tried.last()
            && let Some(server) = servers.iter().find(|server| server.name == *name)
        {
            let metadata = self.dialect.answer_metadata(&answer.headers);
            let signals = metadata.signals(answer.status);
            server.record_signals(Instant::now(), SignalSource::Request, signals);
        }
    }
}

/// Returns another entry's refusal as a refusal of this one.
fn own_refusal(answer: ServerAnswer, retry_after: Duration) -> GatewayAnswer {
    let body = AnswerBody::Whole(answer.body.bytes, Some(answer.body.reservation));
    GatewayAnswer { body, ..GatewayAnswer::refused("", retry_after) }
}

/// Returns the caller's request with what another entry needs to forward it.
fn relayed_message(call: &ForwardedCall, is_budgeted: bool) -> Option<Request<Full<Bytes>>> {
    let terms = ForwardTerms {
        service: call.pool.service.clone(),
        routing: call.routing,
        is_budgeted,
        elapsed_ms: call.arrived.elapsed().as_millis() as u64,
        tried: call.attempt_log.lock().tried.clone(),
    };
    let field = encode(&RelayQuestion::Forward(terms))?;
    let mut message = Request::new(Full::new(call.request.body.clone()));
    *message.method_mut() = call.request.method.clone();
    *message.uri_mut() = call.request.target.clone();
    *message.headers_mut() = call.request.headers.clone();
    message.headers_mut().insert(RELAY_FIELD, field);
    Some(message)
}
