//! The state that an entry keeps for each backend server: idle connections, probe backoff, recent
//! failures, and its share of a cold server's rate.

use crate::server_connection::{ConnectionOwner, ServerConnection};
use parking_lot::{Mutex, RwLock};
use policy::{
    ColdAllowance, EntryPlace, HoldEnd, RequestLimit, ServerHold, ServerReach, ServerSignals,
    SignalSource, rendezvous_weight,
};
use rand::seq::IteratorRandom;
use runtime::Logger;
use slog::info;
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{
    Announcement, ClusterView, DomainName, EntryName, ServerIncarnation, ServerName, ServerState,
    ServiceName, ViewVersion,
};

/// Maximum number of idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Backoff after the first failed probe of a server; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Maximum backoff after a failed probe.
const MAX_BACKOFF: Duration = Duration::from_millis(2_500);
/// Maximum number of times that the backoff doubles, so that it cannot overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Time for which a server is probed after others once it has reported that it is full. Requests
/// hold a slot for longer than this, so that the server is probably still full.
const FULL_REPORT_TTL: Duration = Duration::from_millis(40);
/// Weight of the latest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.4;
/// Maximum number of unlisted servers whose holds are kept. Above it, all are discarded.
const MAX_HELD_SERVERS: usize = 8_192;
/// Minimum time between two log lines about the stated limit of one server.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Half-life of the failure share while no outcomes are recorded.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Mutable state of a backend server.
#[derive(Default)]
struct TrackedState {
    idle: SmallVec<[ServerConnection; 2]>,
    backoff_until: Option<Instant>,
    failed_probes: u32,
    full_at: Option<Instant>,
    cold_until: Option<Instant>,
    failure_share: f64,
    failure_updated: Option<Instant>,
    cold_allowance: ColdAllowance,
    hold: ServerHold,
    limit: RequestLimit,
    /// This entry's place among the entries that share the server, by a version of the view.
    entry_place: Option<(ViewVersion, EntryPlace)>,
    logged_limit: LoggedLimit,
}

/// The last limit on requests that was logged.
#[derive(Default)]
struct LoggedLimit {
    limit_milli: Option<u32>,
    logged_at: Option<Instant>,
}

/// One incarnation of a backend server.
pub(crate) struct BackendServer {
    pub(crate) name: ServerName,
    pub(crate) domain: DomainName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) incarnation: ServerIncarnation,
    logger: Logger,
    state: Mutex<TrackedState>,
}

impl BackendServer {
    fn new(announcement: &Announcement, logger: Logger) -> Self {
        Self {
            name: announcement.server.clone(),
            domain: announcement.domain.clone(),
            address: announcement.address,
            slots: announcement.slots.into(),
            incarnation: announcement.incarnation,
            logger,
            state: Mutex::default(),
        }
    }

    /// Takes the most recently used idle connection. Connections that are no longer usable are
    /// closed.
    pub(crate) fn take_connection(&self, now: Instant) -> Option<ServerConnection> {
        let mut state = self.state.lock();
        state.idle.retain(|connection| connection.is_usable(now));
        state.idle.pop()
    }

    /// Returns whether the server is in backoff after failed probes.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.state.lock().backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the server answered its last probe. One that has not been probed counts too.
    pub(crate) fn is_reachable(&self) -> bool {
        self.state.lock().failed_probes == 0
    }

