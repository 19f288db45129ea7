//! The pool of a service: its servers, the requests that wait for one, and its budgets.

use crate::EntryContext;
use parking_lot::Mutex;
use policy::{
    AttemptOutcome, LatencyTracker, LoadSettings, PickResult, PickedServer, ReleaseOutcome,
    RetryBudget, ServerReport, ServerView, ServiceLoad, expected_wait,
};
use runtime::EventKind;
use smallvec::SmallVec;
use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Weak,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{sync::oneshot, time::timeout_at};
use types::{EntryName, ServerIncarnation, ServerName, ServiceName, ServiceSpec, SuspectKind};

/// Number of independently locked parts of the table of pools.
const SHARD_COUNT: usize = 16;
/// Least time between two requests by which an entry warms a service's cold servers.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Answers after which the latency of a pool counts as known.
const LATENCY_SAMPLES: u64 = 100;
/// A try that is given up after this multiple of the 95th percentile counts against its server.
const LATE_FACTOR: u32 = 4;
/// But no earlier than this.
const LATE_MINIMUM: Duration = Duration::from_millis(50);
/// A request is refused at once if it is expected to wait longer than this part of its time.
const EXPECTED_WAIT_DIVISOR: u32 = 4;
/// A request that has waited this part of its time is refused.
const WAIT_DIVISOR: u32 = 2;

/// Says why no server could be had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// No server may be given work here; these owners have cold ones.
    NoneEligible(SmallVec<[EntryName; 2]>),
    /// The wait would be, or was, too long. Holds the wait to expect.
    TooBusy(Duration),
}

/// Told what the end of a request showed about a server.
pub(crate) trait ServerObserver: Send + Sync {
    /// The cold server has proved itself.
    fn server_warmed(&self, server: &ServerName, incarnation: ServerIncarnation);
    /// The server is suspected.
    fn server_suspected(&self, server: &PickedServer, kind: SuspectKind);
    /// Says whether a shard owner's word still holds.
    fn is_confirmed(&self, owner: &EntryName) -> bool;
}

struct Waiter {
    excluded: SmallVec<[ServerName; 2]>,
    prefers_cold: bool,
    sender: oneshot::Sender<ServerPermit>,
}

struct PoolState {
    load: ServiceLoad,
    waiting: VecDeque<Waiter>,
    retries: RetryBudget,
    hedges: RetryBudget,
    latency: LatencyTracker,
    last_warm_up: Option<Instant>,
    last_own_warm_up: Option<Instant>,
}

/// All that an entry holds of one service.
pub(crate) struct ServicePool {
    context: Arc<EntryContext>,
    observer: Weak<dyn ServerObserver>,
    state: Mutex<PoolState>,
    held: AtomicUsize,
}

/// The right to send one request to a server. Ends when it is finished or dropped.
pub(crate) struct ServerPermit {
    pool: Arc<ServicePool>,
    pub(crate) server: PickedServer,
    taken: Instant,
    is_finished: bool,
}

impl ServerPermit {
    /// Notes how the request ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome, stated: &ServerReport) {
        self.is_finished = true;
        self.pool.clone().release(&self.server, outcome, stated);
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if !self.is_finished {
            // A try that is given up says something of its server only if it took very long.
            let is_late = self.pool.late_limit().is_some_and(|limit| self.taken.elapsed() > limit);
            let outcome = if is_late { AttemptOutcome::Late } else { AttemptOutcome::Cancelled };
            self.pool.clone().release(&self.server, outcome, &ServerReport::default());
        }
    }
}

/// Counts a request as held by its pool while it lives.
pub(crate) struct HeldRequest {
    pool: Arc<ServicePool>,
    total: Arc<AtomicUsize>,
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.pool.held.fetch_sub(1, Ordering::Relaxed);
        self.total.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServicePool {
    fn new(
        context: Arc<EntryContext>,
        observer: Weak<dyn ServerObserver>,
        settings: LoadSettings,
    ) -> Self {
        let state = PoolState {
            load: ServiceLoad::new(settings),
            waiting: VecDeque::new(),
            retries: RetryBudget::new(0),
            hedges: RetryBudget::new(0),
            latency: LatencyTracker::default(),
            last_warm_up: None,
            last_own_warm_up: None,
        };
        Self { context, observer, state: Mutex::new(state), held: AtomicUsize::new(0) }
    }

    /// Counts one more request as held.
    pub(crate) fn hold(self: &Arc<Self>, total: &Arc<AtomicUsize>) -> HeldRequest {
        self.held.fetch_add(1, Ordering::Relaxed);
        total.fetch_add(1, Ordering::Relaxed);
        HeldRequest { pool: self.clone(), total: total.clone() }
    }

    /// Returns the number of requests held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Takes the service's specification over and counts a first try against its budgets.
    pub(crate) fn note_request(&self, spec: &ServiceSpec) {
        let mut state = self.state.lock();
        state.load.set_cold_concurrency(spec.cold_concurrency);
        state.retries.set_percent(spec.retry_percent);
        state.hedges.set_percent(spec.hedge_percent);
        state.retries.record_request();
        state.hedges.record_request();
    }

    /// Takes one retry from the budget.
    pub(crate) fn take_retry(&self) -> bool {
        self.state.lock().retries.take()
    }

    /// Takes one hedge from the budget.
    pub(crate) fn take_hedge(&self) -> bool {
        self.state.lock().hedges.take()
    }

    /// Returns the latency after which a request counts as late enough for a hedge.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        let latency = self.state.lock().latency;
        (latency.samples() >= LATENCY_SAMPLES).then(|| latency.quantile())
    }

