//! The way of a request through an entry: admission, attempts, retries, hedges, handing over.

use crate::{
    EntryContext,
    active_call::{ActiveCall, CallSource},
    attempts::{AttemptEnd, TryRunner},
    catalog::ServerCatalog,
    claims::ClaimLedger,
    context::{left_ms, whole_ms},
    once::OnceRunner,
    prepared_call::PreparedCall,
    relay::{CallRelay, ForwardEnd, MAX_ATTEMPTS, unseen_outcome},
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

/// Entries that the directory names for a service.
const DIRECTORY_ENTRIES: usize = 3;
/// Part of a request's time that it may spend on warming a server up.
const WARM_UP_DIVISOR: u32 = 4;
/// Time after which a caller should ask again while an entry is closed.
const CLOSED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Brings requests to servers.
pub struct CallDispatcher {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) catalog: Arc<ServerCatalog>,
    pub(crate) runner: TryRunner,
    link: Arc<dyn PeerLink>,
    admission: AdmissionGate,
    directory_max_age: Duration,
    once: OnceRunner,
    this: Weak<Self>,
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
        let runner = TryRunner { context: context.clone(), transport };
        let once = OnceRunner::new(runner.clone(), ledger);
        Arc::new_cyclic(|this| Self {
            context,
            catalog,
            runner,
            link,
            admission,
            directory_max_age,
            once,
            this: this.clone(),
        })
    }

    /// Serves a request that another entry handed over.
    pub(crate) async fn serve_forwarded(&self, call: CallRequest) -> CallAnswer {
        self.serve(call, CallSource::Entry).await
    }

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
        let is_repeatable = spec.is_repeatable(&call.method, &call.path);
        let stated_key = call.key;
        if !is_repeatable {
            call.key.get_or_insert_with(Uuid::now_v7);
        }
        let prepared = match PreparedCall::new(&call) {
            Ok(prepared) => prepared,
            Err(reason) => return CallAnswer::refusal(400, CallOutcome::NotRun, &reason),
        };
        let pool = self.catalog.pools.pool(&call.service);
        let held_total = self.catalog.pools.held.load(Ordering::Relaxed);
        if !self.admission.admits(spec.priority, held_total, pool.held()) {
            self.context.counters.calls.count("shed");
            return self.refuse_busy(stated_key, Duration::ZERO);
        }
        let _held = pool.hold(&self.catalog.pools.held);
        pool.note_request(spec);
        let deadline = Instant::now() + allowed_time(&call, spec);
        let active = ActiveCall::new(call, stated_key, prepared, pool, deadline, source);
        if is_repeatable {
            active.qualify(self.run_repeatable(&active).await)
        } else {
            self.run_detached(active).await
        }
    }

    /// Runs a request that may not be repeated to its end, even if its caller goes away.
    async fn run_detached(&self, active: ActiveCall) -> CallAnswer {
        let failed = || CallAnswer::refusal(500, CallOutcome::Unknown, "the entry failed");
        let Some(dispatcher) = self.this.upgrade() else {
            return failed();
        };
        let task = tokio::spawn(async move { dispatcher.once.run(&*dispatcher, active).await });
        task.await.unwrap_or_else(|_| failed())
    }

    async fn run_repeatable(&self, active: &ActiveCall) -> CallAnswer {
        if let Some(answer) = self.warm_up(active).await {
            return answer;
        }
        let mut excluded: SmallVec<[ServerName; 2]> = SmallVec::new();
        let mut last = AttemptEnd::NotRun("no try yet".to_owned());
        for number in 0..MAX_ATTEMPTS {
            if number > 0 && !self.may_retry(active, &last) {
                break;
            }
            let prefers_cold = active.source == CallSource::Entry || active.pool.take_own_warm_up();
            let acquired = active.pool.acquire(&excluded, prefers_cold, active.deadline).await;
            let permit = match acquired {
                Ok(permit) => permit,
                Err(AcquireError::NoneEligible(owners)) => {
                    return self.run_elsewhere(active, owners, last).await;
                }
                Err(AcquireError::TooBusy(wait)) => return self.refuse_busy(None, wait),
            };
            excluded.push(permit.server.name.clone());
            last = self.run_hedged(active, permit, &excluded).await;
            if let AttemptEnd::Answered(answer) = last {
                return answer;
            }
            let detail = format!("{last:?}");
            self.context.record_call(EventKind::CallRetried, active.call.id, detail);
        }
        self.give_up(last)
    }

    /// Runs one try, and a second one elsewhere if the first takes long: after most answers have
    /// come, if the budget of hedges has one, or when half of the time has passed, if that of
    /// retries has one.
    async fn run_hedged(
        &self,
        active: &ActiveCall,
        permit: ServerPermit,
        excluded: &[ServerName],
    ) -> AttemptEnd {
        let started = Instant::now();
        let half = active.deadline.saturating_duration_since(started) / 2;
        let first = self.runner.run(active, permit);
        tokio::pin!(first);
        if let Some(delay) = active.pool.hedge_delay().filter(|delay| *delay < half) {
            tokio::select! {
                end = &mut first => return end,
                () = sleep_until((started + delay).into()) => {}
            }
            if active.pool.take_hedge() {
                return self.race(active, first, excluded).await;
            }
        }
        tokio::select! {
            end = &mut first => return end,
            () = sleep_until((started + half).into()) => {}
        }
        if active.pool.take_retry() {
            return self.race(active, first, excluded).await;
        }
        first.await
    }

    /// Runs a second try beside the first. The one that loses is dropped, which cancels it at its
    /// server.
    async fn race(
        &self,
        active: &ActiveCall,
        mut first: Pin<&mut (impl Future<Output = AttemptEnd> + Send)>,
        excluded: &[ServerName],
    ) -> AttemptEnd {
        let Some(permit) = active.pool.try_acquire(excluded) else {
            return first.await;
        };
        self.context.counters.calls.count("hedged");
        let detail = format!("to {}", permit.server.name);
        self.context.record_call(EventKind::CallHedged, active.call.id, detail);
        let second = self.runner.run(active, permit);
        tokio::pin!(second);
        tokio::select! {
            end = &mut first => match end {
                AttemptEnd::Answered(_) => end,
                _ => second.await,
            },
            end = &mut second => match end {
                AttemptEnd::Answered(_) => end,
                _ => first.await,
            },
        }
    }

    fn may_retry(&self, active: &ActiveCall, last: &AttemptEnd) -> bool {
        if Instant::now() >= active.deadline {
            return false;
        }
        match last {
            AttemptEnd::Closed | AttemptEnd::Late | AttemptEnd::Answered(_) => false,
            AttemptEnd::NotRun(_) | AttemptEnd::Unknown(_) => {
                let is_granted = active.pool.take_retry();
                let counted = if is_granted { "retried" } else { "retry-refused" };
                self.context.counters.calls.count(counted);
                is_granted
            }
        }
    }

    /// Gives a shard owner's cold servers a share of the work, so that they warm up.
    async fn warm_up(&self, active: &ActiveCall) -> Option<CallAnswer> {
        if active.source == CallSource::Entry {
            return None;
        }
        let owner = active.pool.take_warm_up()?;
        // A cold server may be slow, so enough time is kept to run the request here after all.
        let now = Instant::now();
        let share = active.deadline.saturating_duration_since(now) / WARM_UP_DIVISOR;
        match self.forward(active, &owner, now + share).await {
            ForwardEnd::Answered(answer) if answer.outcome == CallOutcome::Ran => Some(answer),
            _ => None,
        }
    }

    /// Runs a repeatable request at an entry that may give servers work which this one may not.
    async fn run_elsewhere(
        &self,
        active: &ActiveCall,
        owners: SmallVec<[EntryName; 2]>,
        last: AttemptEnd,
    ) -> CallAnswer {
        if active.source == CallSource::Caller {
            for owner in owners {
                if let ForwardEnd::Answered(answer) =
                    self.forward(active, &owner, active.deadline).await
                {
                    return answer;
                }
            }
        }
        match last {
            AttemptEnd::NotRun(_) => self.refuse_busy(None, CLOSED_RETRY_AFTER),
            last => self.give_up(last),
        }
    }

    fn give_up(&self, last: AttemptEnd) -> CallAnswer {
        match last {
            AttemptEnd::Answered(answer) => answer,
            AttemptEnd::Closed => self.refuse_closed(None),
            AttemptEnd::NotRun(reason) => CallAnswer::refusal(503, CallOutcome::NotRun, &reason)
                .with_retry_after(self.retry_after_ms(Duration::ZERO)),
            AttemptEnd::Unknown(reason) => CallAnswer::refusal(502, CallOutcome::Unknown, &reason)
                .with_retry_after(self.retry_after_ms(Duration::ZERO)),
            AttemptEnd::Late => {
                CallAnswer::refusal(504, CallOutcome::Unknown, "no answer by the deadline")
                    .with_retry_after(self.retry_after_ms(Duration::ZERO))
            }
        }
    }
}

