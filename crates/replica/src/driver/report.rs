//! Builds the replica's status for operators.

use super::ReplicaDriver;
use crate::{EntryStatus, MemberList, MemberStatus, ReplicaStatus};
use consensus::{LeaderHint, LogIndex, Member};
use std::time::Instant;
use types::EntryInfo;

impl ReplicaDriver {
    pub(super) fn member_list(&self) -> MemberList {
        MemberList {
            id: self.settings.identity,
            is_initialised: self.core.last_index() > LogIndex(0),
            is_leader: self.core.is_leader(),
            has_leader: self.core.leader() != LeaderHint(None),
            members: self.member_status(),
        }
    }

    fn member_status(&self) -> Vec<MemberStatus> {
        let followers = self.core.follower_status();
        let last = self.core.last_index().0;
        let member_status = |member: &Member| {
            let follower = followers.iter().find(|follower| follower.id == member.id);
            MemberStatus {
                member: member.clone(),
                lag: follower.map(|follower| last.saturating_sub(follower.matched.0)),
                is_active: follower.map(|follower| follower.is_active),
            }
        };
        self.core.membership().members().iter().map(member_status).collect()
    }

    pub(super) fn status(&self) -> ReplicaStatus {
        let now = Instant::now();
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
            members: self.member_status(),
            view: self.state.view().version,
            claims: self.state.claim_count(),
            entries: self.state.view().entries().map(entry_status).collect(),
        }
    }
}
