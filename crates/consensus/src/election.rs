//! Elections: pre-vote, vote, and the election that a stopping leader requests from a follower.

use crate::{
    Consensus, Envelope, HardState, LogIndex, Message, ReplicaId, Term,
    role::{RoleState, VoteTally},
};
use smallvec::SmallVec;

impl Consensus {
    /// Returns whether this replica leads or has heard from its leader within the election timeout.
    pub(crate) fn has_live_leader(&self) -> bool {
        let is_recent = self.ticks_since_leader < self.settings.election_ticks;
        self.is_leader() || (self.leader.is_some() && is_recent)
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.startup_ticks = (self.startup_ticks + 1).min(self.settings.election_ticks);
        self.reset_election_timer();
        self.leader = None;
        let mut tally = VoteTally::default();
        tally.grant(self.id);
        self.role = RoleState::PreCandidate(tally);
        let term = Term(self.term().0 + 1);
        let message =
            Message::PreVote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        for to in self.other_voters() {
            let message = message.clone();
            self.effects.messages.push(Envelope { from: self.id, to, term, message });
        }
        self.check_pre_vote_quorum();
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: ReplicaId,
        term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = term > self.term()
            && !self.has_live_leader()
            && self.is_log_up_to_date(last_index, last_term);
        let term = if granted { term } else { self.term() };
        let message = Message::PreVoteAnswer { granted };
        self.effects.messages.push(Envelope { from: self.id, to: from, term, message });
    }

    pub(crate) fn handle_pre_vote_answer(&mut self, from: ReplicaId, granted: bool) {
        if let RoleState::PreCandidate(tally) = &mut self.role
            && granted
        {
            tally.grant(from);
            self.check_pre_vote_quorum();
        }
    }

    fn check_pre_vote_quorum(&mut self) {
        if let RoleState::PreCandidate(tally) = &self.role
            && self.membership().has_quorum(|id| tally.granted.contains(&id))
        {
            self.start_election(false);
        }
    }

    pub(crate) fn start_transfer_election(&mut self) {
        if !self.is_leader() && self.membership().is_voter(self.id) {
            self.start_election(true);
        }
    }

    fn start_election(&mut self, transfer: bool) {
        self.startup_ticks = (self.startup_ticks + 1).min(self.settings.election_ticks);
        self.reset_election_timer();
        self.leader = None;
        let term = Term(self.term().0 + 1);
        self.set_hard_state(HardState { term, voted_for: Some(self.id) });
        let mut tally = VoteTally::default();
        tally.grant(self.id);
        self.role = RoleState::Candidate(tally);
        let message = Message::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        for to in self.other_voters() {
            self.send(to, message.clone());
        }
        self.check_vote_quorum();
    }

    pub(crate) fn handle_vote(
        &mut self,
        from: ReplicaId,
        last_index: LogIndex,
        last_term: Term,
        transfer: bool,
    ) {
        let may_vote = match self.hard_state.voted_for {
            Some(candidate) => candidate == from,
            None => transfer || !self.has_live_leader(),
        };
        let granted = may_vote && self.is_log_up_to_date(last_index, last_term);
        if granted {
            let term = self.term();
            self.set_hard_state(HardState { term, voted_for: Some(from) });
            self.startup_ticks = self.startup_ticks.max(self.settings.post_vote_ticks);
            self.reset_election_timer();
        }
        self.send(from, Message::VoteAnswer { granted });
    }

    pub(crate) fn handle_vote_answer(&mut self, from: ReplicaId, granted: bool) {
        if let RoleState::Candidate(tally) = &mut self.role
            && granted
        {
            tally.grant(from);
            self.check_vote_quorum();
        }
    }

    fn check_vote_quorum(&mut self) {
        if let RoleState::Candidate(tally) = &self.role
            && self.membership().has_quorum(|id| tally.granted.contains(&id))
        {
            self.become_leader();
        }
    }

    fn is_log_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn other_voters(&self) -> SmallVec<[ReplicaId; 5]> {
        self.membership().voters().filter(|id| *id != self.id).collect()
    }
}