#[async_trait]
impl CallRelay for CallDispatcher {
    async fn forward(&self, active: &ActiveCall, to: &EntryName, deadline: Instant) -> ForwardEnd {
        // While ranges move, a server may be listed under this entry before it may warm it up.
        if *to == self.context.name() {
            return ForwardEnd::NotReached;
        }
        let Some(target) = self.catalog.entry_target(to) else {
            return ForwardEnd::NotReached;
        };
        // Handing over is starting work: it needs a fresh view like any other.
        if !self.context.is_open() {
            return ForwardEnd::NotReached;
        }
        self.context.counters.calls.count("forwarded");
        self.context.record_call(EventKind::CallForwarded, active.call.id, format!("to {to}"));
        let deadline_ms = left_ms(deadline);
        let call = CallRequest { deadline_ms, ..active.call.clone() };
        let timeout = Duration::from_millis(u64::from(deadline_ms));
        active.note_sent();
        match self.link.call(&target, PeerRequest::CallForward(call), timeout).await {
            Ok(PeerAnswer::CallForward(answer)) => {
                if answer.outcome == CallOutcome::NotRun {
                    active.note_not_run();
                }
                ForwardEnd::Answered(*answer)
            }
            Ok(_) | Err(PeerError::NotReached { .. }) => {
                active.note_not_run();
                ForwardEnd::NotReached
            }
            Err(error) => ForwardEnd::Unknown(error.to_string()),
        }
    }

