//! Executes the effects of the consensus core: disk syncs, messages and committed commands.

use super::{ReplicaDriver, send_reply};
use crate::store::{LogBatch, StoreError};
use consensus::{Effects, Envelope, LogEntry, LogPayload};
use peer::{ConsensusMessage, PeerRequest, PeerTarget, SubmitAnswer};
use runtime::{EventKind, EventTags};
use slog::error;
use std::{sync::Arc, time::Instant};
use types::{ChangeAction, Command, CommandAnswer};

impl ReplicaDriver {
    /// Executes all effects of the consensus core, and those that result from executing them. If a
    /// disk write failed before, its effects are retried first.
    pub(super) fn process_effects(&mut self) {
        if let Some(effects) = self.stalled.take()
            && !self.apply_effects(effects)
        {
            return;
        }
        loop {
            if !self.drain_effects() {
                return;
            }
            self.update_leadership();
            self.resume_waiting_changes();
            if !self.resume_parked() {
                break;
            }
        }
        self.expire_parked(Instant::now());
        self.request_read_index();
        self.make_snapshot_if_due();
    }

    /// Executes effects until none are left. Returns false if a disk write failed.
    fn drain_effects(&mut self) -> bool {
        loop {
            self.core.replicate();
            if std::mem::take(&mut self.is_round_due) {
                self.core.start_read_round();
            }
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return true;
            }
            if !self.apply_effects(effects) {
                return false;
            }
        }
    }

    /// Executes one set of effects. If the disk write fails, keeps the effects for a retry and
    /// returns false.
    fn apply_effects(&mut self, mut effects: Effects) -> bool {
        for envelope in effects.early_messages.drain(..) {
            self.send(envelope);
        }
        if let Err(error) = self.persist(&effects) {
            self.stall(effects, &error);
            return false;
        }
        if let Some(image) = &effects.install {
            self.install_snapshot(image);
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
        self.serve_ready_reads();
        self.serve_relays();
        for token in effects.failed_reads.drain(..) {
            self.fail_read(token);
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
                self.store.install_snapshot(image, &LogBatch { hard_state, ..batch })
            }
            None => self.store.append(&batch),
        }
    }

    fn stall(&mut self, effects: Effects, error: &StoreError) {
        self.settings.counters.count("disk-refused");
        if self.stalled.is_none() {
            error!(self.settings.logger, "failed to write to the data folder; rejecting requests";
                "error" => %error);
        }
        self.stalled = Some(effects);
        self.fail_pending();
    }

    fn send(&self, envelope: Envelope) {
        let member = self.core.membership().get(envelope.to);
        let target = member
            .map(|member| PeerTarget { host: member.host.clone(), address: member.address })
            .or_else(|| self.sender_targets.get(&envelope.to).cloned());
        let Some(target) = target else {
            return;
        };
        let (host, address) = (self.settings.host.clone(), self.settings.address);
        let message = ConsensusMessage { envelope, host, address };
        self.settings.link.send(&target, PeerRequest::Consensus(message));
    }

    fn apply(&mut self, entry: LogEntry) {
        let index = entry.index;
        let command_answer = match &entry.payload {
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
        if let Some(pending) = self.pending_commands.remove(&index) {
            let result = if pending.term == entry.term {
                SubmitAnswer::Applied(command_answer)
            } else {
                SubmitAnswer::NotLeader(None)
            };
            send_reply(pending.reply, result);
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

    /// Publishes the state's view to other threads, if it has changed.
    fn publish_view(&self) {
        if self.view.read().version != self.state.view().version {
            let mut source = self.routing_source.write();
            *source = self.state.routing_source().clone();
            *self.view.write() = Arc::new(self.state.view().clone());
        }
    }
}
