//! What this entry knows of each backend server: idle connections, recent failures, cold share.

use crate::line::ServerLine;
use parking_lot::{Mutex, RwLock};
use policy::{ColdAllowance, rendezvous_weight};
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
    ServiceName,
};

/// Idle connections kept for one server.
const MAX_IDLE_LINES: usize = 4;
/// First pause after a server did not answer a probe; doubles at each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a server did not answer a probe.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// Time for which a server that is full is asked after others; a slot is held for longer.
const FULL_MEMORY: Duration = Duration::from_millis(40);
/// Weight of the latest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.4;
/// Time in which a remembered failure loses half of its weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

#[derive(Default)]
struct ServerNotes {
    idle: SmallVec<[ServerLine; 2]>,
    pause_until: Option<Instant>,
    missed_probes: u32,
    full_at: Option<Instant>,
    cold_until: Option<Instant>,
    failure_share: f64,
    failure_noted: Option<Instant>,
    cold: ColdAllowance,
}

/// One start of a backend server.
pub(crate) struct BackendServer {
    pub(crate) name: ServerName,
    pub(crate) domain: DomainName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    incarnation: ServerIncarnation,
    notes: Mutex<ServerNotes>,
}

impl BackendServer {
    fn new(announcement: &Announcement) -> Self {
        Self {
            name: announcement.server.clone(),
            domain: announcement.domain.clone(),
            address: announcement.address,
            slots: announcement.slots.into(),
            incarnation: announcement.incarnation,
            notes: Mutex::default(),
        }
    }

    /// Takes the idle connection that was used last.
    pub(crate) fn take_line(&self, now: Instant) -> Option<ServerLine> {
        let mut notes = self.notes.lock();
        notes.idle.retain(|line| line.is_usable(now));
        notes.idle.pop()
    }

    /// Gives a connection back that is ready for another request.
    pub(crate) fn put_line(&self, line: ServerLine) {
        let mut notes = self.notes.lock();
        if notes.idle.len() >= MAX_IDLE_LINES {
            notes.idle.remove(0);
        }
        notes.idle.push(line);
    }

    /// Says whether the server did not answer lately and is left alone for a while.
    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.notes.lock().pause_until.is_some_and(|until| now < until)
    }

    /// Notes whether the server answered a probe.
    pub(crate) fn note_probe(&self, now: Instant, has_answered: bool) {
        let mut notes = self.notes.lock();
        if has_answered {
            (notes.pause_until, notes.missed_probes) = (None, 0);
            return;
        }
        let pause = (FIRST_PAUSE * 2_u32.pow(notes.missed_probes.min(6))).min(MAX_PAUSE);
        notes.missed_probes += 1;
        notes.pause_until = Some(now + pause);
    }

    /// Notes whether the server reported that it is full.
    pub(crate) fn note_load(&self, now: Instant, is_full: bool) {
        self.notes.lock().full_at = is_full.then_some(now);
    }

    /// Says whether the server reported a moment ago that it is full.
    pub(crate) fn is_lately_full(&self, now: Instant) -> bool {
        let full_at = self.notes.lock().full_at;
        full_at.is_some_and(|full_at| now.saturating_duration_since(full_at) < FULL_MEMORY)
    }

    /// Notes whether the server handled a request.
    pub(crate) fn note_outcome(&self, now: Instant, has_failed: bool) {
        let mut notes = self.notes.lock();
        let former = notes.failure_share_at(now);
        let latest = if has_failed { 1.0 } else { 0.0 };
        notes.failure_share = former + OUTCOME_WEIGHT * (latest - former);
        notes.failure_noted = Some(now);
    }

    /// Returns the share of recent requests that failed, 0 to 1.
    pub(crate) fn failure_share(&self, now: Instant) -> f64 {
        self.notes.lock().failure_share_at(now)
    }

    /// Notes how much longer the server is cold.
    pub(crate) fn note_warm_up(&self, now: Instant, left: Duration) {
        self.notes.lock().cold_until = (!left.is_zero()).then(|| now + left);
    }

    /// Says whether the server is still cold by its own last account.
    pub(crate) fn is_known_cold(&self, now: Instant) -> bool {
        self.notes.lock().cold_until.is_some_and(|until| now < until)
    }

    /// Says whether this entry's share of the cold server's rate has room.
    pub(crate) fn has_cold_room(&self, now: Instant) -> bool {
        self.notes.lock().cold.has_capacity(now)
    }

    /// Takes one request from this entry's share of the cold server's rate.
    pub(crate) fn take_cold(&self, now: Instant, rate_milli: u32) -> bool {
        self.notes.lock().cold.take(now, rate_milli)
    }
}

impl ServerNotes {
    fn failure_share_at(&self, now: Instant) -> f64 {
        let Some(noted) = self.failure_noted else {
            return 0.0;
        };
        let age = now.saturating_duration_since(noted);
        let halves = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(halves)
    }
}

/// The servers of each service that may get new work.
pub(crate) type ServerList = Arc<[Arc<BackendServer>]>;

/// All servers that may get new work, by service; in each list those first that this entry prefers,
/// so that it keeps connections to few of many servers.
pub(crate) struct ServerTable {
    entry: EntryName,
    services: RwLock<HashMap<ServiceName, ServerList>>,
}

impl ServerTable {
    /// Returns an empty table of an entry.
    pub(crate) fn new(entry: EntryName) -> Self {
        Self { entry, services: RwLock::default() }
    }

    /// Returns the servers of a service that may get new work.
    pub(crate) fn servers(&self, service: &ServiceName) -> ServerList {
        self.services.read().get(service).cloned().unwrap_or_default()
    }

    /// Says whether a server may still get new work.
    pub(crate) fn is_listed(&self, service: &ServiceName, server: &BackendServer) -> bool {
        let services = self.services.read();
        let list = services.get(service);
        list.is_some_and(|list| list.iter().any(|listed| listed.is_same_start(server)))
    }

    /// Takes over the servers of a new view. What is known of those that stay is kept.
    pub(crate) fn install(&self, view: &ClusterView) {
        let mut former: HashMap<ServerName, Arc<BackendServer>> = HashMap::new();
        for list in self.services.read().values() {
            former.extend(list.iter().map(|server| (server.name.clone(), server.clone())));
        }
        let mut services: HashMap<ServiceName, Vec<Arc<BackendServer>>> = HashMap::new();
        let may_work = |server: &&Arc<Announcement>| {
            server.state == ServerState::Ready && !view.is_drained(&server.domain)
        };
        for announcement in view.servers().filter(may_work) {
            let fresh = BackendServer::new(announcement);
            let kept = former.get(&fresh.name).filter(|known| known.is_same_start(&fresh)).cloned();
            let server = kept.unwrap_or_else(|| Arc::new(fresh));
            services.entry(announcement.service.clone()).or_default().push(server);
        }
        let services = services.into_iter().map(|(service, mut list)| {
            list.sort_by_cached_key(|server| Reverse(rendezvous_weight(&self.entry, &server.name)));
            (service, list.into())
        });
        *self.services.write() = services.collect();
    }
}

impl BackendServer {
    fn is_same_start(&self, other: &Self) -> bool {
        self.name == other.name
            && self.incarnation == other.incarnation
            && self.address == other.address
    }
}