    fn refuse_closed(&self, key: Option<Uuid>) -> CallAnswer {
        self.context.counters.calls.count("closed");
        let reason = "this entry cannot confirm its configuration; use another one";
        CallAnswer::refusal(503, unseen_outcome(key), reason)
            .with_retry_after(self.retry_after_ms(CLOSED_RETRY_AFTER))
    }

    fn refuse_busy(&self, key: Option<Uuid>, wait: Duration) -> CallAnswer {
        self.context.counters.calls.count("busy");
        CallAnswer::refusal(503, unseen_outcome(key), "no server has room")
            .with_retry_after(self.retry_after_ms(wait))
    }

    fn retry_after_ms(&self, wait: Duration) -> u32 {
        let spread = self.context.with_rng(|rng| rng.random::<f64>());
        whole_ms(retry_after(wait, spread))
    }
}

#[async_trait]
impl CallHandler for CallDispatcher {
    async fn call(&self, request: CallRequest) -> CallAnswer {
        self.serve(request, CallSource::Caller).await
    }

    fn directory(&self, service: &ServiceName) -> DirectoryAnswer {
        let view = self.context.view();
        let entries = rank_entries(&view, service, DIRECTORY_ENTRIES)
            .into_iter()
            .map(|entry| DirectoryEntry { name: entry.name.clone(), address: entry.caller_address })
            .collect();
        DirectoryAnswer { entries, max_age_s: self.directory_max_age.as_secs() }
    }

    fn other_entries(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let (view, name) = (self.context.view(), self.context.name());
        rank_entries(&view, service, DIRECTORY_ENTRIES + 1)
            .into_iter()
            .filter(|entry| entry.name != name)
            .map(|entry| entry.caller_address)
            .collect()
    }
}

fn allowed_time(call: &CallRequest, spec: &ServiceSpec) -> Duration {
    let ms = if call.deadline_ms == 0 { spec.timeout_ms } else { call.deadline_ms };
    Duration::from_millis(u64::from(ms))
}
