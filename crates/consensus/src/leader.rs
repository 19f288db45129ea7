//! What a leader does: replication, commits, quorum rounds for reads, membership, transfer.

use crate::{
    Consensus, ConsensusError, LogIndex, LogPayload, MemberRole, MembershipChange, MembershipError,
    Message, ReadToken, ReadyRead, ReplicaId,
    role::{Leadership, PendingRead, Progress, RoleState},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};
use types::{Command, LogTime};

/// What status pages show of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerStatus {
    /// The follower.
    pub id: ReplicaId,
    /// Its log equals the leader's up to here.
    pub matched: LogIndex,
    /// It answered within the last election timeout.
    pub is_active: bool,
}

/// Ticks after which an unanswered snapshot is sent again.
const INSTALL_RETRY_TICKS: u32 = 40;

impl Consensus {
    /// Puts a command into the log.
    pub fn propose(&mut self, time: LogTime, command: Command) -> Result<LogIndex, ConsensusError> {
        self.check_leader()?;
        Ok(self.append(time, LogPayload::Command(command)))
    }

    /// Sends what was proposed to the followers. Called once for a batch of proposals.
    pub fn replicate(&mut self) {
        for id in self.followers() {
            self.send_entries(id, false);
        }
    }

    /// Begins a quorum round after which the read may be served.
    pub fn read(&mut self, token: ReadToken) -> Result<(), ConsensusError> {
        self.check_leader()?;
        if let RoleState::Leader(leadership) = &mut self.role {
            let round = leadership.round + 1;
            leadership.reads.push_back(PendingRead { token, round });
        }
        Ok(())
    }

    /// Starts the round for all reads since the last one, by a heartbeat to all followers.
    pub fn start_round(&mut self) {
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership.reads.back().is_none_or(|read| read.round <= leadership.round) {
            return;
        }
        leadership.round += 1;
        self.heartbeat();
        self.finish_reads();
    }

    /// Changes the set of replicas by one member.
    pub fn change_membership(
        &mut self,
        time: LogTime,
        change: &MembershipChange,
    ) -> Result<LogIndex, ConsensusError> {
        self.check_leader()?;
        let RoleState::Leader(leadership) = &self.role else {
            return Err(ConsensusError::NotLeader(self.leader()));
        };
        let is_pending = self.memberships.last().is_some_and(|(since, _)| *since > self.commit);
        if is_pending || self.commit < leadership.first_index {
            return Err(MembershipError::Busy.into());
        }
        if let MembershipChange::Promote(id) = change {
            let progress = leadership.progress.get(id).ok_or(MembershipError::Absent(*id))?;
            if !progress.is_active || progress.matched < self.commit {
                return Err(MembershipError::Behind(*id).into());
            }
        }
        let membership = self.membership().changed(change)?;
        let index = self.append(time, LogPayload::Membership(membership));
        self.sync_progress();
        self.replicate();
        Ok(index)
    }

    /// Asks the most advanced follower to take over. Returns it, if there is one.
    pub fn transfer_leadership(&mut self) -> Option<ReplicaId> {
        let RoleState::Leader(leadership) = &self.role else {
            return None;
        };
        let voters = leadership.progress.iter().filter(|(id, _)| self.membership().is_voter(**id));
        let (id, progress) =
            voters.filter(|(_, p)| p.is_active).max_by_key(|(_, progress)| progress.matched)?;
        if progress.matched < self.log.last_index() {
            return None;
        }
        let id = *id;
        self.send(id, Message::TimeoutNow);
        Some(id)
    }

    /// Returns how far the followers are, empty unless this replica leads.
    pub fn follower_status(&self) -> Vec<FollowerStatus> {
        let RoleState::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let status = |(id, p): (&ReplicaId, &Progress)| FollowerStatus {
            id: *id,
            matched: p.matched,
            is_active: p.is_active,
        };
        leadership.progress.iter().map(status).collect()
    }

    pub(crate) fn become_leader(&mut self) {
        self.note_leader();
        let first_index = self.log.last_index().next();
        self.role = RoleState::Leader(Leadership {
            progress: BTreeMap::new(),
            first_index,
            round: 0,
            reads: VecDeque::new(),
            ticks_since_heartbeat: 0,
            ticks_since_check: 0,
        });
        self.leader = Some(self.id);
        self.append(self.log.last_time(), LogPayload::Noop);
        self.sync_progress();
        self.replicate();
    }

    pub(crate) fn tick_leader(&mut self) {
        let (heartbeat_ticks, election_ticks) =
            (self.settings.heartbeat_ticks, self.settings.election_ticks);
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.ticks_since_heartbeat += 1;
        leadership.ticks_since_check += 1;
        for progress in leadership.progress.values_mut() {
            progress.installing_ticks = progress.installing_ticks.saturating_sub(1);
        }
        let heartbeat_is_due = leadership.ticks_since_heartbeat >= heartbeat_ticks;
        if leadership.ticks_since_check >= election_ticks && !self.check_quorum() {
            self.become_follower(self.term(), None);
            return;
        }
        if heartbeat_is_due {
            self.heartbeat();
        }
    }

