//! The state of a replica, and the message handling that all roles share.

use crate::{
    AppendResult, Effects, Envelope, HardState, LogEntry, LogIndex, LogPayload, Membership,
    Message, ReplicaId, RestoredState, RetainedLog, SnapshotImage, Term, log::MemoryLog,
    role::RoleState,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use thiserror::Error;
use types::LogTime;

/// Upper bound of the startup rank, in ticks. A group of five voters tolerates the loss of two. Even
/// then the third voter starts its first election before the voters ahead of it start a second.
const MAX_STARTUP_RANK: u32 = 3;

/// Settings of the core. One tick is one call of [`Consensus::tick`].
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Ticks between the heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Election timeout in ticks. A replica adds a random number of ticks from 0 to this value. A
    /// leader also checks once per this period whether a quorum answered within it, and otherwise
    /// steps down.
    pub election_ticks: u32,
    /// Initial election timeout in ticks, used until this replica leads or hears from a leader.
    ///
    /// The first timeout adds the startup rank, later ones a random number of ticks from 0 to the
    /// current timeout. Each pre-vote and each election lengthens the timeout by one tick, up to
    /// `election_ticks`, since messages may take longer than the initial value. The pre-vote
    /// prevents a replica with a short timeout from deposing a live leader.
    pub startup_election_ticks: u32,
    /// Lower bound, in ticks, of the startup timeout after this replica grants a vote, because the
    /// candidate still needs disk syncs and messages before it leads.
    pub post_vote_ticks: u32,
    /// Maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// Approximate maximum size in bytes of the entries in one message. A message may always hold
    /// one entry.
    pub max_batch_bytes: usize,
    /// Seed of the random part of election timeouts.
    pub seed: u64,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            heartbeat_ticks: 2,
            election_ticks: 10,
            startup_election_ticks: 1,
            post_vote_ticks: 3,
            max_batch_entries: 2048,
            max_batch_bytes: 256 * 1024,
            seed: 0,
        }
    }
}

/// The last known leader of the current term, if any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderHint(pub Option<ReplicaId>);

/// Reason why the core refuses an input.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// This replica is not the leader.
    #[error("this replica is not the leader")]
    NotLeader(LeaderHint),
    /// The membership change is not possible.
    #[error(transparent)]
    Membership(#[from] crate::MembershipError),
}

/// The current role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Replicates the log of a leader, or waits for one.
    Follower,
    /// Asks the other voters whether they would vote for it.
    PreCandidate,
    /// Asks the other voters for their votes.
    Candidate,
    /// Appends to the log and replicates it to the followers.
    Leader,
}

/// The Raft state machine of one replica.
///
/// Invariants: the term and the commit index never decrease; at most one vote is cast per term;
/// committed entries never change.
pub struct Consensus {
    pub(crate) id: ReplicaId,
    pub(crate) settings: CoreSettings,
    pub(crate) hard_state: HardState,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: MemoryLog,
    pub(crate) image: Option<SnapshotImage>,
    /// Memberships of the snapshot and of the log, each with the index from which it is effective.
    pub(crate) memberships: Vec<(LogIndex, Membership)>,
    pub(crate) commit: LogIndex,
    /// Index of the last entry that was returned to the driver for application, or that a snapshot
    /// covers.
    pub(crate) emitted: LogIndex,
    /// Index up to which the log is durable.
    pub(crate) persisted: LogIndex,
    /// Ticks since the last message from the leader, or since the election timer was reset.
    pub(crate) ticks_since_leader: u32,
    /// Whether this replica has led or heard from a leader since it started.
    pub(crate) has_heard_leader: bool,
    /// Current election timeout in ticks while `has_heard_leader` is false.
    pub(crate) startup_ticks: u32,
    /// Value of `ticks_since_leader` at which an election starts.
    pub(crate) election_deadline: u32,
    pub(crate) effects: Effects,
    rng: SmallRng,
}

impl Consensus {
    /// Creates a replica from its durable state.
    pub fn new(id: ReplicaId, settings: CoreSettings, restored: RestoredState) -> Self {
        let log = MemoryLog::new(restored.image.as_ref(), restored.entries);
        let start = log.base_index();
        let mut memberships = Vec::new();
        if let Some(image) = &restored.image {
            memberships.push((image.index, image.membership.clone()));
        }
        for entry in log.entries() {
            if let LogPayload::Membership(membership) = &entry.payload {
                memberships.push((entry.index, membership.clone()));
            }
        }
        let rng = SmallRng::seed_from_u64(settings.seed ^ id.0);
        let persisted = log.last_index();
        let startup_ticks = settings.startup_election_ticks;
        let mut core = Self {
            id,
            settings,
            hard_state: restored.hard_state,
            role: RoleState::Follower,
            leader: None,
            log,
            image: restored.image,
            memberships,
            commit: start,
            emitted: start,
            persisted,
            ticks_since_leader: 0,
            has_heard_leader: false,
            startup_ticks,
            election_deadline: 0,
            effects: Effects::default(),
            rng,
        };
        core.election_deadline = core.settings.startup_election_ticks + core.startup_rank();
        core
    }

