//! The pool of a service: its servers, the queue of requests that wait for a server, and its retry
//! and hedge budgets.

use crate::EntryContext;
use parking_lot::Mutex;
use policy::{
    AttemptOutcome, BalancerSettings, LatencyTracker, PickResult, PickedServer, ReleaseOutcome,
    RetryBudget, ServerReport, ServerStatus, ServiceBalancer, expected_wait,
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

/// Number of independently locked buckets in the pool table.
const BUCKET_COUNT: usize = 16;
/// Minimum time between two requests of a service that an entry forwards to warm up cold servers,
/// and between two that it sends to its own cold servers.
const WARM_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Number of answers after which a pool's 95th percentile of latency is used.
const MIN_LATENCY_SAMPLES: u64 = 100;
/// A dropped attempt counts as late for its server if it took longer than this multiple of the 95th
/// percentile of latency.
const LATE_FACTOR: u32 = 4;
/// A dropped attempt that took less time than this never counts as late.
const MIN_LATE_LIMIT: Duration = Duration::from_millis(50);
/// A request is refused at once if its expected wait exceeds its remaining time divided by this.
const EXPECTED_WAIT_DIVISOR: u32 = 4;
/// A request is refused after it has waited for its remaining time divided by this.
const WAIT_DIVISOR: u32 = 2;

/// The reason why no server was acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// This entry may not use any server; these owners have cold servers.
    NoneEligible(SmallVec<[EntryName; 2]>),
    /// The expected or actual wait was too long. Contains the expected wait or, after an actual
    /// wait, the mean latency.
    TooBusy(Duration),
}

/// The functions of the server catalog that pools use.
pub(crate) trait PoolCatalog: Send + Sync {
    /// Marks a cold server as warm.
    fn server_warmed(&self, server: &ServerName, incarnation: ServerIncarnation);
    /// Reports a server that is suspected to have failed, restarted or started to leave.
    fn server_suspected(&self, server: &PickedServer, kind: SuspectKind);
    /// Returns whether the copy of an owner's registry was confirmed recently enough to be used.
    fn is_confirmed(&self, owner: &EntryName) -> bool;
}

/// A queued request.
struct WaitingRequest {
    excluded: SmallVec<[ServerName; 2]>,
    prefers_cold: bool,
    sender: oneshot::Sender<ServerPermit>,
}

/// The mutable state of a pool.
struct PoolState {
    load: ServiceBalancer,
    waiting: VecDeque<WaitingRequest>,
    retries: RetryBudget,
    hedges: RetryBudget,
    latency: LatencyTracker,
    last_forwarded_warm_up: Option<Instant>,
    last_own_warm_up: Option<Instant>,
}

/// An entry's servers, queue and budgets for one service.
pub(crate) struct ServicePool {
    context: Arc<EntryContext>,
    catalog: Weak<dyn PoolCatalog>,
    state: Mutex<PoolState>,
    /// Admitted requests without an answer, including those that wait for a server.
    in_flight: AtomicUsize,
}

/// A permit to send one request to a server. It is released when it is finished or dropped.
pub(crate) struct ServerPermit {
    pool: Arc<ServicePool>,
    pub(crate) server: PickedServer,
    acquired: Instant,
    is_finished: bool,
}

impl ServerPermit {
    /// Releases the permit with the outcome of the attempt and the server's report.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome, report: &ServerReport) {
        self.is_finished = true;
        self.pool.clone().release(&self.server, outcome, report);
    }
}

impl Drop for ServerPermit {
    fn drop(&mut self) {
        if !self.is_finished {
            // A dropped attempt counts against its server only if it took longer than the late
            // limit.
            let is_late =
                self.pool.late_limit().is_some_and(|limit| self.acquired.elapsed() > limit);
            let outcome = if is_late { AttemptOutcome::Late } else { AttemptOutcome::Cancelled };
            self.pool.clone().release(&self.server, outcome, &ServerReport::default());
        }
    }
}

