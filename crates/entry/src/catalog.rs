//! The catalog of backend servers. It receives announcements, exchanges heartbeats and registry
//! deltas with other entries, and updates the pools of all services.

use crate::{
    EntryContext,
    context::INITIAL_VERSION,
    owned_ranges::OwnedRanges,
    service_pool::{ConfirmationClock, PoolCatalog, PoolTable},
};
use async_trait::async_trait;
use parking_lot::{Mutex, RwLock};
use peer::{PeerAnswer, PeerLink, PeerRequest, PeerTarget};
use policy::{
    AnnounceOutcome, BalancerSettings, DirectoryServer, HEARTBEAT_TIMEOUT, PickedServer,
    ServerDirectory, ServerStatus,
};
use runtime::EventKind;
use server::{AnnounceAnswer, AnnounceHandler, AnnounceRefusal};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Weak},
    time::{Duration, Instant},
};
use types::{
    Announcement, ClusterView, EntryInfo, EntryName, HostName, OwnerHeartbeat, RegistryChange,
    RegistryDelta, RegistryRequest, ServerIncarnation, ServerName, ServerRecord, ServerStage,
    ServiceName, ShardOwnerId, SuspectKind, SuspectReport,
};

/// Period of heartbeats to other entries.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Period of announcements, which servers receive in [`AnnounceAnswer::period_ms`].
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);
/// Time allowed for a request to an owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two pulls of a long delta. It limits the traffic when many servers change.
const PULL_PAUSE: Duration = Duration::from_millis(50);
/// Request timeout assumed for a service without a specification.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of other entries in the answer to an announcement.
const MAX_OTHER_ENTRIES: usize = 3;

/// All backend servers that this entry knows.
pub(crate) struct ServerCatalog {
    context: Arc<EntryContext>,
    link: Arc<dyn PeerLink>,
    ranges: OwnedRanges,
    directory: Mutex<ServerDirectory>,
    clocks: RwLock<HashMap<EntryName, Arc<ConfirmationClock>>>,
    active_pulls: Mutex<BTreeSet<EntryName>>,
    /// Held while pools are updated, so that older data never overwrites newer data.
    refresh_lock: Mutex<()>,
    /// Pools of all services.
    pub(crate) pools: PoolTable,
    started: Instant,
    weak_self: Weak<Self>,
}