    /// Returns the time after which a try without an answer counts against its server, once enough
    /// answers have been seen.
    fn late_limit(&self) -> Option<Duration> {
        let latency = self.state.lock().latency;
        let is_known = latency.samples() >= LATENCY_SAMPLES;
        is_known.then(|| (latency.quantile() * LATE_FACTOR).max(LATE_MINIMUM))
    }

    /// Takes the directory's account over and gives waiting requests what became free.
    pub(crate) fn update(self: &Arc<Self>, views: Vec<ServerView>, spec: Option<&ServiceSpec>) {
        {
            let mut state = self.state.lock();
            if let Some(spec) = spec {
                state.load.set_cold_concurrency(spec.cold_concurrency);
            }
            state.load.update(views);
            debug_assert_eq!(state.load.verify(), Ok(()));
        }
        self.serve_waiting();
    }

    /// Returns the owner to hand a request over to so that its cold servers get work, if it is
    /// time to.
    pub(crate) fn take_warm_up(&self) -> Option<EntryName> {
        let observer = self.observer.upgrade()?;
        let now = Instant::now();
        let mut state = self.state.lock();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WARM_UP_INTERVAL;
        if state.last_warm_up.is_some_and(is_recent) {
            return None;
        }
        let owners = state.load.cold_owners(|owner| observer.is_confirmed(owner));
        let count = owners.len();
        if count == 0 {
            return None;
        }
        state.last_warm_up = Some(now);
        drop(state);
        let chosen = self.context.with_rng(|rng| rand::Rng::random_range(rng, 0..count));
        owners.into_iter().nth(chosen)
    }

    /// Says whether it is time to give one of this owner's own cold servers a request. The choice
    /// by latency alone would leave them cold where few requests come.
    pub(crate) fn take_own_warm_up(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WARM_UP_INTERVAL;
        if state.last_own_warm_up.is_some_and(is_recent) || !state.load.has_cold_capacity(now) {
            return false;
        }
        state.last_own_warm_up = Some(now);
        true
    }

    /// Says whether a server has answered a request of this entry lately.
    pub(crate) fn has_answered_lately(&self, server: &ServerName, now: Instant) -> bool {
        self.state.lock().load.has_recent_answer(server, now)
    }

    /// Returns the owners that may give cold servers work, if this entry may give none any.
    pub(crate) fn owners_instead(&self) -> Option<SmallVec<[EntryName; 2]>> {
        let observer = self.observer.upgrade()?;
        let is_confirmed = |owner: &EntryName| observer.is_confirmed(owner);
        let state = self.state.lock();
        if state.load.has_eligible(is_confirmed, Instant::now()) {
            return None;
        }
        Some(state.load.cold_owners(is_confirmed))
    }