/// Counts a request as in flight until the guard is dropped.
pub(crate) struct InFlightGuard {
    pool: Arc<ServicePool>,
    total: Arc<AtomicUsize>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.pool.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.total.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServicePool {
    fn new(
        context: Arc<EntryContext>,
        catalog: Weak<dyn PoolCatalog>,
        settings: BalancerSettings,
    ) -> Self {
        let state = PoolState {
            load: ServiceBalancer::new(settings),
            waiting: VecDeque::new(),
            retries: RetryBudget::new(0),
            hedges: RetryBudget::new(0),
            latency: LatencyTracker::default(),
            last_forwarded_warm_up: None,
            last_own_warm_up: None,
        };
        Self { context, catalog, state: Mutex::new(state), in_flight: AtomicUsize::new(0) }
    }

    /// Counts one more request as in flight, in this pool and in `total`.
    pub(crate) fn track_in_flight(self: &Arc<Self>, total: &Arc<AtomicUsize>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        total.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { pool: self.clone(), total: total.clone() }
    }

    /// Returns the number of requests in flight, including those that wait for a server.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Applies the service's specification and counts a request towards the retry and hedge
    /// budgets.
    pub(crate) fn record_request(&self, spec: &ServiceSpec) {
        let mut state = self.state.lock();
        state.load.set_cold_concurrency(spec.cold_concurrency);
        state.retries.set_percent(spec.retry_percent);
        state.hedges.set_percent(spec.hedge_percent);
        state.retries.record_request();
        state.hedges.record_request();
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub(crate) fn take_retry(&self) -> bool {
        self.state.lock().retries.take()
    }

    /// Takes one hedge from the budget. Returns whether there was one.
    pub(crate) fn take_hedge(&self) -> bool {
        self.state.lock().hedges.take()
    }

    /// Returns the 95th percentile of latency, after which a request may be hedged, or `None` until
    /// enough answers have been received.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        let latency = self.state.lock().latency;
        (latency.samples() >= MIN_LATENCY_SAMPLES).then(|| latency.p95())
    }

    /// Returns the time after which an attempt without an answer counts as late, or `None` until
    /// enough answers have been received.
    fn late_limit(&self) -> Option<Duration> {
        let latency = self.state.lock().latency;
        let is_known = latency.samples() >= MIN_LATENCY_SAMPLES;
        is_known.then(|| (latency.p95() * LATE_FACTOR).max(MIN_LATE_LIMIT))
    }

    /// Updates the servers from the directory and assigns free capacity to waiting requests.
    pub(crate) fn update(self: &Arc<Self>, views: Vec<ServerStatus>, spec: Option<&ServiceSpec>) {
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

    /// Returns an owner to which the next request should be forwarded to warm up its cold servers,
    /// or `None` if no warm-up is due.
    pub(crate) fn take_warm_up_owner(&self) -> Option<EntryName> {
        let catalog = self.catalog.upgrade()?;
        let now = Instant::now();
        let mut state = self.state.lock();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < WARM_UP_INTERVAL;
        if state.last_forwarded_warm_up.is_some_and(is_recent) {
            return None;
        }
        let owners = state.load.cold_owners(|owner| catalog.is_confirmed(owner));
        let count = owners.len();
        if count == 0 {
            return None;
        }
        state.last_forwarded_warm_up = Some(now);
        drop(state);
        let chosen = self.context.with_rng(|rng| rand::Rng::random_range(rng, 0..count));
        owners.into_iter().nth(chosen)
    }

    /// Returns whether the next request should go to a cold server that this entry owns, and starts
    /// the next warm-up interval if so. Selection by latency alone would leave such servers cold
    /// when there are few requests.
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

    /// Returns whether a server has answered a request of this entry recently.
    pub(crate) fn has_answered_recently(&self, server: &ServerName, now: Instant) -> bool {
        self.state.lock().load.has_recent_answer(server, now)
    }

    /// Returns the owners of cold servers if this entry may not use any server, and `None`
    /// otherwise.
    pub(crate) fn owners_if_ineligible(&self) -> Option<SmallVec<[EntryName; 2]>> {
        let catalog = self.catalog.upgrade()?;
        let is_confirmed = |owner: &EntryName| catalog.is_confirmed(owner);
        let state = self.state.lock();
        if state.load.has_eligible(is_confirmed, Instant::now()) {
            return None;
        }
        Some(state.load.cold_owners(is_confirmed))
    }

    /// Waits for a server with free capacity, in first-in, first-out order. Prefers a cold server
    /// if `prefers_cold` is set.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        excluded: &[ServerName],
        prefers_cold: bool,
        deadline: Instant,
    ) -> Result<ServerPermit, AcquireError> {
        let wait_until;
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
            // A long wait leaves no time for the answer, and delays all later requests by as much.
            let left = deadline.saturating_duration_since(now);
            if wait > left / EXPECTED_WAIT_DIVISOR {
                return Err(AcquireError::TooBusy(wait));
            }
            wait_until = now + left / WAIT_DIVISOR;
            let (sender, receiver) = oneshot::channel();
            state.waiting.push_back(WaitingRequest {
                excluded: excluded.into(),
                prefers_cold,
                sender,
            });
            receiver
        };
        match timeout_at(wait_until.into(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(AcquireError::NoneEligible(SmallVec::new())),
            Err(_) => Err(AcquireError::TooBusy(self.state.lock().latency.mean())),
        }
    }

    /// Acquires a server without waiting, if one has free capacity and no request is queued.
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
        ServerPermit { pool: self.clone(), server, acquired: Instant::now(), is_finished: false }
    }

    fn pick(
        &self,
        state: &mut PoolState,
        excluded: &[ServerName],
        prefers_cold: bool,
    ) -> PickResult {
        let Some(catalog) = self.catalog.upgrade() else {
            return PickResult::NoneEligible { cold_owners: SmallVec::new() };
        };
        let is_confirmed = |owner: &EntryName| catalog.is_confirmed(owner);
        let now = Instant::now();
        self.context.with_rng(|rng| state.load.pick(excluded, prefers_cold, is_confirmed, now, rng))
    }

