//! Runs the attempts for a request: retries, hedges, and their records.

use crate::{
    attempt::{AttemptResult, run_attempt},
    call::ForwardedCall,
    forwarder::{RequestForwarder, id_text, initial_service_time},
    placer::PlaceError,
    relay_attempt::AttemptTarget,
    server_probe::ProbedServer,
};
use futures_util::future::Either;
use policy::ServiceTime;
use slog::info;
use std::{
    fmt::Write as _,
    pin::pin,
    time::{Duration, Instant},
};
use tokio::time::sleep_until;
use types::{QuarantineStage, ServerName};

/// Fraction of the target latency, from the start of an attempt, after which an idempotent request
/// is hedged.
const HEDGE_SHARE: f64 = 0.6;

impl RequestForwarder {
    /// Tries servers until one answers the request. Returns the result of the last attempt, or why
    /// there was none.
    pub(crate) async fn run_attempts(
        &self,
        call: &ForwardedCall,
    ) -> Result<AttemptResult, PlaceError> {
        let mut last: Option<AttemptResult> = None;
        while call.may_add_attempt() {
            if self.is_blocked(call) {
                return last.ok_or(PlaceError::Quarantined);
            }
            let is_refused_elsewhere = matches!(last, Some(AttemptResult::Refused(_)))
                && call.attempt_log.lock().tried.is_empty();
            if last.is_some() && !is_refused_elsewhere && !self.take_retry(call, last.as_ref()) {
                break;
            }
            let placed = self.find_target(call).await;
            let result = match (placed, last.take()) {
                (Ok(AttemptTarget::Server(probed)), _) => self.run_hedged(call, probed).await,
                // The other entry hedges.
                (Ok(AttemptTarget::Entry(found)), _) => self.try_entry(call, found).await,
                (Err(_), Some(result)) => return Ok(result),
                (Err(error), None) => return Err(error),
            };
            let is_final = match &result {
                AttemptResult::Answered(_) => true,
                AttemptResult::Refused(_) => !call.attempt_log.lock().may_relay_again,
                _ => false,
            };
            if is_final {
                return Ok(result);
            }
            last = Some(result);
        }
        last.ok_or(PlaceError::NoServers)
    }

    /// Returns whether the request is blocked by now because servers crashed under it.
    fn is_blocked(&self, call: &ForwardedCall) -> bool {
        self.quarantine_stage(&call.request) == Some(QuarantineStage::Blocked)
    }

    /// Takes a retry from the budget if the request may be sent again after `last`. Returns whether
    /// a retry was taken.
    fn take_retry(&self, call: &ForwardedCall, last: Option<&AttemptResult>) -> bool {
        let now = Instant::now();
        let is_safe = match last {
            Some(AttemptResult::NotRun(_)) | None => true,
            Some(AttemptResult::Failed(_) | AttemptResult::Unknown(_)) => call.route.is_idempotent,
            Some(
                AttemptResult::Answered(_) | AttemptResult::Refused(_) | AttemptResult::TimedOut,
            ) => false,
        };
        is_safe && now < call.request.deadline && self.take_from_budget(call, now)
    }

    /// Takes one retry or hedge from this entry's share of the service's retry budget. Returns
    /// whether the budget allowed it.
    fn take_from_budget(&self, call: &ForwardedCall, now: Instant) -> bool {
        let entries = call.serving_entries();
        let is_granted = self.with_service(&call.pool.service, |state| {
            state.budget.take(now, &self.budget, entries)
        });
        self.metrics.attempts.count(if is_granted { "repeated" } else { "repeat-refused" });
        is_granted
    }

    /// Runs one attempt. If it takes long and the request is idempotent, hedges it with a second
    /// attempt at another server. When one of them is answered, the other is dropped, which
    /// cancels it at its server.
    async fn run_hedged(&self, call: &ForwardedCall, probed: ProbedServer) -> AttemptResult {
        let first = pin!(self.try_server(call, probed));
        if !call.route.is_idempotent {
            return first.await;
        }
        let hedge_at = Instant::now() + call.route.target().mul_f64(HEDGE_SHARE);
        let hedge_timer = pin!(sleep_until(hedge_at.min(call.request.deadline).into()));
        let first = match futures_util::future::select(first, hedge_timer).await {
            Either::Left((result, _)) => return result,
            Either::Right(((), first)) => first,
        };
        let now = Instant::now();
        let is_expired = now >= call.request.deadline;
        if is_expired || !call.may_add_attempt() || !self.take_from_budget(call, now) {
            return first.await;
        }
        let second = pin!(async {
            match self.find_target(call).await {
                Ok(AttemptTarget::Server(probed)) => Some(self.try_server(call, probed).await),
                Ok(AttemptTarget::Entry(found)) => Some(self.try_entry(call, found).await),
                Err(_) => None,
            }
        });
        match futures_util::future::select(first, second).await {
            Either::Left((result @ AttemptResult::Answered(_), _)) => result,
            Either::Left((result, second)) => second.await.unwrap_or(result),
            Either::Right((Some(result @ AttemptResult::Answered(_)), _)) => result,
            Either::Right((_, first)) => first.await,
        }
    }

