//! Processing of requests: admission, attempts, retries, hedging, and forwarding to other entries.

use crate::{
    EntryContext,
    active_call::{ActiveCall, CallSource},
    attempts::{AttemptResult, AttemptRunner},
    catalog::ServerCatalog,
    claims::ClaimLedger,
    context::{duration_ms, remaining_ms},
    dispatcher_api::{DispatcherApi, ForwardResult, MAX_ATTEMPTS, unclaimed_outcome},
    once::AtMostOnceRunner,
    prepared_call::PreparedCall,
    service_pool::{AcquireError, ServerPermit},
};
use async_trait::async_trait;
use caller::{CallHandler, DirectoryAnswer, DirectoryEntry};
use peer::{PeerAnswer, PeerError, PeerLink, PeerRequest};
use policy::{AdmissionGate, rank_entries, retry_after};
use rand::Rng;
use runtime::EventKind;
use server::ServerTransport;
use smallvec::SmallVec;
use std::{
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Weak, atomic::Ordering},
    time::{Duration, Instant},
};
use tokio::time::sleep_until;
use types::{
    CallAnswer, CallOutcome, CallRequest, EntryName, ServerName, ServiceName, ServiceSpec,
};
use uuid::Uuid;

/// Maximum number of entries that the directory returns for a service.
const MAX_DIRECTORY_ENTRIES: usize = 3;
/// A forward for warm-up may take at most the request's remaining time divided by this.
const WARM_UP_DIVISOR: u32 = 4;
/// Minimum retry time for a caller while this entry does not accept work, or while only other
/// entries may use the service's servers and none of them answers.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Admits requests and runs them on servers.
pub struct CallDispatcher {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) catalog: Arc<ServerCatalog>,
    pub(crate) runner: AttemptRunner,
    link: Arc<dyn PeerLink>,
    admission: AdmissionGate,
    directory_max_age: Duration,
    at_most_once: AtMostOnceRunner,
    weak_self: Weak<Self>,
}

