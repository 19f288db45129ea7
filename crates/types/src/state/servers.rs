//! The registry of servers that announce themselves.

use super::{AnnounceDecision, ClusterState, CommandAnswer};
use crate::{Announcement, ServerIncarnation, ServerName, ServerState, ViewChange};
use std::sync::Arc;

/// Maximum number of departed servers kept, so that a delayed announcement does not register them
/// again.
const MAX_DEPARTED_SERVERS: usize = 20_000;

impl ClusterState {
    pub(super) fn announce(&mut self, announcement: &Arc<Announcement>) -> AnnounceDecision {
        let name = &announcement.server;
        if self.departed.get(name).is_some_and(|departed| *departed >= announcement.incarnation) {
            return AnnounceDecision::Stale;
        }
        if let Some(registered) = self.view.server(name)
            && let Some(decision) = decide_update(registered, announcement)
        {
            return decision;
        }
        // A newer server at the same address replaces the earlier one, whose process has ended.
        let same_address =
            self.view.servers().find(|registered| registered.address == announcement.address);
        if let Some(registered) = same_address.filter(|registered| registered.server != *name) {
            if registered.incarnation >= announcement.incarnation {
                return AnnounceDecision::Stale;
            }
            let (previous, incarnation) = (registered.server.clone(), registered.incarnation);
            self.remove_server(&previous, incarnation);
        }
        self.change_view(ViewChange::PutServer(announcement.clone()));
        AnnounceDecision::Registered
    }

    pub(super) fn depart(&mut self, server: &ServerName) -> CommandAnswer {
        if let Some(registered) = self.view.server(server) {
            let incarnation = registered.incarnation;
            self.remove_server(server, incarnation);
        }
        CommandAnswer::Done
    }

    pub(super) fn expire(
        &mut self,
        server: &ServerName,
        incarnation: ServerIncarnation,
    ) -> CommandAnswer {
        // Not recorded as departed, so that the same incarnation may register again.
        if self.view.has_server(server, incarnation) {
            self.change_view(ViewChange::RemoveServer(server.clone()));
        }
        CommandAnswer::Done
    }

    pub(super) fn remove_server(&mut self, server: &ServerName, incarnation: ServerIncarnation) {
        self.change_view(ViewChange::RemoveServer(server.clone()));
        if self.departed.insert(server.clone(), incarnation).is_none() {
            self.departed_order.push_back(server.clone());
        }
        if self.departed_order.len() > MAX_DEPARTED_SERVERS
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }
}

/// Decides on an announcement of a registered server. Returns `None` if the announcement replaces
/// the registered one.
fn decide_update(
    registered: &Announcement,
    announcement: &Announcement,
) -> Option<AnnounceDecision> {
    if announcement.incarnation != registered.incarnation {
        let is_older = announcement.incarnation < registered.incarnation;
        return is_older.then_some(AnnounceDecision::Stale);
    }
    let is_same = registered.service == announcement.service
        && registered.address == announcement.address
        && registered.domain == announcement.domain;
    if !is_same {
        return Some(AnnounceDecision::Contradicts);
    }
    // A leaving server keeps that state until it restarts.
    if registered.state == announcement.state || registered.state == ServerState::Leaving {
        return Some(AnnounceDecision::Registered);
    }
    (announcement.sequence <= registered.sequence).then_some(AnnounceDecision::Stale)
}
