//! This entry's part as a shard owner: the servers in its ranges.

use crate::EntryContext;
use parking_lot::Mutex;
use policy::{AnnounceOutcome, ServerRegistry};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{
    Announcement, ClusterView, FRESHNESS_LIMIT, OwnerHeartbeat, RangeIndex, RangeLease,
    RegistryDelta, RegistryRequest, ServerIncarnation, ServerName, ServerRecord, ServerStage,
    ServiceName, SuspectReport, server_range,
};

/// A range that this entry looks after.
#[derive(Debug, Clone, Copy)]
struct OwnRange {
    acquired: Instant,
    /// No owner before this one can have given work to cold servers.
    is_first: bool,
}

/// The registry of this entry and the ranges that it covers.
pub(crate) struct OwnedShards {
    context: Arc<EntryContext>,
    registry: Mutex<ServerRegistry>,
    ranges: Mutex<BTreeMap<RangeIndex, OwnRange>>,
}

impl OwnedShards {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let registry = Mutex::new(ServerRegistry::new(context.owner_id()));
        Self { context, registry, ranges: Mutex::default() }
    }

    /// Takes new ranges over, with the servers that their former owners told of.
    ///
    /// Servers in ranges that went to others stay in the registry until their announcements run out:
    /// entries go by it until the new owner tells of them.
    pub(crate) fn view_changed(
        &self,
        view: &ClusterView,
        known: &BTreeMap<&ServerName, &ServerRecord>,
    ) {
        let (name, now) = (self.context.name(), Instant::now());
        {
            let mut ranges = self.ranges.lock();
            let own = |(range, lease): (RangeIndex, &RangeLease)| {
                let gained = OwnRange { acquired: now, is_first: lease.is_first };
                (range, ranges.get(&range).copied().unwrap_or(gained))
            };
            let current = view.ranges_of(&name).map(own).collect();
            *ranges = current;
        }
        self.adopt(known.values().copied());
    }

    /// Takes servers over that lie in this entry's ranges and that its registry does not have. Returns
    /// whether there are any.
    pub(crate) fn adopt<'a>(&self, records: impl Iterator<Item = &'a ServerRecord>) -> bool {
        let ranges = self.ranges.lock();
        let mut registry = self.registry.lock();
        let (before, now) = (registry.version(), Instant::now());
        for record in records {
            if ranges.contains_key(&server_range(&record.announcement.server)) {
                registry.adopt(record, now);
            }
        }
        registry.version() != before
    }

    /// Takes an announcement in.
    pub(crate) fn announce(
        &self,
        announcement: &Announcement,
        known: Option<&ServerRecord>,
    ) -> AnnounceOutcome {
        let known_stage = known
            .filter(|record| record.announcement.incarnation == announcement.incarnation)
            .filter(|record| record.stage == ServerStage::Warm)
            .map(|record| record.stage);
        self.registry.lock().announce(announcement, known_stage, Instant::now())
    }

    /// Marks a server as warm. Returns whether that is news.
    pub(crate) fn mark_warm(&self, server: &ServerName, incarnation: ServerIncarnation) -> bool {
        self.registry.lock().mark_warm(server, incarnation)
    }

    /// Takes a suspicion in. Returns whether it changed anything.
    pub(crate) fn suspect(&self, report: &SuspectReport) -> bool {
        self.registry.lock().suspect(report)
    }

    /// Removes the servers whose announcements have run out, and returns those in own ranges.
    pub(crate) fn expire(&self) -> Vec<ServerName> {
        let mut expired = self.registry.lock().expire(Instant::now());
        let ranges = self.ranges.lock();
        expired.retain(|server| ranges.contains_key(&server_range(server)));
        expired
    }

    pub(crate) fn beat(&self) -> OwnerHeartbeat {
        let registry = self.registry.lock();
        OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() }
    }

    pub(crate) fn delta(&self, request: &RegistryRequest) -> RegistryDelta {
        self.registry.lock().delta(request)
    }

    /// Says whether this entry may give a cold server work: a former owner may still have
    /// requests of its own running there until its view and their deadlines have run out.
    pub(crate) fn may_warm(&self, server: &ServerName, timeout: Duration) -> bool {
        let ranges = self.ranges.lock();
        ranges.get(&server_range(server)).is_some_and(|range| {
            range.is_first || range.acquired.elapsed() >= FRESHNESS_LIMIT + timeout
        })
    }

    /// Returns the warm servers in own ranges.
    pub(crate) fn own_warm_servers(&self) -> Vec<ServerRecord> {
        let ranges = self.ranges.lock();
        let registry = self.registry.lock();
        let is_own = |record: &&ServerRecord| {
            record.stage == ServerStage::Warm
                && ranges.contains_key(&server_range(&record.announcement.server))
        };
        registry.records().filter(is_own).cloned().collect()
    }

    /// Returns the services with cold servers in this registry.
    pub(crate) fn cold_services(&self) -> Vec<ServiceName> {
        let registry = self.registry.lock();
        let mut services: Vec<ServiceName> = registry
            .records()
            .filter(|record| record.stage == ServerStage::Cold)
            .map(|record| record.announcement.service.clone())
            .collect();
        services.sort();
        services.dedup();
        services
    }
}
