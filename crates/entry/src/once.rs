//! Runs requests that are not idempotent: each is claimed in the replicated log before its first
//! byte is sent.

use crate::{
    EntryContext,
    active_call::{ActiveCall, CallSource},
    attempts::{AttemptResult, AttemptRunner},
    claims::{ClaimError, ClaimLedger},
    dispatcher_api::{
        DispatcherApi, ForwardResult, MAX_ATTEMPTS, unclaimed_outcome, with_idempotency_key,
    },
    service_pool::AcquireError,
};
use runtime::EventKind;
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use types::{
    AttemptId, CallAnswer, CallOutcome, CallRequest, ClaimAnswer, ClaimKey, ClaimRelease,
    ClaimRequest, ClaimResult, ServerName, header,
};
use uuid::Uuid;

/// Runs requests with at-most-once semantics.
pub(crate) struct AtMostOnceRunner {
    context: Arc<EntryContext>,
    runner: AttemptRunner,
    ledger: Arc<dyn ClaimLedger>,
}

impl AtMostOnceRunner {
    pub(crate) fn new(runner: AttemptRunner, ledger: Arc<dyn ClaimLedger>) -> Self {
        Self { context: runner.context.clone(), runner, ledger }
    }

    /// Runs a request at most once. It must have an idempotency key, either the caller's or one
    /// that this entry generated.
    pub(crate) async fn run(
        &self,
        dispatcher: &dyn DispatcherApi,
        active: ActiveCall,
    ) -> CallAnswer {
        let Some(key) = active.call.key else {
            return CallAnswer::refusal(500, CallOutcome::NotRun, "the request has no key");
        };
        let answer = match self.forward_if_ineligible(dispatcher, &active).await {
            Some(answer) => answer,
            None => self.claim_and_run(dispatcher, &active, key).await,
        };
        with_idempotency_key(active.adjust_outcome(answer), key)
    }

    /// Forwards the request to another entry, which then claims it, if this one has no eligible
    /// server. Returns `None` if the request must run here.
    async fn forward_if_ineligible(
        &self,
        dispatcher: &dyn DispatcherApi,
        active: &ActiveCall,
    ) -> Option<CallAnswer> {
        if active.source == CallSource::Entry {
            return None;
        }
        for owner in active.pool.owners_if_ineligible()? {
            match dispatcher.forward(active, &owner, active.deadline).await {
                ForwardResult::NotHandled => {}
                ForwardResult::Answered(mut answer) => {
                    answer.headers.retain(|field| field.name != header::IDEMPOTENCY_KEY);
                    return Some(answer);
                }
                ForwardResult::Unknown(reason) => {
                    return Some(CallAnswer::refusal(504, CallOutcome::Unknown, &reason));
                }
            }
        }
        Some(dispatcher.refuse_busy(active.caller_key, Duration::ZERO))
    }

    /// Claims the request, runs it if the claim is granted, and finishes or releases the claim.
    async fn claim_and_run(
        &self,
        dispatcher: &dyn DispatcherApi,
        active: &ActiveCall,
        key: Uuid,
    ) -> CallAnswer {
        let claim = self.claim_request(&active.call, key);
        let decision = self.ledger.claim(&claim, active.deadline).await;
        let detail = format!("{}: {decision:?}", claim.key);
        self.context.record_call(EventKind::ClaimDecided, active.call.id, detail);
        match decision {
            Ok(ClaimAnswer::Granted) => {}
            Ok(answer) => return refuse_claim(answer, dispatcher),
            Err(error) => {
                self.release(&active.call, &claim);
                return refuse_undecided(&error, active.caller_key, dispatcher);
            }
        }
        match self.run_attempts(active).await {
            AttemptResult::Answered(answer) => {
                let status = answer.status;
                let ClaimRequest { key, attempt, .. } = claim;
                self.ledger.finish(ClaimResult { key, attempt, status });
                answer
            }
            AttemptResult::NotRun(reason) => {
                self.release(&active.call, &claim);
                CallAnswer::refusal(503, CallOutcome::NotRun, &reason)
                    .with_retry_after(dispatcher.retry_after_ms(Duration::ZERO))
            }
            AttemptResult::Closed => {
                self.release(&active.call, &claim);
                dispatcher.refuse_closed(None)
            }
            AttemptResult::Unknown(reason) => {
                CallAnswer::refusal(502, CallOutcome::Unknown, &reason)
            }
            AttemptResult::Late => {
                CallAnswer::refusal(504, CallOutcome::Unknown, "no answer by the deadline")
            }
        }
    }

