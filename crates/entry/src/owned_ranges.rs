//! The ranges of servers that this entry owns, and its registry of the servers in them.
//!
//! The entry that owns a range is called the shard owner of the range's servers.

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

/// A range that this entry owns.
#[derive(Debug, Clone, Copy)]
struct OwnedRange {
    acquired: Instant,
    /// Whether the range had no earlier owner, which could have sent requests to its cold servers.
    is_first_owner: bool,
}

/// The registry of this entry and the ranges that it owns.
pub(crate) struct OwnedRanges {
    context: Arc<EntryContext>,
    registry: Mutex<ServerRegistry>,
    ranges: Mutex<BTreeMap<RangeIndex, OwnedRange>>,
}

impl OwnedRanges {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let registry = Mutex::new(ServerRegistry::new(context.owner_id()));
        Self { context, registry, ranges: Mutex::default() }
    }

    /// Applies the range assignment of a view. Adopts the servers in the owned ranges from `known`,
    /// which contains the servers that previous owners published.
    ///
    /// Servers in ranges that moved to other entries stay in the registry until their announcements
    /// expire, because other entries use its records until the new owner has published these
    /// servers.
    pub(crate) fn view_changed(
        &self,
        view: &ClusterView,
        known: &BTreeMap<&ServerName, &ServerRecord>,
    ) {
        let (name, now) = (self.context.name(), Instant::now());
        {
            let mut ranges = self.ranges.lock();
            let owned_range = |(range, lease): (RangeIndex, &RangeLease)| {
                let new_range = OwnedRange { acquired: now, is_first_owner: lease.is_first };
                (range, ranges.get(&range).copied().unwrap_or(new_range))
            };
            let current = view.ranges_of(&name).map(owned_range).collect();
            *ranges = current;
        }
        self.adopt(known.values().copied());
    }

    /// Adds the servers that are in this entry's ranges and missing from its registry. Returns
    /// whether the registry changed.
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

    /// Registers an announcement. The server stays warm if `known` is a record of the same
    /// incarnation as warm.
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

    /// Marks a server as warm. Returns whether the registry changed.
    pub(crate) fn mark_warm(&self, server: &ServerName, incarnation: ServerIncarnation) -> bool {
        self.registry.lock().mark_warm(server, incarnation)
    }

    /// Applies a report of a suspected server. Returns whether the registry changed.
    pub(crate) fn suspect(&self, report: &SuspectReport) -> bool {
        self.registry.lock().suspect(report)
    }

    /// Removes the servers whose announcements have expired. Returns those in the owned ranges.
    pub(crate) fn expire(&self) -> Vec<ServerName> {
        let mut expired = self.registry.lock().expire(Instant::now());
        let ranges = self.ranges.lock();
        expired.retain(|server| ranges.contains_key(&server_range(server)));
        expired
    }

    /// Returns a heartbeat with the current version of this registry.
    pub(crate) fn heartbeat(&self) -> OwnerHeartbeat {
        let registry = self.registry.lock();
        OwnerHeartbeat { owner: registry.owner().clone(), version: registry.version() }
    }

    /// Returns the changes of this registry that a request asks for.
    pub(crate) fn delta(&self, request: &RegistryRequest) -> RegistryDelta {
        self.registry.lock().delta(request)
    }

    /// Returns whether this entry may send requests to a cold server. Requests of a previous owner
    /// may still run there until that owner's view has expired and the deadlines of its last
    /// requests have passed. `timeout` is the service's request timeout.
    pub(crate) fn may_warm(&self, server: &ServerName, timeout: Duration) -> bool {
        let ranges = self.ranges.lock();
        ranges.get(&server_range(server)).is_some_and(|range| {
            range.is_first_owner || range.acquired.elapsed() >= FRESHNESS_LIMIT + timeout
        })
    }

    /// Returns the warm servers in the owned ranges.
    pub(crate) fn owned_warm_servers(&self) -> Vec<ServerRecord> {
        let ranges = self.ranges.lock();
        let registry = self.registry.lock();
        let is_owned_warm = |record: &&ServerRecord| {
            record.stage == ServerStage::Warm
                && ranges.contains_key(&server_range(&record.announcement.server))
        };
        registry.records().filter(is_owned_warm).cloned().collect()
    }

    /// Returns the services that have cold servers in this registry, sorted by name.
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
