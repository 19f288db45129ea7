//! Requests that may not be repeated: claimed in the replicated log before the first byte leaves.

use crate::{
    EntryContext,
    active_call::{ActiveCall, CallSource},
    attempts::{AttemptEnd, TryRunner},
    claims::{ClaimError, ClaimLedger},
    relay::{CallRelay, ForwardEnd, MAX_ATTEMPTS, unseen_outcome, with_key},
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

/// Runs requests at most once.
pub(crate) struct OnceRunner {
    context: Arc<EntryContext>,
    runner: TryRunner,
    ledger: Arc<dyn ClaimLedger>,
}

impl OnceRunner {
    pub(crate) fn new(runner: TryRunner, ledger: Arc<dyn ClaimLedger>) -> Self {
        Self { context: runner.context.clone(), runner, ledger }
    }

    /// Runs a request that carries a key, the caller's or one made here.
    pub(crate) async fn run(&self, relay: &dyn CallRelay, active: ActiveCall) -> CallAnswer {
        let Some(key) = active.call.key else {
            return CallAnswer::refusal(500, CallOutcome::NotRun, "the request has no key");
        };
        let answer = match self.run_elsewhere(relay, &active).await {
            Some(answer) => answer,
            None => self.run_claimed(relay, &active, key).await,
        };
        with_key(active.qualify(answer), key)
    }

    /// Hands the request over if only another entry may give servers work. The claim is taken
    /// there. Returns `None` if the request is to be run here.
    async fn run_elsewhere(
        &self,
        relay: &dyn CallRelay,
        active: &ActiveCall,
    ) -> Option<CallAnswer> {
        if active.source == CallSource::Entry {
            return None;
        }
        for owner in active.pool.owners_instead()? {
            match relay.forward(active, &owner, active.deadline).await {
                ForwardEnd::NotReached => {}
                ForwardEnd::Answered(mut answer) => {
                    answer.headers.retain(|field| field.name != header::IDEMPOTENCY_KEY);
                    return Some(answer);
                }
                ForwardEnd::Unknown(reason) => {
                    return Some(CallAnswer::refusal(504, CallOutcome::Unknown, &reason));
                }
            }
        }
        Some(relay.refuse_busy(active.stated_key, Duration::ZERO))
    }

    async fn run_claimed(
        &self,
        relay: &dyn CallRelay,
        active: &ActiveCall,
        key: Uuid,
    ) -> CallAnswer {
        let claim = self.claim_request(&active.call, key);
        let decided = self.ledger.claim(&claim, active.deadline).await;
        let detail = format!("{}: {decided:?}", claim.key);
        self.context.record_call(EventKind::ClaimDecided, active.call.id, detail);
        match decided {
            Ok(ClaimAnswer::Granted) => {}
            Ok(other) => return refuse_claim(other, relay),
            Err(error) => {
                self.release(&active.call, &claim);
                return refuse_undecided(&error, active.stated_key, relay);
            }
        }
        match self.run_granted(active).await {
            AttemptEnd::Answered(answer) => {
                let status = answer.status;
                let ClaimRequest { key, attempt, .. } = claim;
                self.ledger.finish(ClaimResult { key, attempt, status });
                answer
            }
            AttemptEnd::NotRun(reason) => {
                self.release(&active.call, &claim);
                CallAnswer::refusal(503, CallOutcome::NotRun, &reason)
                    .with_retry_after(relay.retry_after_ms(Duration::ZERO))
            }
            AttemptEnd::Closed => {
                self.release(&active.call, &claim);
                relay.refuse_closed(None)
            }
            AttemptEnd::Unknown(reason) => CallAnswer::refusal(502, CallOutcome::Unknown, &reason),
            AttemptEnd::Late => {
                CallAnswer::refusal(504, CallOutcome::Unknown, "no answer by the deadline")
            }
        }
    }

    /// Tries servers until one may have run the request.
    async fn run_granted(&self, active: &ActiveCall) -> AttemptEnd {
        let mut excluded: SmallVec<[ServerName; 2]> = SmallVec::new();
        let mut last = AttemptEnd::NotRun("no server has room".to_owned());
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
            if !matches!(last, AttemptEnd::NotRun(_)) {
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

    fn release(&self, call: &CallRequest, claim: &ClaimRequest) {
        self.context.record_call(EventKind::ClaimReleased, call.id, claim.key.to_string());
        self.ledger.release(ClaimRelease { key: claim.key.clone(), attempt: claim.attempt });
    }
}

/// Answers a request whose claim could not be decided. This entry sent nothing, but under a
/// caller's key another may have.
fn refuse_undecided(
    error: &ClaimError,
    stated_key: Option<Uuid>,
    relay: &dyn CallRelay,
) -> CallAnswer {
    CallAnswer::refusal(503, unseen_outcome(stated_key), &error.to_string())
        .with_retry_after(relay.retry_after_ms(Duration::ZERO))
}

/// Answers a request whose claim was not granted.
fn refuse_claim(answer: ClaimAnswer, relay: &dyn CallRelay) -> CallAnswer {
    let refusal = CallAnswer::refusal;
    match answer {
        ClaimAnswer::Ran { status } => {
            refusal(409, CallOutcome::Ran, &format!("the request ran before, with status {status}"))
        }
        ClaimAnswer::Granted | ClaimAnswer::Held | ClaimAnswer::Released => {
            refusal(409, CallOutcome::Unknown, "the request was sent before and may have run")
                .with_retry_after(relay.retry_after_ms(Duration::from_secs(1)))
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

/// Returns a digest of what the request asks for.
fn digest(call: &CallRequest) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}