    /// Returns this replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the current role.
    pub fn role(&self) -> ReplicaRole {
        match self.role {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate(_) => ReplicaRole::PreCandidate,
            RoleState::Candidate(_) => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// Returns whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> LeaderHint {
        LeaderHint(self.leader)
    }

    /// Returns the index up to which the log is committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the last index of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the timestamp of the last entry of the log.
    pub fn last_time(&self) -> LogTime {
        self.log.last_time()
    }

    /// Returns the index that precedes the first entry still in memory.
    pub fn base_index(&self) -> LogIndex {
        self.log.base_index()
    }

    /// Returns the log entries still in memory.
    pub fn entries(&self) -> &[LogEntry] {
        self.log.entries()
    }

    /// Returns the current term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the effective membership, which may not be committed yet.
    pub fn membership(&self) -> &Membership {
        static EMPTY: Membership = Membership::empty();
        self.memberships.last().map_or(&EMPTY, |(_, membership)| membership)
    }

    /// Returns the membership as of an index, empty if there is none.
    pub fn membership_at(&self, index: LogIndex) -> Membership {
        let latest = self.memberships.iter().rev().find(|(since, _)| *since <= index);
        latest.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }

    /// Returns the effects of all inputs since the last call.
    pub fn take_effects(&mut self) -> Effects {
        while self.emitted < self.commit {
            let Some(entry) = self.log.get(self.emitted.next()) else {
                break;
            };
            self.effects.committed.push(entry.clone());
            self.emitted = entry.index;
        }
        std::mem::take(&mut self.effects)
    }

    /// Records that the log is durable up to `index`.
    pub fn mark_persisted(&mut self, index: LogIndex) {
        self.persisted = self.persisted.max(index.min(self.log.last_index()));
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Advances logical time by one tick.
    pub fn tick(&mut self) {
        if self.is_leader() {
            self.tick_leader();
            return;
        }
        self.ticks_since_leader += 1;
        if self.ticks_since_leader >= self.election_deadline && self.membership().is_voter(self.id)
        {
            self.start_pre_vote();
        }
    }

    /// Handles one message from another replica.
    pub fn step(&mut self, envelope: Envelope) {
        if envelope.to != self.id {
            return;
        }
        if envelope.term > self.term() && !self.adopt_term(&envelope) {
            return;
        }
        if envelope.term < self.term() {
            self.handle_stale_message(&envelope);
            return;
        }
        let Envelope { from, message, term, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                self.handle_pre_vote(from, term, last_index, last_term);
            }
            Message::PreVoteAnswer { granted } => self.handle_pre_vote_answer(from, granted),
            Message::Vote { last_index, last_term, transfer } => {
                self.handle_vote(from, last_index, last_term, transfer);
            }
            Message::VoteAnswer { granted } => self.handle_vote_answer(from, granted),
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.accept_leader(from);
                self.handle_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Message::Install { image, round } => {
                self.accept_leader(from);
                self.handle_install(from, image, round);
            }
            Message::AppendAnswer { result, round } => {
                self.handle_append_answer(from, result, round);
            }
            Message::TimeoutNow => self.start_transfer_election(),
        }
    }

    /// Creates a snapshot at `index`, at most the last entry returned for application, from `state`.
    /// Drops the log up to `index` except for the last entries that `retained` allows.
    ///
    /// Returns the new snapshot, or `None` if there is one of that or a later index already.
    pub fn compact(
        &mut self,
        index: LogIndex,
        state: std::sync::Arc<[u8]>,
        retained: RetainedLog,
    ) -> Option<&SnapshotImage> {
        let index = index.min(self.emitted);
        if self.image.as_ref().is_some_and(|image| image.index >= index) {
            return None;
        }
        let term = self.log.term(index)?;
        let time = self.log.get(index).map_or(LogTime::default(), |entry| entry.time);
        let membership = self.membership_at(index);
        self.log.compact(index, retained);
        let first_kept = self.memberships.iter().rposition(|(since, _)| *since <= index);
        self.memberships.drain(..first_kept.unwrap_or(0));
        self.image = Some(SnapshotImage { index, term, time, membership, state });
        self.image.as_ref()
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        let envelope = Envelope { from: self.id, to, term: self.term(), message };
        self.effects.messages.push(envelope);
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if let RoleState::Leader(leader_state) =
            std::mem::replace(&mut self.role, RoleState::Follower)
        {
            self.effects.failed_reads.extend(leader_state.pending_reads());
        }
        if term > self.term() {
            self.set_hard_state(HardState { term, voted_for: None });
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.effects.hard_state = Some(hard_state);
    }

    /// Returns the startup rank: when the whole group starts, the number of ticks between the first
    /// election of the first voter and that of this replica. Replicas that start together also tick
    /// together, so with a random delay of so few ticks, two of them would often start an election
    /// at the same time and split the vote.
    fn startup_rank(&self) -> u32 {
        let preceding_count = self.membership().voters().filter(|id| *id < self.id).count();
        (preceding_count as u32).min(MAX_STARTUP_RANK)
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let ticks = match self.has_heard_leader {
            true => self.settings.election_ticks,
            false => self.startup_ticks,
        };
        self.ticks_since_leader = 0;
        self.election_deadline = ticks + self.rng.random_range(0..=ticks);
    }

    /// Records that this replica leads or has heard from a leader, after which the startup timeout
    /// no longer applies. The first time, also resets the running timer: its short timeout could
    /// expire between two heartbeats of a leader that is slightly late.
    pub(crate) fn record_leader_contact(&mut self) {
        if !std::mem::replace(&mut self.has_heard_leader, true) {
            self.reset_election_timer();
        }
    }

    pub(crate) fn append(&mut self, time: LogTime, payload: LogPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let time = time.max(self.log.last_time());
        self.push_entry(LogEntry { term: self.term(), index, time, payload });
        index
    }

    fn push_entry(&mut self, entry: LogEntry) {
        if let LogPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.effects.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Adopts the higher term of a message where required. Returns false if the message must be
    /// ignored.
    fn adopt_term(&mut self, envelope: &Envelope) -> bool {
        match envelope.message {
            Message::PreVote { .. } => true,
            Message::PreVoteAnswer { granted: true } => {
                // The answer carries the term of the election that this replica would start.
                matches!(self.role, RoleState::PreCandidate(_))
            }
            Message::Vote { transfer, .. } => {
                if !transfer && self.has_live_leader() {
                    return false;
                }
                self.become_follower(envelope.term, None);
                true
            }
            Message::Append { .. } | Message::Install { .. } => {
                self.become_follower(envelope.term, Some(envelope.from));
                true
            }
            _ => {
                self.become_follower(envelope.term, None);
                true
            }
        }
    }

    /// Answers an append, snapshot or pre-vote of an earlier term with the current term, so that a
    /// stale leader steps down. Ignores all other messages.
    fn handle_stale_message(&mut self, envelope: &Envelope) {
        match envelope.message {
            Message::Append { round, .. } | Message::Install { round, .. } => {
                // Only the term of this answer matters to its receiver.
                let (prev_index, hint) = (self.log.last_index(), self.log.last_index());
                let result = AppendResult::Rejected { prev_index, hint };
                self.send(envelope.from, Message::AppendAnswer { result, round });
            }
            Message::PreVote { .. } => {
                self.send(envelope.from, Message::PreVoteAnswer { granted: false });
            }
            _ => {}
        }
    }

    fn accept_leader(&mut self, leader: ReplicaId) {
        if !matches!(self.role, RoleState::Follower) || self.leader != Some(leader) {
            self.become_follower(self.term(), Some(leader));
        }
        self.ticks_since_leader = 0;
        self.record_leader_contact();
    }

    fn handle_append(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<LogEntry>,
        commit: LogIndex,
        round: u64,
    ) {
        let reject = |hint| {
            let result = AppendResult::Rejected { prev_index, hint };
            Message::AppendAnswer { result, round }
        };
        if prev_index > self.log.last_index() {
            return self.send(from, reject(self.log.last_index()));
        }
        if prev_index >= self.log.base_index() && self.log.term(prev_index) != Some(prev_term) {
            return self.send(from, reject(prev_index.previous().max(self.commit)));
        }
        let matched = LogIndex(prev_index.0 + entries.len() as u64);
        for entry in entries {
            if entry.index <= self.log.base_index() {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_conflict(entry.index),
                None => {}
            }
            self.push_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        let result = AppendResult::Matched(matched);
        self.send(from, Message::AppendAnswer { result, round });
    }

    fn truncate_conflict(&mut self, first: LogIndex) {
        self.log.truncate(first);
        self.memberships.retain(|(since, _)| *since < first);
        self.effects.entries.retain(|entry| entry.index < first);
        let earlier = self.effects.truncate_from.unwrap_or(first);
        self.effects.truncate_from = Some(earlier.min(first));
        self.persisted = self.persisted.min(first.previous());
    }

    fn handle_install(&mut self, from: ReplicaId, image: SnapshotImage, round: u64) {
        if image.index > self.commit {
            self.log.reset(&image);
            self.memberships = vec![(image.index, image.membership.clone())];
            self.commit = image.index;
            self.emitted = image.index;
            self.persisted = image.index;
            self.effects.entries.clear();
            self.effects.truncate_from = None;
            self.effects.committed.clear();
            self.effects.install = Some(image.clone());
            self.image = Some(image);
        }
        let result = AppendResult::Matched(self.commit);
        self.send(from, Message::AppendAnswer { result, round });
    }
}
