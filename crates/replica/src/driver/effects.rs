//! Carrying out what the core decides: syncs, messages, applied commands.

use super::{ReplicaDriver, answer};
use crate::store::{LogBatch, StoreError};
use consensus::{Effects, Envelope, LogEntry, LogPayload};
use peer::{ConsensusMessage, PeerRequest, PeerTarget, SubmitAnswer};
use runtime::{EventKind, EventTags};
use slog::error;
use std::{sync::Arc, time::Instant};
use types::{ChangeAction, Command, CommandAnswer};

impl ReplicaDriver {
    /// Carries out all effects, and those that they cause in turn.
    pub(super) fn carry_out(&mut self) {
        if let Some(effects) = self.stalled.take()
            && !self.carry_out_batch(effects)
        {
            return;
        }
        loop {
            if !self.carry_out_effects() {
                return;
            }
            self.note_leadership();
            if !self.resume_parked() {
                break;
            }
        }
        self.expire_parked(Instant::now());
        self.start_relay();
        self.make_snapshot();
    }

    /// Returns false if the disk refused.
    fn carry_out_effects(&mut self) -> bool {
        loop {
            self.core.replicate();
            if std::mem::take(&mut self.round_is_due) {
                self.core.start_read_round();
            }
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return true;
            }
            if !self.carry_out_batch(effects) {
                return false;
            }
        }
    }

    /// Returns false if the disk refused, in which case the effects wait.
    fn carry_out_batch(&mut self, mut effects: Effects) -> bool {
        for envelope in effects.early_messages.drain(..) {
            self.send(envelope);
        }
        if let Err(error) = self.persist(&effects) {
            self.stall(effects, &error);
            return false;
        }
        if let Some(image) = &effects.install {
            self.install(image);
        }
        if let Some(entry) = effects.entries.last() {
            self.core.mark_persisted(entry.index);
        }
        for envelope in effects.messages.drain(..) {
            self.send(envelope);
        }
        for entry in effects.committed.drain(..) {
            self.apply(entry);
        }
        self.publish_view();
        self.ready_reads.append(&mut effects.reads);
        self.finish_freshness();
        self.finish_relays();
        for token in effects.failed_reads.drain(..) {
            self.fail_freshness(token);
        }
        true
    }

    fn persist(&mut self, effects: &Effects) -> Result<(), StoreError> {
        if !effects.needs_sync() {
            return Ok(());
        }
        let batch = LogBatch {
            hard_state: effects.hard_state,
            truncate_from: effects.truncate_from,
            entries: effects.entries.clone(),
        };
        match &effects.install {
            Some(image) => {
                let hard_state = Some(self.core.hard_state());
                self.store.replace(image, &LogBatch { hard_state, ..batch })
            }
            None => self.store.append(&batch),
        }
    }

    fn stall(&mut self, effects: Effects, error: &StoreError) {
        self.settings.counters.count("disk-refused");
        if self.stalled.is_none() {
            error!(self.settings.logger, "disk refuses writes"; "error" => %error);
        }
        self.stalled = Some(effects);
        self.drop_pending();
    }

    fn send(&self, envelope: Envelope) {
        let member = self.core.membership().get(envelope.to);
        let target = member
            .map(|member| PeerTarget { host: member.host.clone(), address: member.address })
            .or_else(|| self.origins.get(&envelope.to).cloned());
        let Some(target) = target else {
            return;
        };
        let (host, address) = (self.settings.host.clone(), self.settings.address);
        let message = ConsensusMessage { envelope, host, address };
        self.settings.link.send(&target, PeerRequest::Consensus(message));
    }

    fn apply(&mut self, entry: LogEntry) {
        let index = entry.index;
        let answer_of = match &entry.payload {
            LogPayload::Noop => CommandAnswer::Done,
            LogPayload::Membership(membership) => {
                let detail = format!("{} members", membership.members().len());
                self.record(EventKind::MembershipChanged, EventTags::default(), detail);
                CommandAnswer::Done
            }
            LogPayload::Command(command) => {
                let answer = self.state.apply(entry.time, command);
                debug_assert_eq!(self.state.view().verify(), Ok(()));
                self.record_decision(command, &answer);
                answer
            }
        };
        self.applied = index;
        if let Some(pending) = self.commands.remove(&index) {
            let result = if pending.term == entry.term {
                SubmitAnswer::Applied(answer_of)
            } else {
                SubmitAnswer::NotLeader(None)
            };
            answer(pending.reply, result);
        }
    }

    fn record_decision(&self, command: &Command, answer: &CommandAnswer) {
        let (Command::Change(change), CommandAnswer::Change(decision)) = (command, answer) else {
            return;
        };
        if !self.core.is_leader() {
            return;
        }
        let domain = match &change.action {
            ChangeAction::Drain(domain) | ChangeAction::Undrain(domain) => Some(domain.to_string()),
            ChangeAction::Document(_) => None,
        };
        let change = Some(change.id.0.to_string());
        let tags = EventTags { change, domain, ..EventTags::default() };
        self.record(EventKind::ChangeDecided, tags, format!("{decision:?}"));
    }

    pub(super) fn record(&self, kind: EventKind, tags: EventTags, detail: String) {
        self.settings.timeline.record(kind, tags, detail);
    }

    /// Makes the state's view known to other threads, if it has changed.
    fn publish_view(&self) {
        if self.view.read().version != self.state.view().version {
            let mut source = self.routing_source.write();
            *source = self.state.routing_source().clone();
            *self.view.write() = Arc::new(self.state.view().clone());
        }
    }
}