impl CallDispatcher {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        catalog: Arc<ServerCatalog>,
        transport: Arc<dyn ServerTransport>,
        link: Arc<dyn PeerLink>,
        ledger: Arc<dyn ClaimLedger>,
        admission: AdmissionGate,
        directory_max_age: Duration,
    ) -> Arc<Self> {
        let runner = AttemptRunner { context: context.clone(), transport };
        let at_most_once = AtMostOnceRunner::new(runner.clone(), ledger);
        Arc::new_cyclic(|weak_self: &Weak<Self>| Self {
            context,
            catalog,
            runner,
            link,
            admission,
            directory_max_age,
            at_most_once,
            weak_self: weak_self.clone(),
        })
    }

    /// Runs a request that another entry forwarded.
    pub(crate) async fn serve_forwarded(&self, call: CallRequest) -> CallAnswer {
        self.serve(call, CallSource::Entry).await
    }

    /// Runs a request, records its events and counts its outcome.
    async fn serve(&self, call: CallRequest, source: CallSource) -> CallAnswer {
        let id = call.id;
        let detail = format!("{} {} for {}", call.method, call.path, call.service);
        self.context.record_call(EventKind::CallReceived, id, detail);
        let answer = self.admit(call, source).await;
        self.context.counters.calls.count(answer.outcome.as_str());
        let detail = format!("{} {}", answer.status, answer.outcome);
        self.context.record_call(EventKind::CallAnswered, id, detail);
        answer
    }

    /// Runs a request if this entry can accept it, and refuses it otherwise.
    async fn admit(&self, mut call: CallRequest, source: CallSource) -> CallAnswer {
        let view = self.context.view();
        let Some(spec) = view.service(&call.service) else {
            if !self.context.is_open() {
                return self.refuse_closed(call.key);
            }
            let reason = format!("service: {} is not declared by any team", call.service);
            return CallAnswer::refusal(404, CallOutcome::NotRun, &reason);
        };
        if !self.context.is_open() {
            return self.refuse_closed(call.key);
        }
        let is_idempotent = spec.is_repeatable(&call.method, &call.path);
        let caller_key = call.key;
        if !is_idempotent {
            call.key.get_or_insert_with(Uuid::now_v7);
        }
        let prepared = match PreparedCall::new(&call) {
            Ok(prepared) => prepared,
            Err(reason) => return CallAnswer::refusal(400, CallOutcome::NotRun, &reason),
        };
        let pool = self.catalog.pools.pool(&call.service);
        let total_in_flight = self.catalog.pools.in_flight.load(Ordering::Relaxed);
        if !self.admission.admits(spec.priority, total_in_flight, pool.in_flight()) {
            self.context.counters.calls.count("shed");
            return self.refuse_busy(caller_key, Duration::ZERO);
        }
        let _guard = pool.track_in_flight(&self.catalog.pools.in_flight);
        pool.record_request(spec);
        let deadline = Instant::now() + call_timeout(&call, spec);
        let active = ActiveCall::new(call, caller_key, prepared, pool, deadline, source);
        if is_idempotent {
            active.adjust_outcome(self.run_idempotent(&active).await)
        } else {
            self.run_detached(active).await
        }
    }

    /// Runs a request that is not idempotent in its own task, so that it completes even if its
    /// caller disconnects.
    async fn run_detached(&self, active: ActiveCall) -> CallAnswer {
        let failed = || CallAnswer::refusal(500, CallOutcome::Unknown, "the entry failed");
        let Some(dispatcher) = self.weak_self.upgrade() else {
            return failed();
        };
        let task =
            tokio::spawn(async move { dispatcher.at_most_once.run(&*dispatcher, active).await });
        task.await.unwrap_or_else(|_| failed())
    }

    /// Runs an idempotent request, with retries and hedging.
    async fn run_idempotent(&self, active: &ActiveCall) -> CallAnswer {
        if let Some(answer) = self.forward_for_warm_up(active).await {
            return answer;
        }
        let mut excluded: SmallVec<[ServerName; 2]> = SmallVec::new();
        let mut last = AttemptResult::NotRun("no try yet".to_owned());
        for number in 0..MAX_ATTEMPTS {
            if number > 0 && !self.may_retry(active, &last) {
                break;
            }
            let prefers_cold = active.source == CallSource::Entry || active.pool.take_own_warm_up();
            let acquired = active.pool.acquire(&excluded, prefers_cold, active.deadline).await;
            let permit = match acquired {
                Ok(permit) => permit,
                Err(AcquireError::NoneEligible(owners)) => {
                    return self.forward_to_owners(active, owners, last).await;
                }
                Err(AcquireError::TooBusy(wait)) => return self.refuse_busy(None, wait),
            };
            excluded.push(permit.server.name.clone());
            last = self.run_hedged(active, permit, &excluded).await;
            if let AttemptResult::Answered(answer) = last {
                return answer;
            }
            let detail = format!("{last:?}");
            self.context.record_call(EventKind::CallRetried, active.call.id, detail);
        }
        self.final_answer(last)
    }

    /// Runs one attempt, and a second one at another server if the first is slow. The second starts
    /// after the service's 95th percentile of latency if the hedge budget allows it, or else after
    /// half of the remaining time if the retry budget allows it. Both are counted as hedged.
    async fn run_hedged(
        &self,
        active: &ActiveCall,
        permit: ServerPermit,
        excluded: &[ServerName],
    ) -> AttemptResult {
        let started = Instant::now();
        let half_time = active.deadline.saturating_duration_since(started) / 2;
        let first = self.runner.run(active, permit);
        tokio::pin!(first);
        if let Some(delay) = active.pool.hedge_delay().filter(|delay| *delay < half_time) {
            tokio::select! {
                result = &mut first => return result,
                () = sleep_until((started + delay).into()) => {}
            }
            if active.pool.take_hedge() {
                return self.race_second_attempt(active, first, excluded).await;
            }
        }
        tokio::select! {
            result = &mut first => return result,
            () = sleep_until((started + half_time).into()) => {}
        }
        if active.pool.take_retry() {
            return self.race_second_attempt(active, first, excluded).await;
        }
        first.await
    }

    /// Starts a second attempt concurrently with the first and returns the first answer. The other
    /// attempt is then dropped, which cancels it at its server. If one attempt ends without an
    /// answer, returns the result of the other.
    async fn race_second_attempt(
        &self,
        active: &ActiveCall,
        mut first: Pin<&mut (impl Future<Output = AttemptResult> + Send)>,
        excluded: &[ServerName],
    ) -> AttemptResult {
        let Some(permit) = active.pool.try_acquire(excluded) else {
            return first.await;
        };
        self.context.counters.calls.count("hedged");
        let detail = format!("to {}", permit.server.name);
        self.context.record_call(EventKind::CallHedged, active.call.id, detail);
        let second = self.runner.run(active, permit);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                AttemptResult::Answered(_) => result,
                _ => second.await,
            },
            result = &mut second => match result {
                AttemptResult::Answered(_) => result,
                _ => first.await,
            },
        }
    }

    /// Returns whether the request may be retried after this result, and takes a retry from the
    /// budget if so.
    fn may_retry(&self, active: &ActiveCall, last: &AttemptResult) -> bool {
        if Instant::now() >= active.deadline {
            return false;
        }
        match last {
            AttemptResult::Closed | AttemptResult::Late | AttemptResult::Answered(_) => false,
            AttemptResult::NotRun(_) | AttemptResult::Unknown(_) => {
                let is_granted = active.pool.take_retry();
                let decision = if is_granted { "retried" } else { "retry-refused" };
                self.context.counters.calls.count(decision);
                is_granted
            }
        }
    }

    /// Forwards the request to an owner of cold servers if a warm-up is due. Returns the answer if
    /// the request ran there.
    async fn forward_for_warm_up(&self, active: &ActiveCall) -> Option<CallAnswer> {
        if active.source == CallSource::Entry {
            return None;
        }
        let owner = active.pool.take_warm_up_owner()?;
        // A cold server may be slow, so most of the time is reserved for a run at another server.
        let now = Instant::now();
        let share = active.deadline.saturating_duration_since(now) / WARM_UP_DIVISOR;
        match self.forward(active, &owner, now + share).await {
            ForwardResult::Answered(answer) if answer.outcome == CallOutcome::Ran => Some(answer),
            _ => None,
        }
    }

    /// Forwards an idempotent request to the owners of cold servers, because only an owner may use
    /// its cold servers. Refuses the request if no owner answers.
    async fn forward_to_owners(
        &self,
        active: &ActiveCall,
        owners: SmallVec<[EntryName; 2]>,
        last: AttemptResult,
    ) -> CallAnswer {
        if active.source == CallSource::Caller {
            for owner in owners {
                if let ForwardResult::Answered(answer) =
                    self.forward(active, &owner, active.deadline).await
                {
                    return answer;
                }
            }
        }
        match last {
            AttemptResult::NotRun(_) => self.refuse_busy(None, UNAVAILABLE_RETRY_AFTER),
            last => self.final_answer(last),
        }
    }

    /// Returns the answer to a request that is not retried.
    fn final_answer(&self, last: AttemptResult) -> CallAnswer {
        match last {
            AttemptResult::Answered(answer) => answer,
            AttemptResult::Closed => self.refuse_closed(None),
            AttemptResult::NotRun(reason) => CallAnswer::refusal(503, CallOutcome::NotRun, &reason)
                .with_retry_after(self.retry_after_ms(Duration::ZERO)),
            AttemptResult::Unknown(reason) => {
                CallAnswer::refusal(502, CallOutcome::Unknown, &reason)
                    .with_retry_after(self.retry_after_ms(Duration::ZERO))
            }
            AttemptResult::Late => {
                CallAnswer::refusal(504, CallOutcome::Unknown, "no answer by the deadline")
                    .with_retry_after(self.retry_after_ms(Duration::ZERO))
            }
        }
    }
}

