//! Which servers there are: announcements in, beats and registry deltas between entries, pools out.

use crate::{
    EntryContext,
    context::NO_VERSION,
    owned_shards::OwnedShards,
    service_pool::{BeatClock, PoolTable, ServerObserver},
};
use async_trait::async_trait;
use parking_lot::{Mutex, RwLock};
use peer::{PeerAnswer, PeerLink, PeerRequest, PeerTarget};
use policy::{
    AnnounceOutcome, DirectoryServer, HEARTBEAT_TIMEOUT, LoadSettings, PickedServer,
    ServerDirectory, ServerView,
};
use runtime::EventKind;
use server::{AnnounceAnswer, AnnounceHandler, AnnounceRefusal};
use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Weak},
    time::{Duration, Instant},
};
use types::{
    Announcement, ClusterView, EntryInfo, EntryName, HostName, OwnerBeat, RegistryChange,
    RegistryDelta, RegistryRequest, ServerIncarnation, ServerName, ServerRecord, ServerStage,
    ServiceName, ShardOwnerId, SuspectKind, SuspectReport,
};

/// Period of beats.
const BEAT_PERIOD: Duration = Duration::from_millis(500);
/// Period in which servers announce themselves.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3);
/// Time allowed for a message to a shard owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two pulls of a long delta, which bounds the traffic of mass changes.
const PULL_PAUSE: Duration = Duration::from_millis(50);
/// Time assumed for requests of a service that has no specification.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Other entries named in the answer to an announcement.
const OTHER_ENTRIES: usize = 3;

/// The servers as this entry knows them.
pub(crate) struct ServerCatalog {
    context: Arc<EntryContext>,
    link: Arc<dyn PeerLink>,
    desk: OwnedShards,
    directory: Mutex<ServerDirectory>,
    clocks: RwLock<HashMap<EntryName, Arc<BeatClock>>>,
    pulling: Mutex<BTreeSet<EntryName>>,
    /// Held while a pool is brought up to date, so that an older account never follows a newer.
    refreshing: Mutex<()>,
    /// Pools of all services.
    pub(crate) pools: PoolTable,
    started: Instant,
    this: Weak<Self>,
}

