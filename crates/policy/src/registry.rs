//! A shard owner's registry of the servers it looks after.
//!
//! Every change gets the next version, so that entries pull just what they lack. What must stop
//! work (leaving and gone servers) is sent ahead of its turn.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};
use types::{
    Announcement, RegistryChange, RegistryDelta, RegistryRequest, RegistryVersion,
    ServerIncarnation, ServerName, ServerRecord, ServerStage, ServerState, ShardOwnerId,
    SuspectKind, SuspectReport,
};

/// How long an announcement holds.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);
/// Changes sent in one answer, besides the urgent ones.
const DELTA_LIMIT: usize = 256;
/// Removals remembered for entries that are behind.
const REMOVAL_LIMIT: usize = 4_096;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The server is new, or has started anew.
    Started,
    /// Another state or address.
    Changed,
    /// Nothing but the lease.
    Renewed,
    /// Older than what is known; ignored.
    Stale,
}

#[derive(Debug, Clone)]
struct RegisteredServer {
    record: ServerRecord,
    changed: RegistryVersion,
    lease_until: Instant,
}

/// The servers of one owner.
///
/// Invariants: no server's change is newer than the registry's version; a server that announces
/// `starting` or `leaving` is never cold or warm.
#[derive(Debug)]
pub struct ServerRegistry {
    owner: ShardOwnerId,
    version: RegistryVersion,
    servers: BTreeMap<ServerName, RegisteredServer>,
    removals: VecDeque<(RegistryVersion, ServerName)>,
    forgotten: RegistryVersion,
}

impl ServerRegistry {
    /// Returns an empty registry.
    pub fn new(owner: ShardOwnerId) -> Self {
        Self {
            owner,
            version: RegistryVersion(0),
            servers: BTreeMap::new(),
            removals: VecDeque::new(),
            forgotten: RegistryVersion(0),
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> RegistryVersion {
        self.version
    }

    /// Returns the owner.
    pub fn owner(&self) -> &ShardOwnerId {
        &self.owner
    }

    /// Returns a server.
    pub fn get(&self, server: &ServerName) -> Option<&ServerRecord> {
        self.servers.get(server).map(|entry| &entry.record)
    }

    /// Returns all servers.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|entry| &entry.record)
    }

    /// Takes an announcement in. A server is cold when it is new here or has started anew, unless
    /// `known_stage` says that this same incarnation was warm under its former owner.
    pub fn announce(
        &mut self,
        announcement: &Announcement,
        known_stage: Option<ServerStage>,
        now: Instant,
    ) -> AnnounceOutcome {
        let lease_until = now + ANNOUNCEMENT_LEASE;
        let former = self.servers.get_mut(&announcement.server);
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        if former.as_ref().is_some_and(|f| order(announcement) < order(&f.record.announcement)) {
            return AnnounceOutcome::Stale;
        }
        let same_start =
            former.filter(|f| f.record.announcement.incarnation == announcement.incarnation);
        let Some(entry) = same_start else {
            let stage = match announcement.state {
                ServerState::Ready => known_stage.unwrap_or(ServerStage::Cold),
                ServerState::Starting | ServerState::Leaving => ServerStage::Leaving,
            };
            self.put(ServerRecord { announcement: announcement.clone(), stage }, lease_until);
            return AnnounceOutcome::Started;
        };
        entry.lease_until = lease_until;
        let known = &entry.record.announcement;
        let is_same = known.state == announcement.state
            && known.address == announcement.address
            && known.slots == announcement.slots
            && known.domain == announcement.domain;
        if is_same {
            entry.record.announcement.sequence = announcement.sequence;
            return AnnounceOutcome::Renewed;
        }
        let stage = match (announcement.state, known.state) {
            (ServerState::Ready, ServerState::Ready) => entry.record.stage,
            (ServerState::Ready, _) => ServerStage::Cold,
            _ => ServerStage::Leaving,
        };
        self.put(ServerRecord { announcement: announcement.clone(), stage }, lease_until);
        AnnounceOutcome::Changed
    }

    /// Takes a server over from its former owner, unless this registry knows it already.
    pub fn adopt(&mut self, record: &ServerRecord, now: Instant) {
        if !self.servers.contains_key(&record.announcement.server) {
            self.put(record.clone(), now + ANNOUNCEMENT_LEASE);
        }
    }

    /// Marks a cold server as warm, if it is still in that incarnation.
    pub fn mark_warm(&mut self, server: &ServerName, incarnation: ServerIncarnation) -> bool {
        self.set_stage(server, incarnation, ServerStage::Cold, ServerStage::Warm)
    }

    /// Takes a suspicion in. Returns whether it changed the server's stage.
    pub fn suspect(&mut self, report: &SuspectReport) -> bool {
        let (server, incarnation) = (&report.server, report.incarnation);
        match report.kind {
            SuspectKind::Restarted | SuspectKind::Unreachable => {
                self.set_stage(server, incarnation, ServerStage::Warm, ServerStage::Cold)
            }
            SuspectKind::Leaving => {
                self.set_stage(server, incarnation, ServerStage::Warm, ServerStage::Leaving)
                    || self.set_stage(server, incarnation, ServerStage::Cold, ServerStage::Leaving)
            }
        }
    }

    /// Removes the servers whose lease has run out, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        let is_expired = |(_, entry): &(&ServerName, &RegisteredServer)| entry.lease_until <= now;
        let expired: Vec<ServerName> =
            self.servers.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        expired.iter().for_each(|name| self.remove(name));
        expired
    }

