//! An entry's directory of all servers, put together from what their stewards tell.
//!
//! Only the steward that the replicated table names for a server is believed about it, and only
//! while its beats are heard.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use types::{
    BookChange, BookDelta, BookRequest, BookVersion, ClusterView, EntryIncarnation, EntryName,
    ServerName, ServerRecord, ServerStage, ServiceName, StewardBeat,
};

/// How long a steward's word holds without a beat.
pub const BEAT_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct StewardAccount {
    incarnation: EntryIncarnation,
    version: BookVersion,
    confirmed: Instant,
    servers: BTreeMap<ServerName, ServerRecord>,
}

/// A server with its steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryServer {
    /// The server.
    pub record: ServerRecord,
    /// Its steward.
    pub steward: EntryName,
}

/// All servers that an entry has been told of.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    accounts: BTreeMap<EntryName, StewardAccount>,
    /// Which servers each service has, with the stewards that told of them.
    services: BTreeMap<ServiceName, BTreeSet<(ServerName, EntryName)>>,
}

impl ServerDirectory {
    /// Takes a beat in. Returns the request to pull with if this entry is behind.
    pub fn observe_beat(&mut self, beat: &StewardBeat, now: Instant) -> Option<BookRequest> {
        let account = self
            .accounts
            .get_mut(&beat.steward.entry)
            .filter(|account| account.incarnation == beat.steward.incarnation);
        match account {
            Some(account) if account.version >= beat.version => {
                account.confirmed = now;
                None
            }
            Some(account) => {
                let (incarnation, since) = (account.incarnation, account.version);
                Some(BookRequest { incarnation, since })
            }
            None => {
                let incarnation = beat.steward.incarnation;
                Some(BookRequest { incarnation, since: BookVersion(0) })
            }
        }
    }

    /// Takes a delta in, which was asked for at `asked`. Returns the services that changed.
    pub fn apply(&mut self, delta: &BookDelta, asked: Instant) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        let steward = &delta.steward.entry;
        let is_known = self
            .accounts
            .get(steward)
            .is_some_and(|account| account.incarnation == delta.steward.incarnation);
        if !is_known || delta.is_whole {
            changed.extend(self.forget(steward));
            let account = StewardAccount {
                incarnation: delta.steward.incarnation,
                version: BookVersion(0),
                confirmed: asked,
                servers: BTreeMap::new(),
            };
            self.accounts.insert(steward.clone(), account);
        }
        let Some(account) = self.accounts.get_mut(steward) else {
            return changed;
        };
        if delta.version < account.version {
            return changed;
        }
        for change in &delta.changes {
            match change {
                BookChange::Put(record) => {
                    let name = record.announcement.server.clone();
                    let service = record.announcement.service.clone();
                    account.servers.insert(name.clone(), record.clone());
                    let servers = self.services.entry(service.clone()).or_default();
                    servers.insert((name, steward.clone()));
                    changed.insert(service);
                }
                BookChange::Remove(name) => {
                    if let Some(record) = account.servers.remove(name) {
                        let service = record.announcement.service;
                        if let Some(servers) = self.services.get_mut(&service) {
                            servers.remove(&(name.clone(), steward.clone()));
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
    /// Each is as its rightful steward tells. While that one has not told of a server yet, the
    /// word of a former steward holds, if the server was warm.
    pub fn servers(&self, service: &ServiceName, view: &ClusterView) -> Vec<DirectoryServer> {
        let Some(known) = self.services.get(service) else {
            return Vec::new();
        };
        let mut chosen: BTreeMap<&ServerName, (bool, DirectoryServer)> = BTreeMap::new();
        for (server, steward) in known {
            let account = self.accounts.get(steward);
            let told = account.and_then(|account| account.servers.get(server));
            let Some(record) = told.filter(|record| record.announcement.service == *service) else {
                continue;
            };
            let lease = view.server_lease(server);
            let is_rightful = lease.is_some_and(|lease| lease.steward == *steward);
            if !is_rightful && record.stage != ServerStage::Warm {
                continue;
            }
            let is_better = chosen.get(server).is_none_or(|(rightful, _)| !rightful);
            if is_better {
                let found = DirectoryServer { record: record.clone(), steward: steward.clone() };
                chosen.insert(server, (is_rightful, found));
            }
        }
        chosen.into_values().map(|(_, server)| server).collect()
    }

    /// Returns all servers that any steward tells of, in the latest account.
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

    /// Returns what any steward, rightful or not, last told of a server.
    pub fn last_record(&self, server: &ServerName) -> Option<&ServerRecord> {
        let told = self.accounts.values().filter_map(|account| account.servers.get(server));
        told.max_by_key(|record| (record.announcement.incarnation, record.announcement.sequence))
    }

    /// Returns when each steward's word was last confirmed.
    pub fn confirmations(&self) -> impl Iterator<Item = (&EntryName, Instant)> {
        self.accounts.iter().map(|(name, account)| (name, account.confirmed))
    }

    /// Returns all services with at least one server.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.iter().filter(|(_, servers)| !servers.is_empty()).map(|(name, _)| name)
    }

    fn forget(&mut self, steward: &EntryName) -> BTreeSet<ServiceName> {
        let Some(account) = self.accounts.remove(steward) else {
            return BTreeSet::new();
        };
        let mut changed = BTreeSet::new();
        for (name, record) in account.servers {
            let service = record.announcement.service;
            if let Some(servers) = self.services.get_mut(&service) {
                servers.remove(&(name, steward.clone()));
            }
            changed.insert(service);
        }
        changed
    }
}