impl ServerCatalog {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        link: Arc<dyn PeerLink>,
        settings: LoadSettings,
    ) -> Arc<Self> {
        Arc::new_cyclic(|this: &Weak<Self>| {
            let observer: Weak<dyn ServerObserver> = this.clone();
            Self {
                desk: OwnedShards::new(context.clone()),
                directory: Mutex::default(),
                clocks: RwLock::default(),
                pulling: Mutex::default(),
                refreshing: Mutex::default(),
                pools: PoolTable::new(context.clone(), observer, settings),
                started: Instant::now(),
                context,
                link,
                this: this.clone(),
            }
        })
    }

    /// Sends beats until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.context.timer.subscribe(BEAT_PERIOD);
        while ticks.tick().await.is_some() {
            // A shard owner whose view is not fresh may have been replaced.
            if !self.context.is_open() {
                continue;
            }
            for server in self.desk.expire() {
                let detail = "announcements ran out".to_owned();
                self.context.record_server(EventKind::ServerGone, &server, detail);
            }
            self.publish();
            self.refresh(self.desk.cold_services());
        }
    }

    /// Takes a new view over.
    pub(crate) fn view_changed(&self, view: &ClusterView) {
        let mut services: BTreeSet<ServiceName> = self.pools.services().into_iter().collect();
        {
            let mut directory = self.directory.lock();
            self.desk.view_changed(view, &directory.all_records());
            services.extend(directory.retain_entries(view));
            services.extend(directory.services().cloned());
        }
        self.pull_own();
        self.refresh(services);
        self.send_beats(view);
    }

    /// Takes a beat in.
    pub(crate) fn observe_beat(&self, host: &HostName, beat: &OwnerBeat) {
        if beat.owner.entry.as_str() != host.as_str() {
            self.context.counters.servers.count("beat-refused");
            return;
        }
        let now = Instant::now();
        let request = self.directory.lock().observe_beat(beat, now);
        match request {
            None => self.clock(&beat.owner.entry).confirm(now),
            Some(request) => self.start_pull(beat.owner.clone(), request),
        }
    }

    /// Returns what another entry lacks of this entry's registry.
    pub(crate) fn delta(&self, request: &RegistryRequest) -> RegistryDelta {
        self.desk.delta(request)
    }

    /// Takes an announcement in that another entry passed on.
    pub(crate) fn announce_here(&self, announcement: &Announcement) -> Result<(), String> {
        let view = self.context.view();
        let lease = view.server_lease(&announcement.server);
        if lease.is_none_or(|lease| lease.owner != self.context.name()) {
            return Err("this entry is not the server's owner".to_owned());
        }
        if !self.context.is_open() {
            return Err("this entry cannot confirm its view".to_owned());
        }
        let known = self.directory.lock().last_record(&announcement.server).cloned();
        let outcome = self.desk.announce(announcement, known.as_ref());
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

    /// Takes a suspicion of another entry in.
    pub(crate) fn take_suspicion(&self, report: &SuspectReport) {
        if self.desk.suspect(report) {
            self.publish();
        }
    }

    /// Returns the warm servers in this entry's ranges.
    pub(crate) fn own_warm_servers(&self) -> Vec<ServerRecord> {
        self.desk.own_warm_servers()
    }

    /// Says whether a server has answered a request of this entry lately.
    pub(crate) fn has_answered_lately(&self, record: &ServerRecord, now: Instant) -> bool {
        let pool = self.pools.pool(&record.announcement.service);
        pool.has_answered_lately(&record.announcement.server, now)
    }

    /// Returns all servers as this entry knows them, ordered by name.
    pub(crate) fn server_views(&self) -> Vec<ServerView> {
        let view = self.context.view();
        let directory = self.directory.lock();
        let services: Vec<ServiceName> = directory.services().cloned().collect();
        let found = services.iter().flat_map(|service| directory.servers(service, &view));
        found.map(|server| self.server_view(server, &view, DEFAULT_TIMEOUT)).collect()
    }

    /// Makes a change of this entry's registry known, here and to all others.
    fn publish(&self) {
        self.pull_own();
        self.send_beats(&self.context.view());
    }

    fn send_beats(&self, view: &ClusterView) {
        if !self.context.is_open() {
            return;
        }
        let (beat, name) = (self.desk.beat(), self.context.name());
        for entry in view.entries().filter(|entry| entry.name != name) {
            if let Some(target) = peer_target(entry) {
                self.link.send(&target, PeerRequest::Beat(beat.clone()));
            }
        }
    }

    /// Brings the directory up to date with this entry's own registry.
    fn pull_own(&self) {
        let now = Instant::now();
        let changed = {
            let mut directory = self.directory.lock();
            let mut changed = BTreeSet::new();
            while let Some(request) = directory.observe_beat(&self.desk.beat(), now) {
                let delta = self.desk.delta(&request);
                changed.extend(directory.apply(&delta, now));
            }
            changed
        };
        if self.context.is_open() {
            self.clock(&self.context.name()).confirm(now);
        }
        self.refresh(changed);
    }

    fn start_pull(&self, owner: ShardOwnerId, request: RegistryRequest) {
        if !self.pulling.lock().insert(owner.entry.clone()) {
            return;
        }
        let Some(catalog) = self.this.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            catalog.pull(&owner, request).await;
            catalog.pulling.lock().remove(&owner.entry);
        });
    }

    /// Pulls a shard owner's registry until nothing is left of it.
    async fn pull(&self, owner: &ShardOwnerId, first: RegistryRequest) {
        let Some(target) = self.entry_target(&owner.entry) else {
            return;
        };
        let mut request = first;
        loop {
            let asked = Instant::now();
            let message = PeerRequest::Registry(request.clone());
            let answer = self.link.call(&target, message, OWNER_TIMEOUT).await;
            let Ok(PeerAnswer::Registry(delta)) = answer else {
                self.context.counters.servers.count("pull-failed");
                return;
            };
            let is_progress = delta.is_whole || delta.version > request.since;
            let incarnation = delta.owner.incarnation;
            let since = delta.version;
            let is_full = !delta.changes.is_empty();
            let changed = self.directory.lock().apply(&delta, asked);
            self.clock(&owner.entry).confirm(asked);
            self.refresh(changed);
            let told = delta.changes.iter().filter_map(|change| match change {
                RegistryChange::Put(record) => Some(record),
                RegistryChange::Remove(_) => None,
            });
            if self.desk.adopt(told) {
                self.publish();
            }
            if !is_progress || !is_full || since == NO_VERSION {
                return;
            }
            request = RegistryRequest { incarnation, since };
            tokio::time::sleep(PULL_PAUSE).await;
        }
    }

    /// Brings the pools of services up to date.
    fn refresh(&self, services: impl IntoIterator<Item = ServiceName>) {
        let _guard = self.refreshing.lock();
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

    fn server_view(
        &self,
        server: DirectoryServer,
        view: &ClusterView,
        timeout: Duration,
    ) -> ServerView {
        let DirectoryServer { record, owner } = server;
        let is_own = owner == self.context.name();
        let may_warm = is_own
            && record.stage == ServerStage::Cold
            && self.desk.may_warm(&record.announcement.server, timeout);
        let is_drained = view.is_drained(&record.announcement.domain);
        ServerView { record, owner, may_warm, is_drained }
    }

    fn clock(&self, owner: &EntryName) -> Arc<BeatClock> {
        if let Some(clock) = self.clocks.read().get(owner) {
            return clock.clone();
        }
        let mut clocks = self.clocks.write();
        let clock =
            clocks.entry(owner.clone()).or_insert_with(|| Arc::new(BeatClock::new(self.started)));
        clock.clone()
    }

    pub(crate) fn entry_target(&self, name: &EntryName) -> Option<PeerTarget> {
        peer_target(self.context.view().entry(name)?)
    }

    fn announce_answer(&self, owner: &EntryName) -> Option<AnnounceAnswer> {
        let view = self.context.view();
        let others = view
            .entries()
            .filter(|entry| entry.name != *owner && entry.serving)
            .map(|entry| entry.server_address)
            .take(OTHER_ENTRIES)
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
            self.announce_here(&announcement).map_err(|reason| unavailable(&reason))?;
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

impl ServerObserver for ServerCatalog {
    fn server_warmed(&self, server: &ServerName, incarnation: ServerIncarnation) {
        if self.desk.mark_warm(server, incarnation) {
            self.context.record_server(EventKind::ServerWarm, server, String::new());
            self.publish();
        }
    }

    fn server_suspected(&self, server: &PickedServer, kind: SuspectKind) {
        self.context.counters.servers.count("suspected");
        let report =
            SuspectReport { server: server.name.clone(), incarnation: server.incarnation, kind };
        if server.owner == self.context.name() {
            self.take_suspicion(&report);
        } else if let Some(target) = self.entry_target(&server.owner) {
            self.link.send(&target, PeerRequest::Suspect(report));
        }
    }

    fn is_confirmed(&self, owner: &EntryName) -> bool {
        let clocks = self.clocks.read();
        clocks.get(owner).is_some_and(|clock| clock.is_within(HEARTBEAT_TIMEOUT, Instant::now()))
    }
}

/// Returns where an entry's process is reached.
fn peer_target(entry: &EntryInfo) -> Option<PeerTarget> {
    let host = entry.name.as_str().parse().ok()?;
    Some(PeerTarget { host, address: entry.peer_address })
}
