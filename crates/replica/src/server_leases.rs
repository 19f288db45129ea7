//! Leases of registered servers, tracked by the leader.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use types::{ClusterView, Command, ServerIncarnation, ServerName};

/// How long a server stays registered without contact. Entries probe servers before they use them,
/// so a stale registration costs little.
pub(crate) const SERVER_LEASE: Duration = Duration::from_secs(12);
/// Period of the scan for expired leases.
const SCAN_PERIOD: Duration = Duration::from_secs(1);

/// Time of the last contact with each server. Kept by the leader only, and not replicated.
#[derive(Debug)]
pub(crate) struct ServerLeases {
    last_scan: Instant,
    contacts: BTreeMap<ServerName, (ServerIncarnation, Instant)>,
}

impl ServerLeases {
    /// Creates an empty table. The first scan grants a full lease to every server without contact.
    pub(crate) fn new(now: Instant) -> Self {
        Self { last_scan: now, contacts: BTreeMap::new() }
    }

    /// Renews the leases of servers that have announced themselves.
    pub(crate) fn observe(&mut self, servers: Vec<(ServerName, ServerIncarnation)>, now: Instant) {
        for (server, incarnation) in servers {
            self.contacts.insert(server, (incarnation, now));
        }
    }

    /// Returns the commands that remove servers with an expired lease. Returns none within
    /// [`SCAN_PERIOD`] after the last scan.
    pub(crate) fn expirations(&mut self, view: &ClusterView, now: Instant) -> Vec<Command> {
        if now.saturating_duration_since(self.last_scan) < SCAN_PERIOD {
            return Vec::new();
        }
        self.last_scan = now;
        self.contacts.retain(|server, _| view.server(server).is_some());
        let mut commands = Vec::new();
        for server in view.servers() {
            let initial = (server.incarnation, now);
            let contact = self.contacts.entry(server.server.clone()).or_insert(initial);
            if contact.0 != server.incarnation {
                *contact = initial;
            }
            if now.saturating_duration_since(contact.1) > SERVER_LEASE {
                commands.push(Command::Expire(server.server.clone(), server.incarnation));
            }
        }
        commands
    }
}
