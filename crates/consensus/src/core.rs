//! The replica's state, and the paths that all roles share.

use crate::{
    Effects, Envelope, HardState, LogEntry, LogIndex, LogPayload, Membership, Message, ReplicaId,
    Restored, SnapshotImage, Term, log::MemoryLog, role::RoleState,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use thiserror::Error;
use types::LogTime;

/// The greatest rank of a first stand, in ticks; with two voters lost, as many as are borne at once,
/// the third stands before the next stand of those that came before it.
const MAX_FIRST_RANK: u32 = 3;

/// Timing of the core, in ticks.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Ticks between heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Ticks without a leader after which a follower stands; it adds a random share up to as much
    /// again. Also the time within which a leader must hear a quorum.
    pub election_ticks: u32,
    /// The same at the first time since the start of this replica; one tick more each time until
    /// it has heard of a leader, since messages may take longer than that. A pre-vote keeps it from
    /// disturbing a leader that lives.
    pub first_election_ticks: u32,
    /// The least of that after a vote: the candidate needs syncs and messages of its own to lead.
    pub vote_ticks: u32,
    /// The greatest number of entries in one message.
    pub max_batch: usize,
    /// Seed of the random share.
    pub seed: u64,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            heartbeat_ticks: 2,
            election_ticks: 10,
            first_election_ticks: 1,
            vote_ticks: 3,
            max_batch: 2048,
            seed: 0,
        }
    }
}

/// Where the leader is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderHint(pub Option<ReplicaId>);

/// Says why the core refuses an input.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConsensusError {
    /// This replica does not lead.
    #[error("this replica does not lead")]
    NotLeader(LeaderHint),
    /// The set of replicas cannot be changed so.
    #[error(transparent)]
    Membership(#[from] crate::MembershipError),
}

/// What a replica does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// One replica of the replicated log.
///
/// Invariants: the term never falls; at most one vote is cast a term; committed entries are never
/// changed; the commit index never falls.
pub struct Consensus {
    pub(crate) id: ReplicaId,
    pub(crate) settings: CoreSettings,
    pub(crate) hard_state: HardState,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) log: MemoryLog,
    pub(crate) image: Option<SnapshotImage>,
    pub(crate) memberships: Vec<(LogIndex, Membership)>,
    pub(crate) commit: LogIndex,
    pub(crate) handed_out: LogIndex,
    pub(crate) persisted: LogIndex,
    pub(crate) ticks_since_leader: u32,
    pub(crate) has_heard_leader: bool,
    pub(crate) first_ticks: u32,
    pub(crate) election_deadline: u32,
    pub(crate) effects: Effects,
    rng: SmallRng,
}

impl Consensus {
    /// Starts a replica from what is on its disk.
    pub fn new(id: ReplicaId, settings: CoreSettings, restored: Restored) -> Self {
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
        let first_ticks = settings.first_election_ticks;
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
            handed_out: start,
            persisted,
            ticks_since_leader: 0,
            has_heard_leader: false,
            first_ticks,
            election_deadline: 0,
            effects: Effects::default(),
            rng,
        };
        core.election_deadline = core.settings.first_election_ticks + core.first_rank();
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

    /// Says whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the leader, as far as known.
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

    /// Returns the time of the last entry of the log.
    pub fn last_time(&self) -> LogTime {
        self.log.last_time()
    }

    /// Returns the index before the first entry still in the log.
    pub fn base_index(&self) -> LogIndex {
        self.log.base_index()
    }

    /// Returns the entries still in the log.
    pub fn entries(&self) -> &[LogEntry] {
        self.log.entries()
    }

    /// Returns term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the set of replicas in force.
    pub fn membership(&self) -> &Membership {
        static EMPTY: Membership = Membership::empty();
        self.memberships.last().map_or(&EMPTY, |(_, membership)| membership)
    }

    /// Returns the set of replicas as of an index.
    pub fn membership_at(&self, index: LogIndex) -> Membership {
        let known = self.memberships.iter().rev().find(|(since, _)| *since <= index);
        known.map(|(_, membership)| membership.clone()).unwrap_or_default()
    }

    /// Takes the effects of all inputs since the last call.
    pub fn take_effects(&mut self) -> Effects {
        while self.handed_out < self.commit {
            let Some(entry) = self.log.get(self.handed_out.next()) else {
                break;
            };
            self.effects.committed.push(entry.clone());
            self.handed_out = entry.index;
        }
        std::mem::take(&mut self.effects)
    }

