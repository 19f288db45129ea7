//! The leader's watch over registered servers: which one was last heard of when.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, ServerIncarnation, ServerName};

/// How long a server may be silent before it loses its registration. Entries probe servers before
/// they use them, so that a registration that is kept too long costs little.
pub(crate) const SERVER_LEASE: Duration = Duration::from_secs(12);
/// Period of the search for silent servers.
const SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// When each server was last heard of. Kept by the leader only, and not replicated.
#[derive(Debug)]
pub(crate) struct ServerWatch {
    searched: Instant,
    sightings: BTreeMap<ServerName, (ServerIncarnation, Instant)>,
}

impl ServerWatch {
    /// Starts a watch that gives every server a whole lease, counted from the first search.
    pub(crate) fn new(now: Instant) -> Self {
        Self { searched: now, sightings: BTreeMap::new() }
    }

    /// Notes servers that have announced themselves.
    pub(crate) fn observe(&mut self, servers: Vec<(ServerName, ServerIncarnation)>, now: Instant) {
        for (server, incarnation) in servers {
            self.sightings.insert(server, (incarnation, now));
        }
    }

    /// Returns the commands that remove silent servers; none if a search was made lately.
    pub(crate) fn expirations(&mut self, view: &ClusterView, now: Instant) -> Vec<Command> {
        if now.saturating_duration_since(self.searched) < SEARCH_PERIOD {
            return Vec::new();
        }
        self.searched = now;
        self.sightings.retain(|server, _| view.server(server).is_some());
        let mut commands = Vec::new();
        for server in view.servers() {
            let first = (server.incarnation, now);
            let sighting = self.sightings.entry(server.server.clone()).or_insert(first);
            if sighting.0 != server.incarnation {
                *sighting = first;
            }
            if now.saturating_duration_since(sighting.1) > SERVER_LEASE {
                commands.push(Command::Expire(server.server.clone(), server.incarnation));
            }
        }
        commands
    }
}