    pub(crate) fn take_append_answer(
        &mut self,
        from: ReplicaId,
        index: LogIndex,
        accepted: bool,
        round: u64,
    ) {
        let last = self.log.last_index();
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.is_active = true;
        progress.acked_round = progress.acked_round.max(round);
        if accepted {
            progress.installing_ticks = 0;
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched.next());
        } else {
            progress.next = index.min(last).next().max(progress.matched.next());
        }
        let is_behind = progress.next <= last;
        if accepted {
            self.advance_commit();
        }
        if is_behind {
            self.send_entries(from, false);
        }
        self.finish_reads();
    }

    /// Commits what a quorum holds durably, provided it is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leadership) = &self.role else {
            return;
        };
        let durable = |id: ReplicaId| {
            if id == self.id {
                self.persisted
            } else {
                leadership.progress.get(&id).map_or(LogIndex(0), |progress| progress.matched)
            }
        };
        let mut indexes: SmallVec<[LogIndex; 5]> =
            self.membership().voters().map(durable).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&agreed) = indexes.get(indexes.len() / 2) else {
            return;
        };
        if agreed > self.commit && self.log.term(agreed) == Some(self.term()) {
            self.commit = agreed;
            self.finish_reads();
            if !self.membership().is_voter(self.id)
                && self.memberships.last().is_some_and(|(since, _)| *since <= agreed)
            {
                self.replicate();
                self.become_follower(self.term(), None);
            }
        }
    }

    fn check_leader(&self) -> Result<(), ConsensusError> {
        if self.is_leader() { Ok(()) } else { Err(ConsensusError::NotLeader(self.leader())) }
    }

    fn followers(&self) -> SmallVec<[ReplicaId; 5]> {
        match &self.role {
            RoleState::Leader(leadership) => leadership.progress.keys().copied().collect(),
            _ => SmallVec::new(),
        }
    }

    /// Makes the followers' progress match the set of replicas.
    fn sync_progress(&mut self) {
        let ids: SmallVec<[ReplicaId; 5]> =
            self.membership().members().iter().map(|m| m.id).filter(|id| *id != self.id).collect();
        let next = self.log.last_index();
        if let RoleState::Leader(leadership) = &mut self.role {
            leadership.progress.retain(|id, _| ids.contains(id));
            for id in ids {
                leadership.progress.entry(id).or_insert(Progress {
                    next,
                    matched: LogIndex(0),
                    acked_round: 0,
                    is_active: true,
                    installing_ticks: 0,
                });
            }
        }
    }

    /// Says whether a quorum was heard since the last check, and starts the next period.
    fn check_quorum(&mut self) -> bool {
        let RoleState::Leader(leadership) = &self.role else {
            return false;
        };
        let is_active = |id: ReplicaId| {
            id == self.id || leadership.progress.get(&id).is_some_and(|p| p.is_active)
        };
        let has_quorum = self.membership().has_quorum(is_active);
        if let RoleState::Leader(leadership) = &mut self.role {
            leadership.ticks_since_check = 0;
            leadership.progress.values_mut().for_each(|progress| progress.is_active = false);
        }
        has_quorum
    }

    fn heartbeat(&mut self) {
        if let RoleState::Leader(leadership) = &mut self.role {
            leadership.ticks_since_heartbeat = 0;
        }
        for id in self.followers() {
            self.send_entries(id, true);
        }
    }

    /// Sends the entries that a follower lacks. A heartbeat is sent even if there are none, and
    /// starts again from what the follower is known to hold.
    fn send_entries(&mut self, to: ReplicaId, is_heartbeat: bool) {
        let (last, base) = (self.log.last_index(), self.log.base_index());
        let max_batch = self.settings.max_batch;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let round = leadership.round;
        let Some(progress) = leadership.progress.get_mut(&to) else {
            return;
        };
        if is_heartbeat && progress.matched > LogIndex(0) {
            progress.next = progress.matched.next();
        }
        if progress.next > last && !is_heartbeat {
            return;
        }
        if progress.next <= base {
            if progress.installing_ticks == 0
                && let Some(image) = self.image.clone()
            {
                progress.installing_ticks = INSTALL_RETRY_TICKS;
                progress.next = image.index.next();
                self.send(to, Message::Install { image, round });
            }
            return;
        }
        let prev_index = progress.next.previous();
        let entries = self.log.slice(progress.next, max_batch).to_vec();
        progress.next = LogIndex(progress.next.0 + entries.len() as u64);
        let Some(prev_term) = self.log.term(prev_index) else {
            return;
        };
        let commit = self.commit;
        let message = Message::Append { prev_index, prev_term, entries, commit, round };
        // A leader's own entries count only once they are durable, so its appends need not wait.
        let envelope = crate::Envelope { from: self.id, to, term: self.term(), message };
        if self.effects.hard_state.is_some() {
            self.effects.messages.push(envelope);
        } else {
            self.effects.early_messages.push(envelope);
        }
    }

    fn finish_reads(&mut self) {
        let RoleState::Leader(leadership) = &self.role else {
            return;
        };
        if self.commit < leadership.first_index {
            return;
        }
        let acked = |round: u64| {
            self.membership().has_quorum(|id| {
                id == self.id
                    || leadership.progress.get(&id).is_some_and(|p| p.acked_round >= round)
            })
        };
        let started = leadership.round;
        let done = leadership
            .reads
            .iter()
            .take_while(|read| read.round <= started && acked(read.round))
            .count();
        let commit = self.commit;
        if let RoleState::Leader(leadership) = &mut self.role {
            for read in leadership.reads.drain(..done) {
                self.effects.reads.push(ReadyRead { token: read.token, index: commit });
            }
        }
    }

    /// Says whether a member is a learner.
    pub fn is_learner(&self, id: ReplicaId) -> bool {
        self.membership().get(id).is_some_and(|member| member.role == MemberRole::Learner)
    }
}
