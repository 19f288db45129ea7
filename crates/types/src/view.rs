//! The view, which is the part of the replicated state that every entry holds, and its changes.
//!
//! Each change increments the version. An entry that lags by a few versions is sent only the
//! missing changes; an entry that lags further is sent the whole view.

use crate::{
    Announcement, DocumentVersion, DomainName, EntryInfo, EntryName, QuarantineStage,
    RequestFingerprint, RoutingDocument, RoutingPatch, RoutingVersion, ServerIncarnation,
    ServerName, ServiceName, ServiceSpec, TeamDocument, TeamName,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use thiserror::Error;

/// Number of ranges into which servers are hashed.
pub const RANGE_COUNT: usize = 256;
/// Approximate size of a change without a document in memory, in bytes.
const SMALL_CHANGE_BYTES: usize = 256;

/// Version of the view, incremented by each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ViewVersion(pub u64);

/// Index of a range into which servers are hashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RangeIndex(pub u8);

/// Lease of a range by the entry that manages the servers in the range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeLease {
    /// The entry that holds the lease.
    pub owner: EntryName,
    /// The version of the view that assigned the range to this owner.
    pub since: ViewVersion,
    /// Whether the range never had an owner before.
    pub is_first: bool,
}

/// A change of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A document replaces the team's previous one.
    PutDocument(TeamDocument, DocumentVersion),
    /// A failure domain is taken out of service (`true`) or brought back.
    SetDrain(DomainName, bool, DocumentVersion),
    /// An entry is new or has changed.
    PutEntry(EntryInfo),
    /// An entry has left or lost its lease.
    RemoveEntry(EntryName),
    /// Ranges are assigned to new owners.
    AssignRanges(Vec<(RangeIndex, EntryName)>),
    /// The first routing document.
    PutRouting(Arc<RoutingDocument>),
    /// The differences of a new routing document from the previous one.
    PatchRouting(Arc<RoutingPatch>),
    /// A server is new or has changed its state.
    PutServer(Arc<Announcement>),
    /// A server has left, or has sent no announcement for too long.
    RemoveServer(ServerName),
    /// A request enters the quarantine, changes its stage there, or leaves it (`None`).
    SetQuarantine(RequestFingerprint, Option<QuarantineStage>),
}

impl ViewChange {
    /// Returns the approximate size in memory, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let content = match self {
            Self::PutDocument(document, _) => document.services.len() * size_of::<ServiceSpec>(),
            Self::AssignRanges(assignments) => assignments.len() * size_of::<RangeLease>(),
            Self::PutRouting(document) => document.approximate_bytes(),
            Self::PatchRouting(patch) => patch.approximate_bytes(),
            _ => 0,
        };
        SMALL_CHANGE_BYTES + content
    }
}

/// Update that brings an entry to the current view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// The changes that follow the entry's version, in order.
    Changes(Vec<ViewChange>),
    /// The whole view.
    Whole(Box<ClusterView>),
}

impl ViewUpdate {
    /// Returns whether the update contains no changes.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Changes(changes) if changes.is_empty())
    }
}

/// A violated invariant of the view.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ViewError {
    /// The holder of a service is not the team that declares it.
    #[error("service {0} is not held by the team that declares it")]
    Holder(ServiceName),
    /// A range is leased to an entry that is not registered.
    #[error("range {range:?} is leased to {owner}, which is not a registered entry")]
    ShardOwner {
        /// The range.
        range: RangeIndex,
        /// The unregistered entry.
        owner: EntryName,
    },
}

/// Configuration, drains, entries, range leases, routing, servers and the quarantine of requests.
///
/// Invariants: each service is held by exactly the team whose document declares it; every owner
/// is a registered entry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The version of this view.
    pub version: ViewVersion,
    documents: BTreeMap<TeamName, (TeamDocument, DocumentVersion)>,
    holders: BTreeMap<ServiceName, TeamName>,
    drains: BTreeMap<DomainName, (bool, DocumentVersion)>,
    entries: BTreeMap<EntryName, EntryInfo>,
    ranges: BTreeMap<RangeIndex, RangeLease>,
    /// Ranges that currently have or once had a shard owner.
    used_ranges: BTreeSet<RangeIndex>,
    routing: Option<Arc<RoutingDocument>>,
    servers: BTreeMap<ServerName, Arc<Announcement>>,
    quarantine: BTreeMap<RequestFingerprint, QuarantineStage>,
}