    /// Runs one attempt at a server, and records it.
    async fn try_server(&self, call: &ForwardedCall, probed: ProbedServer) -> AttemptResult {
        let started = Instant::now();
        let (name, load) = (probed.server.name.clone(), probed.candidate.load);
        let is_listed = self.placer.table.is_listed(&call.pool.service, &probed.server)
            && probed.server.held_until(started).is_none();
        let age = probed.probed_at.elapsed();
        call.attempt_log.lock().tried.push(name.clone());
        let is_cold = probed.candidate.is_cold;
        let server = probed.server.clone();
        let result = if self.is_blocked(call) {
            AttemptResult::NotRun("servers crashed under requests like this one".to_owned())
        } else if is_listed {
            run_attempt(&call.request, probed, &self.dialect, &self.memory).await
        } else {
            AttemptResult::NotRun("the server has just left".to_owned())
        };
        let elapsed = started.elapsed();
        if matches!(result, AttemptResult::Answered(_)) && !is_cold && load.running < load.slots {
            let normalized = elapsed.mul_f64(100.0 / f64::from(load.slowness_percent.max(1)));
            self.record_service_time(call, normalized);
        }
        self.metrics.attempts.count(result.name());
        if let AttemptResult::Unknown(reason) = &result {
            self.log_lost_attempt(call, &name, reason, elapsed);
        }
        let mut attempt_log = call.attempt_log.lock();
        attempt_log.had_free_slot = load.running < load.slots;
        match &result {
            AttemptResult::Answered(_) | AttemptResult::Failed(_) => {
                attempt_log.was_answered = true
            }
            AttemptResult::Unknown(_) => attempt_log.lost.push(server),
            AttemptResult::NotRun(_) | AttemptResult::Refused(_) | AttemptResult::TimedOut => {}
        }
        attempt_log.may_have_run |= !matches!(result, AttemptResult::NotRun(_));
        let reason = match &result {
            AttemptResult::NotRun(reason) | AttemptResult::Unknown(reason) => reason.as_str(),
            _ => "",
        };
        // Writing to a string cannot fail.
        let _ = write!(
            attempt_log.summary,
            "{name} load {}+{}/{} slow {}% age {} ms: {} {reason} {} ms; ",
            load.running,
            load.waiting,
            load.slots,
            load.slowness_percent,
            age.as_millis(),
            result.name(),
            elapsed.as_millis()
        );
        result
    }

    /// Logs an attempt that ended without an answer, with what tells requests that are alike.
    fn log_lost_attempt(
        &self,
        call: &ForwardedCall,
        server: &ServerName,
        reason: &str,
        elapsed: Duration,
    ) {
        let request = &call.request;
        let mut fields = String::new();
        for (name, value) in &request.headers {
            // Values may be secret. Writing to a string cannot fail.
            let _ = write!(fields, "{name}#{:08x} ", crc32fast::hash(value.as_bytes()));
        }
        info!(self.logger, "attempt lost"; "id" => id_text(request.id.as_ref()),
            "fingerprint" => %request.fingerprint(), "server" => %server, "reason" => reason,
            "ms" => elapsed.as_millis() as u64, "method" => %request.method,
            "target" => %request.target, "body_bytes" => request.body.len(), "fields" => fields,
            "caller" => call.caller.map(|address| address.to_string()));
    }

    /// Updates the estimate of the service time. `normalized` is an observed service time, scaled
    /// to the usual speed of the server.
    fn record_service_time(&self, call: &ForwardedCall, normalized: Duration) {
        self.with_service(&call.pool.service, |state| {
            let initial = ServiceTime::new(initial_service_time(&call.route));
            state.service_time.get_or_insert(initial).record(normalized);
        });
    }
}
