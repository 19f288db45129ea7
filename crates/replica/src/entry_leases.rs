//! Leases of entries, tracked by the leader.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, EntryInfo, EntryName, ViewVersion};

/// How long an entry keeps its registration and its ranges without contact.
pub(crate) const ENTRY_LEASE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
struct EntryContact {
    last_seen: Instant,
    version: ViewVersion,
}

/// Last contact with each entry. Kept by the leader only, and not replicated.
#[derive(Debug)]
pub(crate) struct EntryLeases {
    started: Instant,
    contacts: BTreeMap<EntryName, EntryContact>,
}

impl EntryLeases {
    /// Creates a table that grants every entry a full lease from `now`.
    pub(crate) fn new(now: Instant) -> Self {
        Self { started: now, contacts: BTreeMap::new() }
    }

    /// Renews an entry's lease and records the version of its view.
    pub(crate) fn observe(&mut self, entry: &EntryName, version: ViewVersion, now: Instant) {
        self.contacts.insert(entry.clone(), EntryContact { last_seen: now, version });
    }

    /// Returns an entry's view version and the time since the last contact with it.
    pub(crate) fn last_contact(
        &self,
        entry: &EntryName,
        now: Instant,
    ) -> Option<(ViewVersion, Duration)> {
        let contact = self.contacts.get(entry)?;
        Some((contact.version, now.saturating_duration_since(contact.last_seen)))
    }

    /// Returns the commands that register a new or changed entry.
    pub(crate) fn registration(view: &ClusterView, entry: &EntryInfo) -> Vec<Command> {
        let known = view.entry(&entry.name);
        if known == Some(entry) {
            return Vec::new();
        }
        let owns_shards = entry.owns_shards || known.is_some_and(|info| info.owns_shards);
        let is_serving_change = known.is_none_or(|info| info.serving != entry.serving);
        let mut commands = vec![Command::PutEntry(entry.clone())];
        if owns_shards && is_serving_change {
            commands.push(Command::BalanceRanges);
        }
        commands
    }

    /// Returns the commands that remove entries with an expired lease.
    pub(crate) fn expirations(&self, view: &ClusterView, now: Instant) -> Vec<Command> {
        let is_expired = |entry: &&EntryInfo| {
            let contact = self.contacts.get(&entry.name);
            let last_seen =
                contact.map_or(self.started, |contact| contact.last_seen.max(self.started));
            now.saturating_duration_since(last_seen) > ENTRY_LEASE
        };
        let expired: Vec<&EntryInfo> = view.entries().filter(is_expired).collect();
        let remove =
            |entry: &&EntryInfo| Command::RemoveEntry(entry.name.clone(), entry.incarnation);
        let mut commands: Vec<Command> = expired.iter().map(remove).collect();
        if expired.iter().any(|entry| entry.owns_shards) {
            commands.push(Command::BalanceRanges);
        }
        commands
    }
}