#[async_trait]
impl DispatcherApi for CallDispatcher {
    async fn forward(
        &self,
        active: &ActiveCall,
        to: &EntryName,
        deadline: Instant,
    ) -> ForwardResult {
        // While ranges move, this entry can be listed as the owner of cold servers before it may
        // use them.
        if *to == self.context.name() {
            return ForwardResult::NotHandled;
        }
        let Some(target) = self.catalog.entry_target(to) else {
            return ForwardResult::NotHandled;
        };
        // Forwarding starts new work, which requires a fresh view.
        if !self.context.is_open() {
            return ForwardResult::NotHandled;
        }
        self.context.counters.calls.count("forwarded");
        self.context.record_call(EventKind::CallForwarded, active.call.id, format!("to {to}"));
        let deadline_ms = remaining_ms(deadline);
        let call = CallRequest { deadline_ms, ..active.call.clone() };
        let timeout = Duration::from_millis(u64::from(deadline_ms));
        active.record_start();
        match self.link.call(&target, PeerRequest::CallForward(call), timeout).await {
            Ok(PeerAnswer::CallForward(answer)) => {
                if answer.outcome == CallOutcome::NotRun {
                    active.record_not_run();
                }
                ForwardResult::Answered(*answer)
            }
            Ok(_) | Err(PeerError::NotReached { .. }) => {
                active.record_not_run();
                ForwardResult::NotHandled
            }
            Err(error) => ForwardResult::Unknown(error.to_string()),
        }
    }