    /// Records the end of an attempt and assigns the free capacity to waiting requests.
    fn release(
        self: Arc<Self>,
        server: &PickedServer,
        outcome: AttemptOutcome,
        report: &ServerReport,
    ) {
        let release_outcome = {
            let mut state = self.state.lock();
            if let AttemptOutcome::Success(latency) = outcome {
                state.latency.record(latency);
            }
            state.load.release(server, outcome, report, Instant::now())
        };
        self.report_outcome(server, &release_outcome);
        self.serve_waiting();
    }

    /// Reports the conclusions from an attempt to the catalog and the event timeline.
    fn report_outcome(&self, server: &PickedServer, outcome: &ReleaseOutcome) {
        let Some(catalog) = self.catalog.upgrade() else {
            return;
        };
        if outcome.is_warm {
            catalog.server_warmed(&server.name, server.incarnation);
        }
        if outcome.is_slow {
            self.context.counters.servers.count("slow");
            let detail = "slow".to_owned();
            self.context.record_server(EventKind::ServerSuspected, &server.name, detail);
        }
        if let Some(kind) = outcome.suspicion {
            let detail = format!("{kind:?}");
            self.context.record_server(EventKind::ServerSuspected, &server.name, detail);
            catalog.server_suspected(server, kind);
        }
    }

    /// Assigns servers with free capacity to waiting requests in order. The permit of a request
    /// that has been cancelled goes to the next request.
    fn serve_waiting(self: &Arc<Self>) {
        loop {
            let (request, server) = {
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
                    // Dropping the sender makes `acquire` return `NoneEligible`.
                    PickResult::NoneEligible { .. } => continue,
                }
            };
            let permit = self.permit(server);
            if let Err(mut unused) = request.sender.send(permit) {
                unused.is_finished = true;
                let mut state = self.state.lock();
                let report = ServerReport::default();
                let now = Instant::now();
                state.load.release(&unused.server, AttemptOutcome::Cancelled, &report, now);
            }
        }
    }
}

/// The pools of all services, in independently locked buckets.
pub(crate) struct PoolTable {
    context: Arc<EntryContext>,
    catalog: Weak<dyn PoolCatalog>,
    settings: BalancerSettings,
    buckets: [Mutex<HashMap<ServiceName, Arc<ServicePool>>>; BUCKET_COUNT],
    /// Requests in flight over all pools.
    pub(crate) in_flight: Arc<AtomicUsize>,
}

impl PoolTable {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        catalog: Weak<dyn PoolCatalog>,
        settings: BalancerSettings,
    ) -> Self {
        let buckets = Default::default();
        Self { context, catalog, settings, buckets, in_flight: Arc::default() }
    }

    /// Returns the pool of a service, and creates it if there is none.
    pub(crate) fn pool(&self, service: &ServiceName) -> Arc<ServicePool> {
        let bucket = service.as_str().bytes().fold(0_usize, |sum, byte| sum + usize::from(byte));
        let mut pools = self.buckets[bucket % BUCKET_COUNT].lock();
        if let Some(pool) = pools.get(service) {
            return pool.clone();
        }
        let pool =
            ServicePool::new(self.context.clone(), self.catalog.clone(), self.settings.clone());
        let pool = Arc::new(pool);
        pools.insert(service.clone(), pool.clone());
        pool
    }

    /// Returns all services that have a pool.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        let names = |bucket: &Mutex<HashMap<ServiceName, _>>| -> Vec<ServiceName> {
            bucket.lock().keys().cloned().collect()
        };
        self.buckets.iter().flat_map(names).collect()
    }
}

/// The time at which the copy of an owner's registry was last confirmed to be current, by a
/// heartbeat or a pull. Until the first confirmation, this is the origin of the clock.
#[derive(Debug)]
pub(crate) struct ConfirmationClock {
    origin: Instant,
    /// Microseconds from `origin` to the last confirmation.
    confirmed_us: AtomicU64,
}

impl ConfirmationClock {
    pub(crate) fn new(origin: Instant) -> Self {
        Self { origin, confirmed_us: AtomicU64::new(0) }
    }

    /// Records a confirmation at time `at`, unless a later one is already recorded.
    pub(crate) fn confirm(&self, at: Instant) {
        let confirmed = at.saturating_duration_since(self.origin).as_micros() as u64;
        self.confirmed_us.fetch_max(confirmed, Ordering::AcqRel);
    }

    /// Returns whether less than `limit` has passed since the last confirmation.
    pub(crate) fn is_within(&self, limit: Duration, now: Instant) -> bool {
        let confirmed = Duration::from_micros(self.confirmed_us.load(Ordering::Acquire));
        now.saturating_duration_since(self.origin) < confirmed + limit
    }
}