impl ServerCatalog {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        link: Arc<dyn PeerLink>,
        settings: BalancerSettings,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self: &Weak<Self>| {
            let pool_catalog: Weak<dyn PoolCatalog> = weak_self.clone();
            Self {
                ranges: OwnedRanges::new(context.clone()),
                directory: Mutex::default(),
                clocks: RwLock::default(),
                active_pulls: Mutex::default(),
                refresh_lock: Mutex::default(),
                pools: PoolTable::new(context.clone(), pool_catalog, settings),
                started: Instant::now(),
                context,
                link,
                weak_self: weak_self.clone(),
            }
        })
    }

    /// Removes expired servers and sends heartbeats periodically until the timer service ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.context.timer.subscribe(HEARTBEAT_PERIOD);
        while ticks.tick().await.is_some() {
            // While the view is not fresh, another entry may already own these ranges.
            if !self.context.is_open() {
                continue;
            }
            for server in self.ranges.expire() {
                let detail = "announcements ran out".to_owned();
                self.context.record_server(EventKind::ServerGone, &server, detail);
            }
            self.publish();
            self.refresh_pools(self.ranges.cold_services());
        }
    }

    /// Applies a new view to the owned ranges, the directory and the pools.
    pub(crate) fn view_changed(&self, view: &ClusterView) {
        let mut services: BTreeSet<ServiceName> = self.pools.services().into_iter().collect();
        {
            let mut directory = self.directory.lock();
            self.ranges.view_changed(view, &directory.all_records());
            services.extend(directory.retain_entries(view));
            services.extend(directory.services().cloned());
        }
        self.apply_own_registry();
        self.refresh_pools(services);
        self.send_heartbeats(view);
    }

    /// Handles a heartbeat of another entry. Starts a pull if the directory lacks changes of that
    /// entry's registry.
    pub(crate) fn handle_heartbeat(&self, host: &HostName, heartbeat: &OwnerHeartbeat) {
        if heartbeat.owner.entry.as_str() != host.as_str() {
            self.context.counters.servers.count("beat-refused");
            return;
        }
        let now = Instant::now();
        let request = self.directory.lock().observe_heartbeat(heartbeat, now);
        match request {
            None => self.clock(&heartbeat.owner.entry).confirm(now),
            Some(request) => self.start_pull(heartbeat.owner.clone(), request),
        }
    }

    /// Returns the changes of this entry's registry that another entry requests.
    pub(crate) fn registry_delta(&self, request: &RegistryRequest) -> RegistryDelta {
        self.ranges.delta(request)
    }

    /// Registers an announcement of a server that this entry owns, received directly or from
    /// another entry. Fails with the reason for a refusal.
    pub(crate) fn register_announcement(&self, announcement: &Announcement) -> Result<(), String> {
        let view = self.context.view();
        let lease = view.server_lease(&announcement.server);
        if lease.is_none_or(|lease| lease.owner != self.context.name()) {
            return Err("this entry is not the server's owner".to_owned());
        }
        if !self.context.is_open() {
            return Err("this entry cannot confirm its view".to_owned());
        }
        let last_record = self.directory.lock().last_record(&announcement.server).cloned();
        let outcome = self.ranges.announce(announcement, last_record.as_ref());
        match outcome {
            AnnounceOutcome::Started | AnnounceOutcome::Changed => {
                let detail = format!("{:?}", announcement.state);
                self.context.record_server(
                    EventKind::ServerAnnounced,
                    &announcement.server,
                    detail,
                );
                self.publish();
            }
            AnnounceOutcome::Renewed => {}
            AnnounceOutcome::Stale => self.context.counters.servers.count("announcement-stale"),
        }
        Ok(())
    }

    /// Applies a report of a suspected server and publishes the change.
    pub(crate) fn apply_suspicion(&self, report: &SuspectReport) {
        if self.ranges.suspect(report) {
            self.publish();
        }
    }

    /// Returns the warm servers in this entry's ranges.
    pub(crate) fn owned_warm_servers(&self) -> Vec<ServerRecord> {
        self.ranges.owned_warm_servers()
    }

    /// Returns whether a server has answered a request of this entry recently.
    pub(crate) fn has_answered_recently(&self, record: &ServerRecord, now: Instant) -> bool {
        let pool = self.pools.pool(&record.announcement.service);
        pool.has_answered_recently(&record.announcement.server, now)
    }

    /// Returns all servers that this entry knows, ordered by service and name.
    pub(crate) fn server_views(&self) -> Vec<ServerStatus> {
        let view = self.context.view();
        let directory = self.directory.lock();
        let services: Vec<ServiceName> = directory.services().cloned().collect();
        let found = services.iter().flat_map(|service| directory.servers(service, &view));
        found.map(|server| self.server_view(server, &view, DEFAULT_TIMEOUT)).collect()
    }

    /// Applies changes of this entry's registry to its own directory, and sends heartbeats with the
    /// registry's version to all other entries.
    fn publish(&self) {
        self.apply_own_registry();
        self.send_heartbeats(&self.context.view());
    }

    /// Sends a heartbeat to all other entries, unless the view is not fresh.
    fn send_heartbeats(&self, view: &ClusterView) {
        if !self.context.is_open() {
            return;
        }
        let (heartbeat, name) = (self.ranges.heartbeat(), self.context.name());
        for entry in view.entries().filter(|entry| entry.name != name) {
            if let Some(target) = peer_target(entry) {
                self.link.send(&target, PeerRequest::Beat(heartbeat.clone()));
            }
        }
    }

    /// Updates the directory from this entry's own registry.
    fn apply_own_registry(&self) {
        let now = Instant::now();
        let changed = {
            let mut directory = self.directory.lock();
            let mut changed = BTreeSet::new();
            while let Some(request) = directory.observe_heartbeat(&self.ranges.heartbeat(), now) {
                let delta = self.ranges.delta(&request);
                changed.extend(directory.apply(&delta, now));
            }
            changed
        };
        if self.context.is_open() {
            self.clock(&self.context.name()).confirm(now);
        }
        self.refresh_pools(changed);
    }

    /// Starts to pull an owner's registry, unless a pull from this owner is already running.
    fn start_pull(&self, owner: ShardOwnerId, request: RegistryRequest) {
        if !self.active_pulls.lock().insert(owner.entry.clone()) {
            return;
        }
        let Some(catalog) = self.weak_self.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            catalog.pull(&owner, request).await;
            catalog.active_pulls.lock().remove(&owner.entry);
        });
    }

    /// Pulls an owner's registry until the directory has all of its changes or a request fails.
    async fn pull(&self, owner: &ShardOwnerId, first: RegistryRequest) {
        let Some(target) = self.entry_target(&owner.entry) else {
            return;
        };
        let mut request = first;
        loop {
            let sent = Instant::now();
            let message = PeerRequest::Registry(request.clone());
            let answer = self.link.call(&target, message, OWNER_TIMEOUT).await;
            let Ok(PeerAnswer::Registry(delta)) = answer else {
                self.context.counters.servers.count("pull-failed");
                return;
            };
            let has_progress = delta.is_whole || delta.version > request.since;
            let incarnation = delta.owner.incarnation;
            let since = delta.version;
            let has_changes = !delta.changes.is_empty();
            let changed = self.directory.lock().apply(&delta, sent);
            self.clock(&owner.entry).confirm(sent);
            self.refresh_pools(changed);
            let records = delta.changes.iter().filter_map(|change| match change {
                RegistryChange::Put(record) => Some(record),
                RegistryChange::Remove(_) => None,
            });
            if self.ranges.adopt(records) {
                self.publish();
            }
            if !has_progress || !has_changes || since == INITIAL_VERSION {
                return;
            }
            request = RegistryRequest { incarnation, since };
            tokio::time::sleep(PULL_PAUSE).await;
        }
    }

    /// Updates the pools of services from the directory and the view.
    fn refresh_pools(&self, services: impl IntoIterator<Item = ServiceName>) {
        let _guard = self.refresh_lock.lock();
        let view = self.context.view();
        for service in services {
            let found = self.directory.lock().servers(&service, &view);
            let spec = view.service(&service);
            let timeout = spec
                .map_or(DEFAULT_TIMEOUT, |spec| Duration::from_millis(u64::from(spec.timeout_ms)));
            let views =
                found.into_iter().map(|server| self.server_view(server, &view, timeout)).collect();
            self.pools.pool(&service).update(views, spec);
        }
    }

    /// Returns a server with the state that the pools need.
    fn server_view(
        &self,
        server: DirectoryServer,
        view: &ClusterView,
        timeout: Duration,
    ) -> ServerStatus {
        let DirectoryServer { record, owner } = server;
        let is_own = owner == self.context.name();
        let may_warm = is_own
            && record.stage == ServerStage::Cold
            && self.ranges.may_warm(&record.announcement.server, timeout);
        let is_drained = view.is_drained(&record.announcement.domain);
        ServerStatus { record, owner, may_warm, is_drained }
    }

    /// Returns the clock of an owner's confirmations, and creates it if there is none.
    fn clock(&self, owner: &EntryName) -> Arc<ConfirmationClock> {
        if let Some(clock) = self.clocks.read().get(owner) {
            return clock.clone();
        }
        let mut clocks = self.clocks.write();
        let clock = clocks
            .entry(owner.clone())
            .or_insert_with(|| Arc::new(ConfirmationClock::new(self.started)));
        clock.clone()
    }

    /// Returns the peer address of an entry, or `None` if the view does not have the entry.
    pub(crate) fn entry_target(&self, name: &EntryName) -> Option<PeerTarget> {
        peer_target(self.context.view().entry(name)?)
    }

    /// Returns the answer to an accepted announcement, or `None` if the owner is not in the view.
    fn announce_answer(&self, owner: &EntryName) -> Option<AnnounceAnswer> {
        let view = self.context.view();
        let others = view
            .entries()
            .filter(|entry| entry.name != *owner && entry.serving)
            .map(|entry| entry.server_address)
            .take(MAX_OTHER_ENTRIES)
            .collect();
        Some(AnnounceAnswer {
            owner: view.entry(owner)?.server_address,
            others,
            period_ms: ANNOUNCE_PERIOD.as_millis() as u64,
        })
    }
}