    fn refuse_closed(&self, caller_key: Option<Uuid>) -> CallAnswer {
        self.context.counters.calls.count("closed");
        let reason = "this entry cannot confirm its configuration; use another one";
        CallAnswer::refusal(503, unclaimed_outcome(caller_key), reason)
            .with_retry_after(self.retry_after_ms(UNAVAILABLE_RETRY_AFTER))
    }

    fn refuse_busy(&self, caller_key: Option<Uuid>, wait: Duration) -> CallAnswer {
        self.context.counters.calls.count("busy");
        CallAnswer::refusal(503, unclaimed_outcome(caller_key), "no server has room")
            .with_retry_after(self.retry_after_ms(wait))
    }

    fn retry_after_ms(&self, wait: Duration) -> u32 {
        let spread = self.context.with_rng(|rng| rng.random::<f64>());
        duration_ms(retry_after(wait, spread))
    }
}

#[async_trait]
impl CallHandler for CallDispatcher {
    async fn call(&self, request: CallRequest) -> CallAnswer {
        self.serve(request, CallSource::Caller).await
    }

    fn directory(&self, service: &ServiceName) -> DirectoryAnswer {
        let view = self.context.view();
        let entries = rank_entries(&view, service, MAX_DIRECTORY_ENTRIES)
            .into_iter()
            .map(|entry| DirectoryEntry { name: entry.name.clone(), address: entry.caller_address })
            .collect();
        DirectoryAnswer { entries, max_age_s: self.directory_max_age.as_secs() }
    }

    fn other_entries(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let (view, name) = (self.context.view(), self.context.name());
        rank_entries(&view, service, MAX_DIRECTORY_ENTRIES + 1)
            .into_iter()
            .filter(|entry| entry.name != name)
            .map(|entry| entry.caller_address)
            .collect()
    }
}

/// Returns the timeout of a request: the caller's, or the service's if the caller set none.
fn call_timeout(call: &CallRequest, spec: &ServiceSpec) -> Duration {
    let ms = if call.deadline_ms == 0 { spec.timeout_ms } else { call.deadline_ms };
    Duration::from_millis(u64::from(ms))
}