    /// Sends a request with a granted claim to one server after another, until one may have run it
    /// or the attempts or the time are used up.
    async fn run_attempts(&self, active: &ActiveCall) -> AttemptResult {
        let mut excluded: SmallVec<[ServerName; 2]> = SmallVec::new();
        let mut last = AttemptResult::NotRun("no server has room".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            if Instant::now() >= active.deadline {
                return last;
            }
            let prefers_cold = active.source == CallSource::Entry;
            let acquired = active.pool.acquire(&excluded, prefers_cold, active.deadline).await;
            let permit = match acquired {
                Ok(permit) => permit,
                Err(AcquireError::NoneEligible(_) | AcquireError::TooBusy(_)) => return last,
            };
            excluded.push(permit.server.name.clone());
            last = self.runner.run(active, permit).await;
            if !matches!(last, AttemptResult::NotRun(_)) {
                return last;
            }
            let detail = format!("{last:?}");
            self.context.record_call(EventKind::CallRetried, active.call.id, detail);
        }
        last
    }

    fn claim_request(&self, call: &CallRequest, key: Uuid) -> ClaimRequest {
        ClaimRequest {
            key: ClaimKey { service: call.service.clone(), key },
            digest: digest(call),
            attempt: AttemptId(Uuid::new_v4()),
            entry: self.context.name(),
        }
    }

    /// Releases a claim in the background.
    fn release(&self, call: &CallRequest, claim: &ClaimRequest) {
        self.context.record_call(EventKind::ClaimReleased, call.id, claim.key.to_string());
        self.ledger.release(ClaimRelease { key: claim.key.clone(), attempt: claim.attempt });
    }
}

/// Refuses a request whose claim was not decided. This entry sent nothing, but if the key is the
/// caller's, another entry may have sent a request with the same key.
fn refuse_undecided(
    error: &ClaimError,
    caller_key: Option<Uuid>,
    dispatcher: &dyn DispatcherApi,
) -> CallAnswer {
    CallAnswer::refusal(503, unclaimed_outcome(caller_key), &error.to_string())
        .with_retry_after(dispatcher.retry_after_ms(Duration::ZERO))
}

/// Refuses a request whose claim was not granted.
fn refuse_claim(answer: ClaimAnswer, dispatcher: &dyn DispatcherApi) -> CallAnswer {
    let refusal = CallAnswer::refusal;
    match answer {
        ClaimAnswer::Ran { status } => {
            refusal(409, CallOutcome::Ran, &format!("the request ran before, with status {status}"))
        }
        ClaimAnswer::Granted | ClaimAnswer::Held | ClaimAnswer::Released => {
            refusal(409, CallOutcome::Unknown, "the request was sent before and may have run")
                .with_retry_after(dispatcher.retry_after_ms(Duration::from_secs(1)))
        }
        ClaimAnswer::OtherRequest => {
            refusal(422, CallOutcome::Unknown, "idempotency-key: used before for another request")
        }
        ClaimAnswer::TooOld => refusal(
            409,
            CallOutcome::Unknown,
            "idempotency-key: its time is past the retention; its fate is no longer known",
        ),
        ClaimAnswer::TooNew => refusal(
            400,
            CallOutcome::NotRun,
            "idempotency-key: its time is ahead of the system's clock",
        ),
        ClaimAnswer::BadKey => {
            refusal(400, CallOutcome::NotRun, "idempotency-key: not a UUID of version 7")
        }
    }
}

/// Returns a digest of the request's method, path and body, which detects a key that is used for
/// another request.
fn digest(call: &CallRequest) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}