    /// Records whether the server responded to a probe.
    pub(crate) fn record_probe(&self, now: Instant, has_answered: bool) {
        let mut state = self.state.lock();
        if has_answered {
            (state.backoff_until, state.failed_probes) = (None, 0);
            return;
        }
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(state.failed_probes.min(MAX_BACKOFF_DOUBLINGS)))
            .min(MAX_BACKOFF);
        state.failed_probes += 1;
        state.backoff_until = Some(now + backoff);
    }

    /// Records what an answer of the server says about further requests. If it forbids them, closes
    /// the idle connections.
    pub(crate) fn record_signals(
        &self,
        now: Instant,
        source: SignalSource,
        signals: ServerSignals,
    ) {
        let mut state = self.state.lock();
        state.limit.record(now, source, signals.limit_milli);
        let limit_milli = state.limit.milli();
        self.log_limit(&mut state.logged_limit, now, source, limit_milli);
        state.hold.record(now, signals);
        if state.hold.end_after(now).is_some() {
            state.idle.clear();
        }
    }

    /// Logs a limit that differs from the last one logged, at most once per [`LIMIT_LOG_INTERVAL`].
    fn log_limit(
        &self,
        logged: &mut LoggedLimit,
        now: Instant,
        source: SignalSource,
        limit_milli: Option<u32>,
    ) {
        let is_due = logged
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LIMIT_LOG_INTERVAL);
        if limit_milli != logged.limit_milli && is_due {
            info!(self.logger, "server limit"; "server" => %self.name, "source" => source.name(),
                "limit_milli" => limit_milli, "before_milli" => logged.limit_milli);
            *logged = LoggedLimit { limit_milli, logged_at: Some(now) };
        }
    }

    /// Returns until when the server wants no requests and no probes from this entry, or `None` if
    /// it accepts them.
    pub(crate) fn held_until(&self, now: Instant) -> Option<HoldEnd> {
        self.state.lock().hold.end_after(now)
    }

    /// Returns whether the server limits the requests of all entries.
    pub(crate) fn is_limited(&self) -> bool {
        self.state.lock().limit.milli().is_some()
    }

    /// Returns whether the server limits requests and has not been asked lately whether it still
    /// does.
    pub(crate) fn has_outdated_limit(&self, now: Instant) -> bool {
        self.state.lock().limit.is_outdated(now)
    }

    /// Returns this entry's place among the entries that share the server. Calls `compute` only
    /// once for each version of the view, since it hashes the names of all entries.
    pub(crate) fn entry_place(
        &self,
        version: ViewVersion,
        compute: impl FnOnce() -> EntryPlace,
    ) -> EntryPlace {
        let mut state = self.state.lock();
        match state.entry_place {
            Some((known_version, place)) if known_version == version => place,
            _ => {
                let place = compute();
                state.entry_place = Some((version, place));
                place
            }
        }
    }

    /// Returns how long the server's limit keeps this entry from sending a request, or `None` if it
    /// does so for good.
    pub(crate) fn limit_wait(&self, now: Instant, place: EntryPlace) -> Option<Duration> {
        self.state.lock().limit.wait(now, place)
    }

    /// Takes one request from this entry's share of the server's limit. Returns whether the share
    /// permits it.
    pub(crate) fn take_limited_request(&self, now: Instant, place: EntryPlace) -> bool {
        self.state.lock().limit.take(now, place)
    }

    /// Records whether the server reported that it is full.
    pub(crate) fn record_load(&self, now: Instant, is_full: bool) {
        self.state.lock().full_at = is_full.then_some(now);
    }

    /// Returns whether the server reported within [`FULL_REPORT_TTL`] that it is full.
    pub(crate) fn is_recently_full(&self, now: Instant) -> bool {
        let full_at = self.state.lock().full_at;
        full_at.is_some_and(|full_at| now.saturating_duration_since(full_at) < FULL_REPORT_TTL)
    }

    /// Records the outcome of a request at the server.
    pub(crate) fn record_outcome(&self, now: Instant, has_failed: bool) {
        let mut state = self.state.lock();
        let previous = state.failure_share_at(now);
        let latest = if has_failed { 1.0 } else { 0.0 };
        state.failure_share = previous + OUTCOME_WEIGHT * (latest - previous);
        state.failure_updated = Some(now);
    }

    /// Returns the moving average of failed requests, from 0 to 1.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        self.state.lock().failure_share_at(now)
    }

    /// Records the time left until the server is warm.
    pub(crate) fn record_warm_up(&self, now: Instant, left: Duration) {
        self.state.lock().cold_until = (!left.is_zero()).then(|| now + left);
    }

    /// Returns whether the server is still cold according to its last report.
    pub(crate) fn is_known_cold(&self, now: Instant) -> bool {
        self.state.lock().cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether this entry's share of the cold server's rate permits a request now.
    pub(crate) fn has_cold_capacity(&self, now: Instant) -> bool {
        self.state.lock().cold_allowance.has_capacity(now)
    }

    /// Takes one request from this entry's share of the cold server's rate, in requests per 1000 s.
    /// Returns whether the share permits it.
    pub(crate) fn take_cold_request(&self, now: Instant, rate_milli: u32) -> bool {
        self.state.lock().cold_allowance.take(now, rate_milli)
    }
}

impl TrackedState {
    fn failure_share_at(&self, now: Instant) -> f64 {
        let Some(updated) = self.failure_updated else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }
}

impl ConnectionOwner for BackendServer {
    /// Puts a connection into the pool of idle connections. A full pool closes its least recently
    /// used connection.
    fn put_connection(&self, connection: ServerConnection) {
        let mut state = self.state.lock();
        if state.hold.end_after(Instant::now()).is_some() {
            return;
        }
        if state.idle.len() >= MAX_IDLE_CONNECTIONS {
            state.idle.remove(0);
        }
        state.idle.push(connection);
    }

