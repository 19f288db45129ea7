//! The leader role: replication, commits, quorum rounds for reads, membership changes and
//! leadership transfer.

use crate::{
    AppendResult, Consensus, ConsensusError, Envelope, LogEntry, LogIndex, LogPayload, MemberRole,
    MembershipChange, MembershipError, Message, ReadToken, ReadyRead, ReplicaId,
    progress::FollowerProgress,
    role::{LeaderState, PendingRead, RoleState},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, VecDeque};
use types::{Command, LogTime};

/// Replication status of a follower, for status pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerStatus {
    /// Identity of the follower.
    pub id: ReplicaId,
    /// Index up to which its log equals the leader's.
    pub matched: LogIndex,
    /// Whether it answered, or was added, since the last quorum check.
    pub is_active: bool,
}

impl Consensus {
    /// Appends a command to the log. Fails unless this replica leads.
    pub fn propose(&mut self, time: LogTime, command: Command) -> Result<LogIndex, ConsensusError> {
        self.ensure_leader()?;
        Ok(self.append(time, LogPayload::Command(command)))
    }

    /// Sends new entries to the followers. Called once per batch of proposals.
    pub fn replicate(&mut self) {
        for id in self.followers() {
            self.send_entries(id);
        }
    }

    /// Queues a read, which may be served after the next quorum round. Fails unless this replica
    /// leads.
    pub fn queue_read(&mut self, token: ReadToken) -> Result<(), ConsensusError> {
        self.ensure_leader()?;
        if let RoleState::Leader(leader_state) = &mut self.role {
            let round = leader_state.round + 1;
            leader_state.reads.push_back(PendingRead { token, round });
        }
        Ok(())
    }

    /// Starts a quorum round for all reads queued since the last one, with a heartbeat to all other
    /// voters.
    pub fn start_read_round(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        if leader_state.reads.back().is_none_or(|read| read.round <= leader_state.round) {
            return;
        }
        leader_state.round += 1;
        for id in self.other_voters() {
            self.send_heartbeat(id);
        }
        self.complete_reads();
    }

    /// Appends a membership change of one member to the log, and replicates it.
    ///
    /// Fails unless this replica leads, if another change is in progress, or if the change does not
    /// fit the membership.
    pub fn change_membership(
        &mut self,
        time: LogTime,
        change: &MembershipChange,
    ) -> Result<LogIndex, ConsensusError> {
        let RoleState::Leader(leader_state) = &self.role else {
            return Err(ConsensusError::NotLeader(self.leader()));
        };
        if self.is_membership_change_in_progress() {
            return Err(MembershipError::ChangeInProgress.into());
        }
        if let MembershipChange::Promote(id) = change {
            let progress =
                leader_state.progress.get(id).ok_or(MembershipError::NoSuchMember(*id))?;
            if !progress.is_active || progress.matched < self.commit {
                return Err(MembershipError::NotCaughtUp(*id).into());
            }
        }
        let membership = self.membership().with_change(change)?;
        let index = self.append(time, LogPayload::Membership(membership));
        self.update_progress_members();
        self.replicate();
        Ok(index)
    }

    /// Returns whether this replica leads, but cannot start a membership change yet: another one is
    /// not committed, or no entry of its term is.
    pub fn is_membership_change_in_progress(&self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        let is_pending = self.memberships.last().is_some_and(|(since, _)| *since > self.commit);
        is_pending || self.commit < leader_state.first_index
    }

    /// Asks the most advanced active voter to take over, provided it holds the whole log. Returns
    /// its identity, or `None` if no follower was asked.
    pub fn transfer_leadership(&mut self) -> Option<ReplicaId> {
        let RoleState::Leader(leader_state) = &self.role else {
            return None;
        };
        let voters =
            leader_state.progress.iter().filter(|(id, _)| self.membership().is_voter(**id));
        let (id, progress) =
            voters.filter(|(_, p)| p.is_active).max_by_key(|(_, progress)| progress.matched)?;
        if progress.matched < self.log.last_index() {
            return None;
        }
        let id = *id;
        self.send(id, Message::TimeoutNow);
        Some(id)
    }