    /// Tells the core that its log is durable up to `index`.
    pub fn persisted(&mut self, index: LogIndex) {
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

    /// Takes one message of another replica.
    pub fn step(&mut self, envelope: Envelope) {
        if envelope.to != self.id {
            return;
        }
        if envelope.term > self.term() && !self.adopt_term(&envelope) {
            return;
        }
        if envelope.term < self.term() {
            self.answer_stale(&envelope);
            return;
        }
        let Envelope { from, message, term, .. } = envelope;
        match message {
            Message::PreVote { last_index, last_term } => {
                self.answer_pre_vote(from, term, last_index, last_term);
            }
            Message::PreVoteAnswer { granted } => self.count_pre_vote(from, granted),
            Message::Vote { last_index, last_term, transfer } => {
                self.answer_vote(from, last_index, last_term, transfer);
            }
            Message::VoteAnswer { granted } => self.count_vote(from, granted),
            Message::Append { prev_index, prev_term, entries, commit, round } => {
                self.follow(from);
                self.accept_entries(from, (prev_index, prev_term), entries, commit, round);
            }
            Message::Install { image, round } => {
                self.follow(from);
                self.accept_image(from, image, round);
            }
            Message::AppendAnswer { index, accepted, round } => {
                self.take_append_answer(from, index, accepted, round);
            }
            Message::TimeoutNow => self.start_transfer_election(),
        }
    }

    /// Drops the log up to `index`, which `state` covers, but for the last `tail` entries.
    ///
    /// Returns the new snapshot, or `None` if there is one of that index already.
    pub fn compact(
        &mut self,
        index: LogIndex,
        state: std::sync::Arc<[u8]>,
        tail: u64,
    ) -> Option<&SnapshotImage> {
        let index = index.min(self.handed_out);
        if self.image.as_ref().is_some_and(|image| image.index >= index) {
            return None;
        }
        let term = self.log.term(index)?;
        let time = self.log.get(index).map_or(LogTime::default(), |entry| entry.time);
        let membership = self.membership_at(index);
        self.log.compact(LogIndex(index.0.saturating_sub(tail)));
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
        if let RoleState::Leader(leadership) =
            std::mem::replace(&mut self.role, RoleState::Follower)
        {
            self.effects.failed_reads.extend(leadership.pending_reads());
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

    /// Returns by how many ticks this replica stands later than the first voter after a start of the
    /// whole group. Replicas that start together tick together too, and a random share of so few
    /// ticks would often let two of them stand at once and split the vote.
    fn first_rank(&self) -> u32 {
        let before = self.membership().voters().filter(|id| *id < self.id).count();
        (before as u32).min(MAX_FIRST_RANK)
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let ticks = match self.has_heard_leader {
            true => self.settings.election_ticks,
            false => self.first_ticks,
        };
        self.ticks_since_leader = 0;
        self.election_deadline = ticks + self.rng.random_range(0..=ticks);
    }

    /// Ends the time of short election timers. The one that runs is replaced too: it would end
    /// between two heartbeats of a leader that is a little late.
    pub(crate) fn note_leader(&mut self) {
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

    /// Takes over a higher term. Returns false if the message must be ignored instead.
    fn adopt_term(&mut self, envelope: &Envelope) -> bool {
        match envelope.message {
            Message::PreVote { .. } => true,
            Message::PreVoteAnswer { granted: true } => {
                // Answers to our own pre-vote carry the term that we would stand in.
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

    /// Tells a leader of a former term about the current one, so that it steps down.
    fn answer_stale(&mut self, envelope: &Envelope) {
        match envelope.message {
            Message::Append { round, .. } | Message::Install { round, .. } => {
                let index = self.log.last_index();
                self.send(envelope.from, Message::AppendAnswer { index, accepted: false, round });
            }
            Message::PreVote { .. } => {
                self.send(envelope.from, Message::PreVoteAnswer { granted: false });
            }
            _ => {}
        }
    }

    fn follow(&mut self, leader: ReplicaId) {
        if !matches!(self.role, RoleState::Follower) || self.leader != Some(leader) {
            self.become_follower(self.term(), Some(leader));
        }
        self.ticks_since_leader = 0;
        self.note_leader();
    }

    fn accept_entries(
        &mut self,
        from: ReplicaId,
        (prev_index, prev_term): (LogIndex, Term),
        entries: Vec<LogEntry>,
        commit: LogIndex,
        round: u64,
    ) {
        let reject = |index| Message::AppendAnswer { index, accepted: false, round };
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
                Some(_) => self.drop_conflict(entry.index),
                None => {}
            }
            self.push_entry(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        self.send(from, Message::AppendAnswer { index: matched, accepted: true, round });
    }

    fn drop_conflict(&mut self, first: LogIndex) {
        self.log.truncate(first);
        self.memberships.retain(|(since, _)| *since < first);
        self.effects.entries.retain(|entry| entry.index < first);
        let earlier = self.effects.truncate_from.unwrap_or(first);
        self.effects.truncate_from = Some(earlier.min(first));
        self.persisted = self.persisted.min(first.previous());
    }

    fn accept_image(&mut self, from: ReplicaId, image: SnapshotImage, round: u64) {
        if image.index > self.commit {
            self.log.reset(&image);
            self.memberships = vec![(image.index, image.membership.clone())];
            self.commit = image.index;
            self.handed_out = image.index;
            self.persisted = image.index;
            self.effects.entries.clear();
            self.effects.truncate_from = None;
            self.effects.committed.clear();
            self.effects.install = Some(image.clone());
            self.image = Some(image);
        }
        let index = self.commit;
        self.send(from, Message::AppendAnswer { index, accepted: true, round });
    }
}