    fn record_broken_answer(&self, now: Instant) {
        self.record_outcome(now, true);
    }

    fn name(&self) -> &str {
        self.name.as_str()
    }
}

/// The servers of one service that may receive new requests.
pub(crate) type ServerList = Arc<[Arc<BackendServer>]>;

/// All servers that may receive new requests, by service. Each list starts with the servers that
/// this entry prefers by rendezvous hashing, so that it keeps connections to only some of many
/// servers.
pub(crate) struct ServerTable {
    entry: EntryName,
    logger: Logger,
    services: RwLock<HashMap<ServiceName, ServerList>>,
    /// Servers that are not listed at present, but want no requests, or few, if they are listed
    /// again with the same incarnation.
    held: Mutex<HashMap<ServerName, Arc<BackendServer>>>,
}

impl ServerTable {
    /// Returns an empty table for an entry.
    pub(crate) fn new(entry: EntryName, logger: Logger) -> Self {
        Self { entry, logger, services: RwLock::default(), held: Mutex::default() }
    }

    /// Returns the servers of a service that may receive new requests.
    pub(crate) fn servers(&self, service: &ServiceName) -> ServerList {
        self.services.read().get(service).cloned().unwrap_or_default()
    }

    /// Returns how many servers of a service this entry has a path to.
    pub(crate) fn reach(&self, service: &ServiceName) -> ServerReach {
        let servers = self.servers(service);
        let reachable = servers.iter().filter(|server| server.is_reachable()).count();
        ServerReach { reachable, listed: servers.len() }
    }

    /// Returns a server that may receive new requests, with its service.
    pub(crate) fn find(
        &self,
        name: &ServerName,
        incarnation: ServerIncarnation,
    ) -> Option<(ServiceName, Arc<BackendServer>)> {
        let services = self.services.read();
        services.iter().find_map(|(service, list)| {
            let server = list.iter().find(|s| s.name == *name && s.incarnation == incarnation)?;
            Some((service.clone(), server.clone()))
        })
    }

    /// Returns up to `count` random servers other than `except`, of any service.
    pub(crate) fn sample(&self, count: usize, except: &ServerName) -> Vec<Arc<BackendServer>> {
        let services = self.services.read();
        let listed = services.values().flat_map(|list| list.iter());
        let others = listed.filter(|server| server.name != *except);
        others.choose_multiple(&mut rand::rng(), count).into_iter().cloned().collect()
    }

    /// Returns whether a server may still receive new requests.
    pub(crate) fn is_listed(&self, service: &ServiceName, server: &BackendServer) -> bool {
        let services = self.services.read();
        let list = services.get(service);
        list.is_some_and(|list| list.iter().any(|listed| listed.is_same_instance(server)))
    }

    /// Installs the servers of a new view. Servers whose incarnation and address are unchanged keep
    /// their state. A server that is leaving, sheds load or limits requests keeps that state also
    /// while the view does not list it.
    pub(crate) fn install(&self, view: &ClusterView) {
        let now = Instant::now();
        let mut previous = std::mem::take(&mut *self.held.lock());
        for list in self.services.read().values() {
            previous.extend(list.iter().map(|server| (server.name.clone(), server.clone())));
        }
        let mut services: HashMap<ServiceName, Vec<Arc<BackendServer>>> = HashMap::new();
        let is_eligible = |server: &&Arc<Announcement>| {
            server.state == ServerState::Ready && !view.is_drained(&server.domain)
        };
        for announcement in view.servers().filter(is_eligible) {
            let announced = BackendServer::new(announcement, self.logger.clone());
            let kept = previous
                .get(&announced.name)
                .filter(|previous_server| previous_server.is_same_instance(&announced))
                .cloned();
            let server = kept.unwrap_or_else(|| Arc::new(announced));
            services.entry(announcement.service.clone()).or_default().push(server);
        }
        let services = services.into_iter().map(|(service, mut list)| {
            list.sort_by_cached_key(|server| Reverse(rendezvous_weight(&self.entry, &server.name)));
            (service, list.into())
        });
        let services: HashMap<ServiceName, ServerList> = services.collect();
        for server in services.values().flat_map(|list| list.iter()) {
            previous.remove(&server.name);
        }
        previous.retain(|_, server| server.held_until(now).is_some() || server.is_limited());
        if previous.len() > MAX_HELD_SERVERS {
            previous.clear();
        }
        *self.held.lock() = previous;
        *self.services.write() = services;
    }
}

impl BackendServer {
    fn is_same_instance(&self, other: &Self) -> bool {
        self.name == other.name
            && self.incarnation == other.incarnation
            && self.address == other.address
    }
}
