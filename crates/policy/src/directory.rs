//! An entry's directory of all servers, put together from what their owners tell.
//!
//! Only the owner that the replicated table names for a server is believed about it, and only
//! while its beats are heard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use types::{
    ClusterView, EntryIncarnation, EntryName, OwnerHeartbeat, RegistryChange, RegistryDelta,
    RegistryRequest, RegistryVersion, ServerName, ServerRecord, ServerStage, ServiceName,
};

/// How long a shard owner's word holds without a beat.
pub const BEAT_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct OwnerAccount {
    incarnation: EntryIncarnation,
    version: RegistryVersion,
    confirmed: Instant,
    servers: BTreeMap<ServerName, ServerRecord>,
}

/// A server with its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryServer {
    /// The server.
    pub record: ServerRecord,
    /// Its owner.
    pub owner: EntryName,
}

/// All servers that an entry has been told of.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    accounts: BTreeMap<EntryName, OwnerAccount>,
    /// Which servers each service has, with the owners that told of them.
    services: BTreeMap<ServiceName, BTreeSet<(ServerName, EntryName)>>,
}

impl ServerDirectory {
    /// Takes a beat in. Returns the request to pull with if this entry is behind.
    pub fn observe_beat(&mut self, beat: &OwnerHeartbeat, now: Instant) -> Option<RegistryRequest> {
        let account = self
            .accounts
            .get_mut(&beat.owner.entry)
            .filter(|account| account.incarnation == beat.owner.incarnation);
        match account {
            Some(account) if account.version >= beat.version => {
                account.confirmed = now;
                None
            }
            Some(account) => {
                let (incarnation, since) = (account.incarnation, account.version);
                Some(RegistryRequest { incarnation, since })
            }
            None => {
                let incarnation = beat.owner.incarnation;
                Some(RegistryRequest { incarnation, since: RegistryVersion(0) })
            }
        }
    }

    /// Takes a delta in, which was asked for at `asked`. Returns the services that changed.
    pub fn apply(&mut self, delta: &RegistryDelta, asked: Instant) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        let owner = &delta.owner.entry;
        let is_known = self
            .accounts
            .get(owner)
            .is_some_and(|account| account.incarnation == delta.owner.incarnation);
        if !is_known || delta.is_whole {
            changed.extend(self.forget(owner));
            let account = OwnerAccount {
                incarnation: delta.owner.incarnation,
                version: RegistryVersion(0),
                confirmed: asked,
                servers: BTreeMap::new(),
            };
            self.accounts.insert(owner.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(owner) else {
            return changed;
        };
        if delta.version < account.version {
            return changed;
        }
        for change in &delta.changes {
            match change {
                RegistryChange::Put(record) => {
                    let name = record.announcement.server.clone();
                    let service = record.announcement.service.clone();
                    account.servers.insert(name.clone(), record.clone());
                    let servers = self.services.entry(service.clone()).or_default();
                    servers.insert((name, owner.clone()));
                    changed.insert(service);
                }
                RegistryChange::Remove(name) => {
                    if let Some(record) = account.servers.remove(name) {
                        let service = record.announcement.service;
                        if let Some(servers) = self.services.get_mut(&service) {
                            servers.remove(&(name.clone(), owner.clone()));
                        }
                        changed.insert(service);
                    }
                }
            }
        }
        account.version = delta.version;
        account.confirmed = account.confirmed.max(asked);
        changed
    }

    /// Forgets what entries said that are no longer registered. Returns the services that changed.
    pub fn retain_entries(&mut self, view: &ClusterView) -> BTreeSet<ServiceName> {
        let gone: Vec<EntryName> =
            self.accounts.keys().filter(|name| view.entry(name).is_none()).cloned().collect();
        gone.iter().flat_map(|name| self.forget(name)).collect()
    }

    /// Returns the servers of a service.
    ///
    /// Each is as its rightful owner tells. While that one has not told of a server yet, the
    /// word of a former owner holds, if the server was warm.
    pub fn servers(&self, service: &ServiceName, view: &ClusterView) -> Vec<DirectoryServer> {
        let Some(known) = self.services.get(service) else {
            return Vec::new();
        };
        let mut chosen: BTreeMap<&ServerName, (bool, DirectoryServer)> = BTreeMap::new();
        for (server, owner) in known {
            let account = self.accounts.get(owner);
            let told = account.and_then(|account| account.servers.get(server));
            let Some(record) = told.filter(|record| record.announcement.service == *service) else {
                continue;
            };
            let lease = view.server_lease(server);
            let is_rightful = lease.is_some_and(|lease| lease.owner == *owner);
            if !is_rightful && record.stage != ServerStage::Warm {
                continue;
            }
            let is_better = chosen.get(server).is_none_or(|(rightful, _)| !rightful);
            if is_better {
                let found = DirectoryServer { record: record.clone(), owner: owner.clone() };
                chosen.insert(server, (is_rightful, found));
            }
        }
        chosen.into_values().map(|(_, server)| server).collect()
    }

    /// Returns all servers that any owner tells of, in the latest account.
    pub fn all_records(&self) -> BTreeMap<&ServerName, &ServerRecord> {
        let mut latest: BTreeMap<&ServerName, &ServerRecord> = BTreeMap::new();
        let order =
            |record: &ServerRecord| (record.announcement.incarnation, record.announcement.sequence);
        for (name, record) in self.accounts.values().flat_map(|account| &account.servers) {
            let known = latest.entry(name).or_insert(record);
            if order(record) > order(known) {
                *known = record;
            }
        }
        latest
    }

    /// Returns what any owner, rightful or not, last told of a server.
    pub fn last_record(&self, server: &ServerName) -> Option<&ServerRecord> {
        let told = self.accounts.values().filter_map(|account| account.servers.get(server));
        told.max_by_key(|record| (record.announcement.incarnation, record.announcement.sequence))
    }

    /// Returns when each owner's word was last confirmed.
    pub fn confirmations(&self) -> impl Iterator<Item = (&EntryName, Instant)> {
        self.accounts.iter().map(|(name, account)| (name, account.confirmed))
    }

    /// Returns all services with at least one server.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, servers)| !servers.is_empty()).map(|(name, _)| name)
    }

    fn forget(&mut self, owner: &EntryName) -> BTreeSet<ServiceName> {
        let Some(account) = self.accounts.remove(owner) else {
            return BTreeSet::new();
        };
        let mut changed = BTreeSet::new();
        for (name, record) in account.servers {
            let service = record.announcement.service;
            if let Some(servers) = self.services.get_mut(&service) {
                servers.remove(&(name, owner.clone()));
            }
            changed.insert(service);
        }
        changed
    }
}