impl ClusterView {
    /// Returns the routing document in force.
    pub fn routing(&self) -> Option<&Arc<RoutingDocument>> {
        self.routing.as_ref()
    }

    /// Returns the version of the routing document in force, 0 if there is none.
    pub fn routing_version(&self) -> RoutingVersion {
        self.routing.as_ref().map(|document| document.version).unwrap_or_default()
    }

    /// Returns all registered servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Announcement>> {
        self.servers.values()
    }

    /// Returns a registered server.
    pub fn server(&self, name: &ServerName) -> Option<&Arc<Announcement>> {
        self.servers.get(name)
    }

    /// Returns whether a server is registered with this incarnation.
    pub fn has_server(&self, name: &ServerName, incarnation: ServerIncarnation) -> bool {
        self.servers.get(name).is_some_and(|server| server.incarnation == incarnation)
    }

    /// Returns the version of a team's document, 0 if there is none.
    pub fn document_version(&self, team: &TeamName) -> DocumentVersion {
        self.documents.get(team).map(|(_, version)| *version).unwrap_or_default()
    }

    /// Returns the version of the drain of a failure domain, 0 if it was never drained.
    pub fn drain_version(&self, domain: &DomainName) -> DocumentVersion {
        self.drains.get(domain).map(|(_, version)| *version).unwrap_or_default()
    }

    /// Returns all documents with their versions.
    pub fn documents(&self) -> impl Iterator<Item = (&TeamDocument, DocumentVersion)> {
        self.documents.values().map(|(document, version)| (document, *version))
    }

    /// Returns all drains with their versions; `true` means that the domain is out of service.
    pub fn drains(&self) -> impl Iterator<Item = (&DomainName, bool, DocumentVersion)> {
        self.drains.iter().map(|(domain, (drained, version))| (domain, *drained, *version))
    }

    /// Returns whether a failure domain is out of service.
    pub fn is_drained(&self, domain: &DomainName) -> bool {
        self.drains.get(domain).is_some_and(|(drained, _)| *drained)
    }

    /// Returns the requests in quarantine.
    pub fn quarantine(&self) -> &BTreeMap<RequestFingerprint, QuarantineStage> {
        &self.quarantine
    }

    /// Returns the team that holds a service.
    pub fn holder(&self, service: &ServiceName) -> Option<&TeamName> {
        self.holders.get(service)
    }

    /// Returns the specification of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSpec> {
        let (document, _) = self.documents.get(self.holders.get(service)?)?;
        document.services.iter().find(|spec| spec.name == *service)
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values()
    }

    /// Returns an entry by name.
    pub fn entry(&self, name: &EntryName) -> Option<&EntryInfo> {
        self.entries.get(name)
    }

    /// Returns the lease of a range.
    pub fn range(&self, range: RangeIndex) -> Option<&RangeLease> {
        self.ranges.get(&range)
    }

    /// Returns the ranges leased to an entry.
    pub fn ranges_of(&self, owner: &EntryName) -> impl Iterator<Item = (RangeIndex, &RangeLease)> {
        let is_own = move |(_, lease): &(&RangeIndex, &RangeLease)| lease.owner == *owner;
        self.ranges.iter().filter(is_own).map(|(range, lease)| (*range, lease))
    }

    /// Returns the lease that covers a server.
    pub fn server_lease(&self, server: &ServerName) -> Option<&RangeLease> {
        self.range(server_range(server))
    }

    /// Applies one change and increments the version.
    pub fn apply(&mut self, change: &ViewChange) {
        self.version = ViewVersion(self.version.0 + 1);
        match change {
            ViewChange::PutDocument(document, version) => self.put_document(document, *version),
            ViewChange::SetDrain(domain, drained, version) => {
                self.drains.insert(domain.clone(), (*drained, *version));
            }
            ViewChange::PutEntry(info) => {
                self.entries.insert(info.name.clone(), info.clone());
            }
            ViewChange::RemoveEntry(name) => {
                self.entries.remove(name);
                self.ranges.retain(|_, lease| lease.owner != *name);
            }
            ViewChange::AssignRanges(assignments) => {
                for (range, owner) in assignments {
                    let is_first = self.used_ranges.insert(*range);
                    let lease = RangeLease { owner: owner.clone(), since: self.version, is_first };
                    self.ranges.insert(*range, lease);
                }
            }
            ViewChange::PutRouting(document) => self.routing = Some(document.clone()),
            ViewChange::PatchRouting(patch) => {
                let patched = self.routing.as_ref().map(|routing| routing.patched(patch));
                self.routing = patched.map(Arc::new);
            }
            ViewChange::PutServer(announcement) => {
                self.servers.insert(announcement.server.clone(), announcement.clone());
            }
            ViewChange::RemoveServer(name) => {
                self.servers.remove(name);
            }
            ViewChange::SetQuarantine(request, Some(stage)) => {
                self.quarantine.insert(*request, *stage);
            }
            ViewChange::SetQuarantine(request, None) => {
                self.quarantine.remove(request);
            }
        }
    }

    /// Applies an update.
    pub fn update(&mut self, update: ViewUpdate) {
        match update {
            ViewUpdate::Changes(changes) => changes.iter().for_each(|change| self.apply(change)),
            ViewUpdate::Whole(view) => *self = *view,
        }
    }

    /// Returns the assignments that distribute all ranges evenly over the serving entries that own
    /// shards, moving as few ranges as possible.
    pub fn plan_ranges(&self) -> Vec<(RangeIndex, EntryName)> {
        let serving: Vec<&EntryName> = self
            .entries()
            .filter(|entry| entry.serving && entry.owns_shards)
            .map(|entry| &entry.name)
            .collect();
        if serving.is_empty() {
            return Vec::new();
        }
        let max_ranges = RANGE_COUNT.div_ceil(serving.len());
        let mut counts: BTreeMap<&EntryName, usize> =
            serving.iter().map(|name| (*name, 0)).collect();
        let mut unassigned = Vec::new();
        for range in (0..RANGE_COUNT).map(|index| RangeIndex(index as u8)) {
            let count = self.ranges.get(&range).and_then(|lease| counts.get_mut(&lease.owner));
            match count {
                Some(count) if *count < max_ranges => *count += 1,
                _ => unassigned.push(range),
            }
        }
        let mut assignments = Vec::with_capacity(unassigned.len());
        for range in unassigned {
            let Some((name, count)) =
                counts.iter_mut().min_by_key(|(name, count)| (**count, **name))
            else {
                break;
            };
            *count += 1;
            assignments.push((range, (*name).clone()));
        }
        assignments
    }

    /// Checks the invariants.
    pub fn verify(&self) -> Result<(), ViewError> {
        for service in self.holders.keys() {
            if self.service(service).is_none() {
                return Err(ViewError::Holder(service.clone()));
            }
        }
        for (document, _) in self.documents.values() {
            for spec in &document.services {
                if self.holders.get(&spec.name) != Some(&document.team) {
                    return Err(ViewError::Holder(spec.name.clone()));
                }
            }
        }
        for (range, lease) in &self.ranges {
            if !self.entries.contains_key(&lease.owner) {
                return Err(ViewError::ShardOwner { range: *range, owner: lease.owner.clone() });
            }
        }
        Ok(())
    }

    fn put_document(&mut self, document: &TeamDocument, version: DocumentVersion) {
        let kept: BTreeSet<&ServiceName> =
            document.services.iter().map(|service| &service.name).collect();
        self.holders.retain(|service, team| *team != document.team || kept.contains(service));
        for service in kept {
            self.holders.insert(service.clone(), document.team.clone());
        }
        self.documents.insert(document.team.clone(), (document.clone(), version));
    }
}

/// Returns the range of a server: the FNV-1a hash of its name, XOR-folded to one byte.
pub fn server_range(server: &ServerName) -> RangeIndex {
    let hash = server.as_str().bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let folded = hash.to_be_bytes().iter().fold(0, |folded, byte| folded ^ byte);
    RangeIndex(folded)
}