    /// Returns the status of all followers; empty unless this replica leads.
    pub fn follower_status(&self) -> Vec<FollowerStatus> {
        let RoleState::Leader(leader_state) = &self.role else {
            return Vec::new();
        };
        let status = |(id, p): (&ReplicaId, &FollowerProgress)| FollowerStatus {
            id: *id,
            matched: p.matched,
            is_active: p.is_active,
        };
        leader_state.progress.iter().map(status).collect()
    }

    pub(crate) fn become_leader(&mut self) {
        self.record_leader_contact();
        let first_index = self.log.last_index().next();
        self.role = RoleState::Leader(LeaderState {
            progress: BTreeMap::new(),
            first_index,
            round: 0,
            reads: VecDeque::new(),
            ticks_since_heartbeat: 0,
            ticks_since_check: 0,
        });
        self.leader = Some(self.id);
        self.append(self.log.last_time(), LogPayload::Noop);
        self.update_progress_members();
        self.replicate();
    }

    pub(crate) fn tick_leader(&mut self) {
        let (heartbeat_ticks, election_ticks) =
            (self.settings.heartbeat_ticks, self.settings.election_ticks);
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        leader_state.ticks_since_heartbeat += 1;
        leader_state.ticks_since_check += 1;
        leader_state.progress.values_mut().for_each(FollowerProgress::tick);
        let is_heartbeat_due = leader_state.ticks_since_heartbeat >= heartbeat_ticks;
        if leader_state.ticks_since_check >= election_ticks && !self.check_quorum() {
            self.become_follower(self.term(), None);
            return;
        }
        if is_heartbeat_due {
            self.send_heartbeats();
        }
    }