#[async_trait]
impl AnnounceHandler for ServerCatalog {
    async fn announce(
        &self,
        announcement: Announcement,
    ) -> Result<AnnounceAnswer, AnnounceRefusal> {
        let unavailable = |reason: &str| AnnounceRefusal::Unavailable(reason.to_owned());
        let lease = self.context.view().server_lease(&announcement.server).cloned();
        let owner = lease.ok_or_else(|| unavailable("no owner yet"))?.owner;
        if owner == self.context.name() {
            self.register_announcement(&announcement).map_err(|reason| unavailable(&reason))?;
        } else {
            let target = self.entry_target(&owner);
            let target = target.ok_or_else(|| unavailable("the owner is unknown"))?;
            let request = PeerRequest::Announce(announcement);
            match self.link.call(&target, request, OWNER_TIMEOUT).await {
                Ok(PeerAnswer::Done) => {}
                Ok(PeerAnswer::Refused(reason)) => return Err(unavailable(&reason)),
                Ok(_) | Err(_) => return Err(unavailable("the owner does not answer")),
            }
        }
        self.announce_answer(&owner).ok_or_else(|| unavailable("the owner is unknown"))
    }
}

impl PoolCatalog for ServerCatalog {
    fn server_warmed(&self, server: &ServerName, incarnation: ServerIncarnation) {
        if self.ranges.mark_warm(server, incarnation) {
            self.context.record_server(EventKind::ServerWarm, server, String::new());
            self.publish();
        }
    }

    fn server_suspected(&self, server: &PickedServer, kind: SuspectKind) {
        self.context.counters.servers.count("suspected");
        let report =
            SuspectReport { server: server.name.clone(), incarnation: server.incarnation, kind };
        if server.owner == self.context.name() {
            self.apply_suspicion(&report);
        } else if let Some(target) = self.entry_target(&server.owner) {
            self.link.send(&target, PeerRequest::Suspect(report));
        }
    }

    fn is_confirmed(&self, owner: &EntryName) -> bool {
        let clocks = self.clocks.read();
        clocks.get(owner).is_some_and(|clock| clock.is_within(HEARTBEAT_TIMEOUT, Instant::now()))
    }
}

/// Returns the peer address of an entry, or `None` if its name is not a valid host name.
fn peer_target(entry: &EntryInfo) -> Option<PeerTarget> {
    let host = entry.name.as_str().parse().ok()?;
    Some(PeerTarget { host, address: entry.peer_address })
}
