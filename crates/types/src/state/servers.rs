//! The registry of servers that announce themselves.

use super::{AnnounceDecision, ClusterState, CommandAnswer};
use crate::{Announcement, ServerIncarnation, ServerName, ServerState, ViewChange};
use std::sync::Arc;

/// How many servers that left are remembered, so that a delayed announcement does not register
/// them again.
const DEPARTURE_MEMORY: usize = 20_000;

impl ClusterState {
    pub(super) fn announce(&mut self, server: &Arc<Announcement>) -> AnnounceDecision {
        let name = &server.server;
        if self.departed.get(name).is_some_and(|gone| *gone >= server.incarnation) {
            return AnnounceDecision::Stale;
        }
        if let Some(held) = self.view.server(name)
            && let Some(decision) = decide_known(held, server)
        {
            return decision;
        }
        let at_address = self.view.servers().find(|held| held.address == server.address);
        if let Some(held) = at_address.filter(|held| held.server != *name) {
            if held.incarnation >= server.incarnation {
                return AnnounceDecision::Stale;
            }
            let (former, incarnation) = (held.server.clone(), held.incarnation);
            self.remove_server(&former, incarnation);
        }
        self.change_view(ViewChange::PutServer(server.clone()));
        AnnounceDecision::Registered
    }

    pub(super) fn depart(&mut self, server: &ServerName) -> CommandAnswer {
        if let Some(held) = self.view.server(server) {
            let incarnation = held.incarnation;
            self.remove_server(server, incarnation);
        }
        CommandAnswer::Done
    }

    pub(super) fn expire(
        &mut self,
        server: &ServerName,
        incarnation: ServerIncarnation,
    ) -> CommandAnswer {
        if self.view.holds_server(server, incarnation) {
            self.change_view(ViewChange::RemoveServer(server.clone()));
        }
        CommandAnswer::Done
    }

    pub(super) fn remove_server(&mut self, server: &ServerName, incarnation: ServerIncarnation) {
        self.change_view(ViewChange::RemoveServer(server.clone()));
        if self.departed.insert(server.clone(), incarnation).is_none() {
            self.departed_order.push_back(server.clone());
        }
        if self.departed_order.len() > DEPARTURE_MEMORY
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
    }
}

/// Decides an announcement of a server that is registered. Returns `None` if it replaces what the
/// registry holds.
fn decide_known(held: &Announcement, server: &Announcement) -> Option<AnnounceDecision> {
    if server.incarnation != held.incarnation {
        let is_older = server.incarnation < held.incarnation;
        return is_older.then_some(AnnounceDecision::Stale);
    }
    let is_same = held.service == server.service
        && held.address == server.address
        && held.domain == server.domain;
    if !is_same {
        return Some(AnnounceDecision::Contradicts);
    }
    // A server that has begun to leave stays leaving until it starts again.
    if held.state == server.state || held.state == ServerState::Leaving {
        return Some(AnnounceDecision::Registered);
    }
    (server.sequence <= held.sequence).then_some(AnnounceDecision::Stale)
}
