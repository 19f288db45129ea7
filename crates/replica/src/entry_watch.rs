//! The leader's watch over entries: who was heard of when, and at which view.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, EntryInfo, EntryName, ViewVersion};

/// How long an entry may be silent before it loses its registration and its ranges.
pub(crate) const ENTRY_LEASE: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
struct EntrySighting {
    seen: Instant,
    version: ViewVersion,
}

/// When each entry was last heard of. Kept by the leader only, and not replicated.
#[derive(Debug)]
pub(crate) struct EntryWatch {
    since: Instant,
    sightings: BTreeMap<EntryName, EntrySighting>,
}

impl EntryWatch {
    /// Starts a watch that gives every entry a whole lease.
    pub(crate) fn new(now: Instant) -> Self {
        Self { since: now, sightings: BTreeMap::new() }
    }

    /// Notes a request of an entry.
    pub(crate) fn observe(&mut self, entry: &EntryName, version: ViewVersion, now: Instant) {
        self.sightings.insert(entry.clone(), EntrySighting { seen: now, version });
    }

    /// Returns the view version and silence of an entry.
    pub(crate) fn sighting(
        &self,
        entry: &EntryName,
        now: Instant,
    ) -> Option<(ViewVersion, Duration)> {
        let sighting = self.sightings.get(entry)?;
        Some((sighting.version, now.saturating_duration_since(sighting.seen)))
    }

    /// Returns the commands that register a new or changed entry.
    pub(crate) fn registration(view: &ClusterView, entry: &EntryInfo) -> Vec<Command> {
        let known = view.entry(&entry.name);
        if known == Some(entry) {
            return Vec::new();
        }
        let is_serving_change = known.is_none_or(|info| info.serving != entry.serving);
        let mut commands = vec![Command::PutEntry(entry.clone())];
        if is_serving_change {
            commands.push(Command::BalanceRanges);
        }
        commands
    }

    /// Returns the commands that remove the entries whose lease has run out.
    pub(crate) fn expirations(&self, view: &ClusterView, now: Instant) -> Vec<Command> {
        let is_silent = |entry: &&EntryInfo| {
            let seen =
                self.sightings.get(&entry.name).map_or(self.since, |s| s.seen.max(self.since));
            now.saturating_duration_since(seen) > ENTRY_LEASE
        };
        let mut commands: Vec<Command> = view
            .entries()
            .filter(is_silent)
            .map(|entry| Command::RemoveEntry(entry.name.clone(), entry.incarnation))
            .collect();
        if !commands.is_empty() {
            commands.push(Command::BalanceRanges);
        }
        commands
    }
}
