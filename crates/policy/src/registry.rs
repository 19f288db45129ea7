//! A shard owner's registry of the servers in its shard.
//!
//! Every change gets the next version, so that entries pull only the changes they lack. Leaving and
//! removed servers are sent out of turn, because they must stop getting requests.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};
use types::{
    Announcement, RegistryChange, RegistryDelta, RegistryRequest, RegistryVersion,
    ServerIncarnation, ServerName, ServerRecord, ServerStage, ServerState, ShardOwnerId,
    SuspectKind, SuspectReport,
};

/// Time for which a server stays registered without a new announcement.
pub const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);
/// Maximum number of changes in one answer, besides those sent out of turn.
const MAX_DELTA_CHANGES: usize = 256;
/// Maximum number of removals kept for entries that are behind. Entries behind by more get the
/// whole registry.
const MAX_KEPT_REMOVALS: usize = 4_096;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The server is new or has restarted.
    Started,
    /// The state, address, slots or failure domain changed.
    Changed,
    /// Only the lease was renewed.
    Renewed,
    /// The announcement is older than the known one and was ignored.
    Stale,
}

#[derive(Debug, Clone)]
struct RegisteredServer {
    record: ServerRecord,
    /// Registry version of the latest change.
    changed: RegistryVersion,
    lease_expiry: Instant,
}

/// The registered servers of one shard owner.
///
/// Invariants: no server changed after the registry's version; a server that announces `starting`
/// or `leaving` is in the stage `Leaving`, which gets no requests.
#[derive(Debug)]
pub struct ServerRegistry {
    owner: ShardOwnerId,
    version: RegistryVersion,
    servers: BTreeMap<ServerName, RegisteredServer>,
    removals: VecDeque<(RegistryVersion, ServerName)>,
    /// Version of the latest removal that was dropped from `removals`.
    pruned: RegistryVersion,
}

impl ServerRegistry {
    /// Returns an empty registry.
    pub fn new(owner: ShardOwnerId) -> Self {
        Self {
            owner,
            version: RegistryVersion(0),
            servers: BTreeMap::new(),
            removals: VecDeque::new(),
            pruned: RegistryVersion(0),
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

    /// Returns the record of a server, if it is registered.
    pub fn get(&self, server: &ServerName) -> Option<&ServerRecord> {
        self.servers.get(server).map(|server| &server.record)
    }

    /// Returns the records of all servers, by name.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|server| &server.record)
    }

    /// Applies an announcement.
    ///
    /// A ready server that is new here or has restarted is cold, unless `known_stage` gives the
    /// stage of this incarnation under its former owner. A server that announces `starting` gets
    /// the stage `Leaving` until it is ready, since it does not accept requests yet.
    pub fn announce(
        &mut self,
        announcement: &Announcement,
        known_stage: Option<ServerStage>,
        now: Instant,
    ) -> AnnounceOutcome {
        let lease_expiry = now + ANNOUNCEMENT_LEASE;
        let former = self.servers.get_mut(&announcement.server);
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        if former.as_ref().is_some_and(|f| order(announcement) < order(&f.record.announcement)) {
            return AnnounceOutcome::Stale;
        }
        let same_incarnation =
            former.filter(|f| f.record.announcement.incarnation == announcement.incarnation);
        let Some(server) = same_incarnation else {
            // `Leaving` also stands for a starting server: neither gets requests.
            let stage = match announcement.state {
                ServerState::Ready => known_stage.unwrap_or(ServerStage::Cold),
                ServerState::Starting | ServerState::Leaving => ServerStage::Leaving,
            };
            self.put(ServerRecord { announcement: announcement.clone(), stage }, lease_expiry);
            return AnnounceOutcome::Started;
        };
        server.lease_expiry = lease_expiry;
        let known = &server.record.announcement;
        let is_same = known.state == announcement.state
            && known.address == announcement.address
            && known.slots == announcement.slots
            && known.domain == announcement.domain;
        if is_same {
            server.record.announcement.sequence = announcement.sequence;
            return AnnounceOutcome::Renewed;
        }
        let stage = match (announcement.state, known.state) {
            (ServerState::Ready, ServerState::Ready) => server.record.stage,
            (ServerState::Ready, _) => ServerStage::Cold,
            _ => ServerStage::Leaving,
        };
        self.put(ServerRecord { announcement: announcement.clone(), stage }, lease_expiry);
        AnnounceOutcome::Changed
    }

    /// Takes over a server from its former owner, unless it is already registered.
    pub fn adopt(&mut self, record: &ServerRecord, now: Instant) {
        if !self.servers.contains_key(&record.announcement.server) {
            self.put(record.clone(), now + ANNOUNCEMENT_LEASE);
        }
    }

    /// Marks a cold server of this incarnation as warm. Returns whether its stage changed.
    pub fn mark_warm(&mut self, server: &ServerName, incarnation: ServerIncarnation) -> bool {
        self.set_stage(server, incarnation, ServerStage::Cold, ServerStage::Warm)
    }

    /// Applies a report of a suspected server. Returns whether the server's stage changed.
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

    /// Removes the servers whose lease has expired, and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<ServerName> {
        let is_expired =
            |(_, server): &(&ServerName, &RegisteredServer)| server.lease_expiry <= now;
        let expired: Vec<ServerName> =
            self.servers.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        expired.iter().for_each(|name| self.remove(name));
        expired
    }