    /// Waits for a server, first come first served.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        excluded: &[ServerName],
        prefers_cold: bool,
        deadline: Instant,
    ) -> Result<ServerPermit, AcquireError> {
        let give_up;
        let receiver = {
            let mut state = self.state.lock();
            if state.waiting.is_empty() {
                match self.pick(&mut state, excluded, prefers_cold) {
                    PickResult::Picked(server) => return Ok(self.permit(server)),
                    PickResult::NoneEligible { cold_owners } => {
                        return Err(AcquireError::NoneEligible(cold_owners));
                    }
                    PickResult::Busy => {}
                }
            }
            let now = Instant::now();
            let capacity = state.load.capacity(now);
            let wait = expected_wait(state.waiting.len(), capacity, state.latency.mean());
            // A long wait leaves no time for the answer, and makes all who come later wait as long.
            let left = deadline.saturating_duration_since(now);
            if wait > left / EXPECTED_WAIT_DIVISOR {
                return Err(AcquireError::TooBusy(wait));
            }
            give_up = now + left / WAIT_DIVISOR;
            let (sender, receiver) = oneshot::channel();
            state.waiting.push_back(Waiter { excluded: excluded.into(), prefers_cold, sender });
            receiver
        };
        match timeout_at(give_up.into(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(AcquireError::NoneEligible(SmallVec::new())),
            Err(_) => Err(AcquireError::TooBusy(self.state.lock().latency.mean())),
        }
    }

    /// Takes a server if one has room now.
    pub(crate) fn try_acquire(self: &Arc<Self>, excluded: &[ServerName]) -> Option<ServerPermit> {
        let mut state = self.state.lock();
        if !state.waiting.is_empty() {
            return None;
        }
        match self.pick(&mut state, excluded, false) {
            PickResult::Picked(server) => Some(self.permit(server)),
            PickResult::Busy | PickResult::NoneEligible { .. } => None,
        }
    }

    fn permit(self: &Arc<Self>, server: PickedServer) -> ServerPermit {
        ServerPermit { pool: self.clone(), server, taken: Instant::now(), is_finished: false }
    }

    fn pick(
        &self,
        state: &mut PoolState,
        excluded: &[ServerName],
        prefers_cold: bool,
    ) -> PickResult {
        let Some(observer) = self.observer.upgrade() else {
            return PickResult::NoneEligible { cold_owners: SmallVec::new() };
        };
        let is_confirmed = |owner: &EntryName| observer.is_confirmed(owner);
        let now = Instant::now();
        self.context.with_rng(|rng| state.load.pick(excluded, prefers_cold, is_confirmed, now, rng))
    }

    fn release(
        self: Arc<Self>,
        server: &PickedServer,
        outcome: AttemptOutcome,
        stated: &ServerReport,
    ) {
        let notes = {
            let mut state = self.state.lock();
            if let AttemptOutcome::Success(latency) = outcome {
                state.latency.record(latency);
            }
            state.load.release(server, outcome, stated, Instant::now())
        };
        self.report(server, &notes);
        self.serve_waiting();
    }

    fn report(&self, server: &PickedServer, notes: &ReleaseOutcome) {
        let Some(observer) = self.observer.upgrade() else {
            return;
        };
        if notes.is_warm {
            observer.server_warmed(&server.name, server.incarnation);
        }
        if notes.is_slow {
            self.context.counters.servers.count("slow");
            let detail = "slow".to_owned();
            self.context.record_server(EventKind::ServerSuspected, &server.name, detail);
        }
        if let Some(kind) = notes.suspicion {
            let detail = format!("{kind:?}");
            self.context.record_server(EventKind::ServerSuspected, &server.name, detail);
            observer.server_suspected(server, kind);
        }
    }

    /// Gives free servers to waiting requests, in order. A permit whose request has gone away is
    /// passed to the next.
    fn serve_waiting(self: &Arc<Self>) {
        loop {
            let (waiter, server) = {
                let mut state = self.state.lock();
                let Some(first) = state.waiting.pop_front() else {
                    return;
                };
                if first.sender.is_closed() {
                    continue;
                }
                match self.pick(&mut state, &first.excluded, first.prefers_cold) {
                    PickResult::Picked(server) => (first, server),
                    PickResult::Busy => {
                        state.waiting.push_front(first);
                        return;
                    }
                    // Dropping the sender tells the request that there is no server.
                    PickResult::NoneEligible { .. } => continue,
                }
            };
            let permit = self.permit(server);
            if let Err(mut unused) = waiter.sender.send(permit) {
                unused.is_finished = true;
                let mut state = self.state.lock();
                let stated = ServerReport::default();
                let now = Instant::now();
                state.load.release(&unused.server, AttemptOutcome::Cancelled, &stated, now);
            }
        }
    }
}

/// The pools of all services, in shards under their own locks.
pub(crate) struct PoolTable {
    context: Arc<EntryContext>,
    observer: Weak<dyn ServerObserver>,
    settings: LoadSettings,
    shards: [Mutex<HashMap<ServiceName, Arc<ServicePool>>>; SHARD_COUNT],
    /// Requests held over all pools.
    pub(crate) held: Arc<AtomicUsize>,
}

impl PoolTable {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        observer: Weak<dyn ServerObserver>,
        settings: LoadSettings,
    ) -> Self {
        let shards = Default::default();
        Self { context, observer, settings, shards, held: Arc::default() }
    }

    /// Returns the pool of a service.
    pub(crate) fn pool(&self, service: &ServiceName) -> Arc<ServicePool> {
        let shard = service.as_str().bytes().fold(0_usize, |sum, byte| sum + usize::from(byte));
        let mut pools = self.shards[shard % SHARD_COUNT].lock();
        if let Some(pool) = pools.get(service) {
            return pool.clone();
        }
        let pool =
            ServicePool::new(self.context.clone(), self.observer.clone(), self.settings.clone());
        let pool = Arc::new(pool);
        pools.insert(service.clone(), pool.clone());
        pool
    }

    /// Returns all services that have a pool.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        let names = |shard: &Mutex<HashMap<ServiceName, _>>| -> Vec<ServiceName> {
            shard.lock().keys().cloned().collect()
        };
        self.shards.iter().flat_map(names).collect()
    }
}

/// When a shard owner was last heard of, shared between the directory and all pools.
#[derive(Debug)]
pub(crate) struct BeatClock {
    origin: Instant,
    confirmed_us: AtomicU64,
}

impl BeatClock {
    pub(crate) fn new(origin: Instant) -> Self {
        Self { origin, confirmed_us: AtomicU64::new(0) }
    }

    pub(crate) fn confirm(&self, at: Instant) {
        let since = at.saturating_duration_since(self.origin).as_micros() as u64;
        self.confirmed_us.fetch_max(since, Ordering::AcqRel);
    }

    pub(crate) fn is_within(&self, limit: Duration, now: Instant) -> bool {
        let confirmed = Duration::from_micros(self.confirmed_us.load(Ordering::Acquire));
        now.saturating_duration_since(self.origin) < confirmed + limit
    }
}
