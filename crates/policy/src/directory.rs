//! An entry's directory of all servers, merged from the registries of their owners.
//!
//! The record of a server comes from the shard owner that the replicated view names for it. Until
//! that owner has sent one, a former owner's record is used if it says that the server is warm.
//!
//! The directory does not check whether an owner's heartbeats still arrive. It stores when each
//! owner's records were last known to be current, and the entry ignores records for which this is
//! longer ago than [`HEARTBEAT_TIMEOUT`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use types::{
    ClusterView, EntryIncarnation, EntryName, OwnerHeartbeat, RegistryChange, RegistryDelta,
    RegistryRequest, RegistryVersion, ServerName, ServerRecord, ServerStage, ServiceName,
};

/// Time without a heartbeat after which a shard owner's records are no longer acted on.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// The copy of one owner's registry.
#[derive(Debug)]
struct RegistryCopy {
    incarnation: EntryIncarnation,
    version: RegistryVersion,
    /// Latest time at which the copy is known to have been current.
    confirmed: Instant,
    servers: BTreeMap<ServerName, ServerRecord>,
}

/// A server's record with the owner that sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryServer {
    /// The owner's record of it.
    pub record: ServerRecord,
    /// The owner that sent the record.
    pub owner: EntryName,
}

/// All servers known to an entry.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    copies: BTreeMap<EntryName, RegistryCopy>,
    /// Servers of each service, with the owners that sent records of them.
    services: BTreeMap<ServiceName, BTreeSet<(ServerName, EntryName)>>,
}

impl ServerDirectory {
    /// Applies a heartbeat of an owner. Returns the request for the changes that this entry lacks,
    /// if any.
    pub fn observe_heartbeat(
        &mut self,
        heartbeat: &OwnerHeartbeat,
        now: Instant,
    ) -> Option<RegistryRequest> {
        let copy = self
            .copies
            .get_mut(&heartbeat.owner.entry)
            .filter(|copy| copy.incarnation == heartbeat.owner.incarnation);
        match copy {
            Some(copy) if copy.version >= heartbeat.version => {
                copy.confirmed = now;
                None
            }
            Some(copy) => {
                let (incarnation, since) = (copy.incarnation, copy.version);
                Some(RegistryRequest { incarnation, since })
            }
            None => {
                let incarnation = heartbeat.owner.incarnation;
                Some(RegistryRequest { incarnation, since: RegistryVersion(0) })
            }
        }
    }

    /// Applies a delta that was requested at `requested_at`. Returns the services whose servers
    /// changed.
    pub fn apply(&mut self, delta: &RegistryDelta, requested_at: Instant) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        let owner = &delta.owner.entry;
        let is_known =
            self.copies.get(owner).is_some_and(|copy| copy.incarnation == delta.owner.incarnation);
        if !is_known || delta.is_whole {
            changed.extend(self.remove_owner(owner));
            let copy = RegistryCopy {
                incarnation: delta.owner.incarnation,
                version: RegistryVersion(0),
                confirmed: requested_at,
                servers: BTreeMap::new(),
            };
            self.copies.insert(owner.clone(), copy);
        }
        let Some(copy) = self.copies.get_mut(owner) else {
            return changed;
        };
        if delta.version < copy.version {
            return changed;
        }
        for change in &delta.changes {
            match change {
                RegistryChange::Put(record) => {
                    let name = record.announcement.server.clone();
                    let service = record.announcement.service.clone();
                    copy.servers.insert(name.clone(), record.clone());
                    let servers = self.services.entry(service.clone()).or_default();
                    servers.insert((name, owner.clone()));
                    changed.insert(service);
                }
                RegistryChange::Remove(name) => {
                    if let Some(record) = copy.servers.remove(name) {
                        let service = record.announcement.service;
                        if let Some(servers) = self.services.get_mut(&service) {
                            servers.remove(&(name.clone(), owner.clone()));
                        }
                        changed.insert(service);
                    }
                }
            }
        }
        copy.version = delta.version;
        copy.confirmed = copy.confirmed.max(requested_at);
        changed
    }

    /// Drops the records of owners that are not in the view. Returns the services whose servers
    /// changed.
    pub fn retain_entries(&mut self, view: &ClusterView) -> BTreeSet<ServiceName> {
        let gone: Vec<EntryName> =
            self.copies.keys().filter(|name| view.entry(name).is_none()).cloned().collect();
        gone.iter().flat_map(|name| self.remove_owner(name)).collect()
    }

    /// Returns the servers of a service.
    ///
    /// The record of a server's current owner is used. Until that owner has sent one, the record of
    /// a former owner is used if it says that the server is warm.
    pub fn servers(&self, service: &ServiceName, view: &ClusterView) -> Vec<DirectoryServer> {
        let Some(known) = self.services.get(service) else {
            return Vec::new();
        };
        let mut chosen: BTreeMap<&ServerName, (bool, DirectoryServer)> = BTreeMap::new();
        for (server, owner) in known {
            let copy = self.copies.get(owner);
            let known_record = copy.and_then(|copy| copy.servers.get(server));
            let Some(record) =
                known_record.filter(|record| record.announcement.service == *service)
            else {
                continue;
            };
            let lease = view.server_lease(server);
            let is_current = lease.is_some_and(|lease| lease.owner == *owner);
            if !is_current && record.stage != ServerStage::Warm {
                continue;
            }
            let is_better = chosen.get(server).is_none_or(|(is_current, _)| !is_current);
            if is_better {
                let found = DirectoryServer { record: record.clone(), owner: owner.clone() };
                chosen.insert(server, (is_current, found));
            }
        }
        chosen.into_values().map(|(_, server)| server).collect()
    }

    /// Returns the latest record of every server from any owner.
    pub fn all_records(&self) -> BTreeMap<&ServerName, &ServerRecord> {
        let mut latest: BTreeMap<&ServerName, &ServerRecord> = BTreeMap::new();
        let order =
            |record: &ServerRecord| (record.announcement.incarnation, record.announcement.sequence);
        for (name, record) in self.copies.values().flat_map(|copy| &copy.servers) {
            let known = latest.entry(name).or_insert(record);
            if order(record) > order(known) {
                *known = record;
            }
        }
        latest
    }

    /// Returns the latest record of a server from any owner, current or former.
    pub fn last_record(&self, server: &ServerName) -> Option<&ServerRecord> {
        let records = self.copies.values().filter_map(|copy| copy.servers.get(server));
        records.max_by_key(|record| (record.announcement.incarnation, record.announcement.sequence))
    }

    /// Returns the time at which each owner's records were last known to be current.
    pub fn confirmations(&self) -> impl Iterator<Item = (&EntryName, Instant)> {
        self.copies.iter().map(|(name, copy)| (name, copy.confirmed))
    }

    /// Returns the services with at least one server.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, servers)| !servers.is_empty()).map(|(name, _)| name)
    }

    fn remove_owner(&mut self, owner: &EntryName) -> BTreeSet<ServiceName> {
        let Some(copy) = self.copies.remove(owner) else {
            return BTreeSet::new();
        };
        let mut changed = BTreeSet::new();
        for (name, record) in copy.servers {
            let service = record.announcement.service;
            if let Some(servers) = self.services.get_mut(&service) {
                servers.remove(&(name, owner.clone()));
            }
            changed.insert(service);
        }
        changed
    }
}