    pub(crate) fn handle_append_answer(
        &mut self,
        from: ReplicaId,
        result: AppendResult,
        round: u64,
    ) {
        let last_index = self.log.last_index();
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return;
        };
        progress.record_answer(round);
        match result {
            AppendResult::Matched(index) => {
                progress.record_match(index.min(last_index));
                self.advance_commit();
                self.send_entries(from);
            }
            AppendResult::Rejected { prev_index, hint } => {
                if progress.record_rejection(prev_index, hint) {
                    self.send_heartbeat(from);
                }
            }
        }
        self.complete_reads();
    }

    /// Commits the entries that a quorum holds durably, provided the last of them is of the current
    /// term. A leader that is no longer a voter steps down once its removal is committed.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let durable_index = |id: ReplicaId| {
            if id == self.id {
                self.persisted
            } else {
                leader_state.progress.get(&id).map_or(LogIndex(0), |progress| progress.matched)
            }
        };
        let mut indexes: SmallVec<[LogIndex; 5]> =
            self.membership().voters().map(durable_index).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&quorum_index) = indexes.get(indexes.len() / 2) else {
            return;
        };
        if quorum_index > self.commit && self.log.term(quorum_index) == Some(self.term()) {
            self.commit = quorum_index;
            self.complete_reads();
            if !self.membership().is_voter(self.id)
                && self.memberships.last().is_some_and(|(since, _)| *since <= quorum_index)
            {
                self.replicate();
                self.become_follower(self.term(), None);
            }
        }
    }

    fn ensure_leader(&self) -> Result<(), ConsensusError> {
        if self.is_leader() { Ok(()) } else { Err(ConsensusError::NotLeader(self.leader())) }
    }

    fn followers(&self) -> SmallVec<[ReplicaId; 5]> {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.progress.keys().copied().collect(),
            _ => SmallVec::new(),
        }
    }

    /// Adds progress for new members and removes it for former ones.
    fn update_progress_members(&mut self) {
        let ids: SmallVec<[ReplicaId; 5]> =
            self.membership().members().iter().map(|m| m.id).filter(|id| *id != self.id).collect();
        let next = self.log.last_index();
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.progress.retain(|id, _| ids.contains(id));
            for id in ids {
                leader_state.progress.entry(id).or_insert_with(|| FollowerProgress::new(next));
            }
        }
    }

    /// Returns whether a quorum was heard from since the last check, and starts the next period.
    fn check_quorum(&mut self) -> bool {
        let RoleState::Leader(leader_state) = &self.role else {
            return false;
        };
        let is_active = |id: ReplicaId| {
            id == self.id || leader_state.progress.get(&id).is_some_and(|p| p.is_active)
        };
        let has_quorum = self.membership().has_quorum(is_active);
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.ticks_since_check = 0;
            leader_state.progress.values_mut().for_each(|progress| progress.is_active = false);
        }
        has_quorum
    }

    fn send_heartbeats(&mut self) {
        if let RoleState::Leader(leader_state) = &mut self.role {
            leader_state.ticks_since_heartbeat = 0;
        }
        for id in self.followers() {
            self.send_heartbeat(id);
        }
    }

    /// Sends a follower the entries that it lacks, unless too many messages are unacknowledged.
    fn send_entries(&mut self, to: ReplicaId) {
        let last_index = self.log.last_index();
        while let Some(progress) = self.progress(to)
            && progress.may_send_entries()
            && progress.next <= last_index
        {
            let next = progress.next;
            if next <= self.log.base_index() {
                return self.send_snapshot(to);
            }
            let (max_entries, max_bytes) =
                (self.settings.max_batch_entries, self.settings.max_batch_bytes);
            let entries = self.log.slice(next, max_entries, max_bytes).to_vec();
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return;
            };
            self.send_append(to, next.previous(), entries);
            if let Some(progress) = self.progress_mut(to) {
                progress.record_sent(last);
            }
        }
    }

    /// Sends a heartbeat without entries. A follower that lacks the entry before the next one to
    /// send rejects it and states from where to continue.
    fn send_heartbeat(&mut self, to: ReplicaId) {
        let Some(next) = self.progress(to).map(|progress| progress.next) else {
            return;
        };
        if next <= self.log.base_index() {
            return self.send_snapshot(to);
        }
        self.send_append(to, next.previous(), Vec::new());
    }

    fn send_append(&mut self, to: ReplicaId, prev_index: LogIndex, entries: Vec<LogEntry>) {
        let Some(prev_term) = self.log.term(prev_index) else {
            return;
        };
        let (commit, round) = (self.commit, self.round());
        let message = Message::Append { prev_index, prev_term, entries, commit, round };
        // A leader counts its own entries towards the quorum only once they are durable, so its
        // appends may be sent before that. A new term must be durable first.
        let envelope = Envelope { from: self.id, to, term: self.term(), message };
        if self.effects.hard_state.is_some() {
            self.effects.messages.push(envelope);
        } else {
            self.effects.early_messages.push(envelope);
        }
    }

    fn send_snapshot(&mut self, to: ReplicaId) {
        let (image, round) = (self.image.clone(), self.round());
        let Some(image) = image else {
            return;
        };
        if let Some(progress) = self.progress_mut(to) {
            progress.record_snapshot_sent(image.index);
        }
        self.send(to, Message::Install { image, round });
    }

    fn round(&self) -> u64 {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.round,
            _ => 0,
        }
    }

    fn progress(&self, id: ReplicaId) -> Option<&FollowerProgress> {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.progress.get(&id),
            _ => None,
        }
    }

    fn progress_mut(&mut self, id: ReplicaId) -> Option<&mut FollowerProgress> {
        match &mut self.role {
            RoleState::Leader(leader_state) => leader_state.progress.get_mut(&id),
            _ => None,
        }
    }

    fn complete_reads(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        if self.commit < leader_state.first_index {
            return;
        }
        let is_acked = |round: u64| {
            self.membership().has_quorum(|id| {
                id == self.id
                    || leader_state.progress.get(&id).is_some_and(|p| p.acked_round >= round)
            })
        };
        let started_round = leader_state.round;
        let ready_count = leader_state
            .reads
            .iter()
            .take_while(|read| read.round <= started_round && is_acked(read.round))
            .count();
        let commit = self.commit;
        if let RoleState::Leader(leader_state) = &mut self.role {
            for read in leader_state.reads.drain(..ready_count) {
                self.effects.reads.push(ReadyRead { token: read.token, index: commit });
            }
        }
    }

    /// Returns whether a replica is a learner.
    pub fn is_learner(&self, id: ReplicaId) -> bool {
        self.membership().get(id).is_some_and(|member| member.role == MemberRole::Learner)
    }
}