    /// Returns the changes that an entry lacks, or the whole registry where these are not known.
    pub fn delta(&self, request: &RegistryRequest) -> RegistryDelta {
        let is_whole = request.incarnation != self.owner.incarnation
            || request.since < self.pruned
            || request.since > self.version;
        let since = if is_whole { RegistryVersion(0) } else { request.since };
        let mut newer: Vec<&RegisteredServer> =
            self.servers.values().filter(|server| server.changed > since).collect();
        newer.sort_by_key(|server| server.changed);
        let version = match newer.get(MAX_DELTA_CHANGES) {
            Some(first_omitted) => RegistryVersion(first_omitted.changed.0 - 1),
            None => self.version,
        };
        let is_sent = |server: &&&RegisteredServer| {
            server.changed <= version || server.record.stage == ServerStage::Leaving
        };
        let mut changes: Vec<RegistryChange> = self
            .removals
            .iter()
            .filter(|(at, name)| *at > since && !self.servers.contains_key(name))
            .map(|(_, name)| RegistryChange::Remove(name.clone()))
            .collect();
        changes.extend(
            newer.iter().filter(is_sent).map(|server| RegistryChange::Put(server.record.clone())),
        );
        RegistryDelta { owner: self.owner.clone(), is_whole, changes, version }
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Describes the first violation found.
    pub fn verify(&self) -> Result<(), String> {
        for (name, server) in &self.servers {
            if server.changed > self.version {
                return Err(format!(
                    "server {name} changed at version {}, after the registry's version {}",
                    server.changed.0, self.version.0
                ));
            }
            let is_ready = server.record.announcement.state == ServerState::Ready;
            if !is_ready && server.record.stage != ServerStage::Leaving {
                return Err(format!(
                    "server {name} announces {:?} but is in stage {:?}",
                    server.record.announcement.state, server.record.stage
                ));
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
        let Some(registered) = self.servers.get(server) else {
            return false;
        };
        let is_match = registered.record.announcement.incarnation == incarnation
            && registered.record.stage == from
            && registered.record.announcement.state == ServerState::Ready;
        if is_match {
            let (record, lease) = (registered.record.clone(), registered.lease_expiry);
            self.put(ServerRecord { stage: to, ..record }, lease);
        }
        is_match
    }

    fn put(&mut self, record: ServerRecord, lease_expiry: Instant) {
        self.version = RegistryVersion(self.version.0 + 1);
        let name = record.announcement.server.clone();
        self.servers.insert(name, RegisteredServer { record, changed: self.version, lease_expiry });
    }

    fn remove(&mut self, server: &ServerName) {
        self.servers.remove(server);
        self.version = RegistryVersion(self.version.0 + 1);
        self.removals.push_back((self.version, server.clone()));
        if self.removals.len() > MAX_KEPT_REMOVALS
            && let Some((version, _)) = self.removals.pop_front()
        {
            self.pruned = version;
        }
    }
}
