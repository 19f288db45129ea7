//! Builds the replica's status for operators.

use super::ReplicaDriver;
use crate::{EntryStatus, MemberStatus, ReplicaStatus};
use consensus::{LogIndex, Member};
use std::time::Instant;
use types::EntryInfo;

impl ReplicaDriver {
    pub(super) fn status(&self) -> ReplicaStatus {
        let now = Instant::now();
        let followers = self.core.follower_status();
        let member_status = |member: &Member| {
            let follower = followers.iter().find(|follower| follower.id == member.id);
            let last = self.core.last_index().0;
            MemberStatus {
                member: member.clone(),
                lag: follower.map(|follower| last.saturating_sub(follower.matched.0)),
                is_active: follower.map(|follower| follower.is_active),
            }
        };
        let entry_status = |info: &EntryInfo| {
            let contact =
                self.entry_leases.last_contact(&info.name, now).filter(|_| self.core.is_leader());
            EntryStatus {
                info: info.clone(),
                view: contact.map(|(version, _)| version),
                age_ms: contact.map(|(_, age)| age.as_millis() as u64),
            }
        };
        ReplicaStatus {
            id: self.settings.identity,
            is_initialised: self.core.last_index() > LogIndex(0),
            is_leader: self.core.is_leader(),
            is_stalled: self.stalled.is_some(),
            term: self.core.term().0,
            commit: self.core.commit().0,
            leader: self.core.leader().0,
            members: self.core.membership().members().iter().map(member_status).collect(),
            view: self.state.view().version,
            claims: self.state.claim_count(),
            entries: self.state.view().entries().map(entry_status).collect(),
        }
    }
}