    /// Returns what an entry lacks.
    pub fn delta(&self, request: &RegistryRequest) -> RegistryDelta {
        let is_whole = request.incarnation != self.owner.incarnation
            || request.since < self.forgotten
            || request.since > self.version;
        let since = if is_whole { RegistryVersion(0) } else { request.since };
        let mut newer: Vec<&RegisteredServer> =
            self.servers.values().filter(|entry| entry.changed > since).collect();
        newer.sort_by_key(|entry| entry.changed);
        let version = match newer.get(DELTA_LIMIT) {
            Some(first_left_out) => RegistryVersion(first_left_out.changed.0 - 1),
            None => self.version,
        };
        let is_sent = |entry: &&&RegisteredServer| {
            entry.changed <= version || entry.record.stage == ServerStage::Leaving
        };
        let mut changes: Vec<RegistryChange> = self
            .removals
            .iter()
            .filter(|(at, name)| *at > since && !self.servers.contains_key(name))
            .map(|(_, name)| RegistryChange::Remove(name.clone()))
            .collect();
        changes.extend(
            newer.iter().filter(is_sent).map(|entry| RegistryChange::Put(entry.record.clone())),
        );
        RegistryDelta { owner: self.owner.clone(), is_whole, changes, version }
    }

    /// Checks the invariants.
    pub fn verify(&self) -> Result<(), String> {
        for (name, entry) in &self.servers {
            if entry.changed > self.version {
                return Err(format!("{name} changed after the registry's version"));
            }
            let is_ready = entry.record.announcement.state == ServerState::Ready;
            if !is_ready && entry.record.stage != ServerStage::Leaving {
                return Err(format!("{name} is not ready, but may be given work"));
            }
        }
        Ok(())
    }

    fn set_stage(
        &mut self,
        server: &ServerName,
        incarnation: ServerIncarnation,
        from: ServerStage,
        to: ServerStage,
    ) -> bool {
        let Some(entry) = self.servers.get(server) else {
            return false;
        };
        let is_meant = entry.record.announcement.incarnation == incarnation
            && entry.record.stage == from
            && entry.record.announcement.state == ServerState::Ready;
        if is_meant {
            let (record, lease) = (entry.record.clone(), entry.lease_until);
            self.put(ServerRecord { stage: to, ..record }, lease);
        }
        is_meant
    }

    fn put(&mut self, record: ServerRecord, lease_until: Instant) {
        self.version = RegistryVersion(self.version.0 + 1);
        let name = record.announcement.server.clone();
        self.servers.insert(name, RegisteredServer { record, changed: self.version, lease_until });
    }

    fn remove(&mut self, server: &ServerName) {
        self.servers.remove(server);
        self.version = RegistryVersion(self.version.0 + 1);
        self.removals.push_back((self.version, server.clone()));
        if self.removals.len() > REMOVAL_LIMIT
            && let Some((version, _)) = self.removals.pop_front()
        {
            self.forgotten = version;
        }
    }
}
