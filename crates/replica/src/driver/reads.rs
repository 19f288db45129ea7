//! Freshness requests. Each waits for a quorum round and until the round's read index is applied.

use super::{PendingFreshness, ReplicaDriver, send_reply};
use crate::entry_leases::EntryLeases;
use consensus::{LeaderHint, ReadToken};
use peer::{FreshnessAnswer, FreshnessGrant, FreshnessRequest, ViewTransfer, replicas_digest};
use runtime::ReplicaAddress;
use slog::warn;
use std::time::Instant;
use tokio::sync::oneshot;

/// A request that arrived while no leader was known.
pub(super) struct ParkedFreshness {
    deadline: Instant,
    pending: PendingFreshness,
}

impl ReplicaDriver {
    pub(super) fn start_freshness(
        &mut self,
        request: FreshnessRequest,
        reply: oneshot::Sender<FreshnessAnswer>,
    ) {
        let token = ReadToken(self.next_token);
        self.next_token += 1;
        if self.core.queue_read(token).is_err() {
            let pending = PendingFreshness { request, reply };
            if self.core.leader() != LeaderHint(None) && pending.request.may_relay {
                self.relays.push(pending);
            } else if self.core.leader() == LeaderHint(None) {
                let deadline = Instant::now() + self.settings.leader_wait;
                self.parked.push(ParkedFreshness { deadline, pending });
            } else {
                self.redirect_to_leader(pending);
            }
            return;
        }
        if let Some(entry) = &request.entry {
            self.entry_leases.observe(&entry.name, request.version, Instant::now());
            for command in EntryLeases::registration(self.state.view(), entry) {
                self.propose_internal(command);
            }
        }
        self.pending_freshness.insert(token, PendingFreshness { request, reply });
    }

    pub(super) fn serve_ready_reads(&mut self) {
        let applied = self.applied;
        let ready = std::mem::take(&mut self.ready_reads);
        for read in ready {
            if let Some(reply) = self.pending_index_reads.remove(&read.token) {
                send_reply(reply, Some(read.index));
            } else if read.index > applied {
                self.ready_reads.push(read);
            } else if let Some(pending) = self.pending_freshness.remove(&read.token) {
                self.send_grant(pending);
            }
        }
    }

    /// Answers with the changes that the entry's view lacks.
    pub(super) fn send_grant(&mut self, pending: PendingFreshness) {
        let version = pending.request.version;
        let update = self.transfers.update_since(&self.state, version).unwrap_or_else(|error| {
            warn!(self.settings.logger, "failed to pack a view update"; "error" => %error);
            ViewTransfer::Plain(self.state.update_since(version))
        });
        let mut replicas = self.replica_addresses();
        let digest = replicas_digest(replicas.iter().map(|replica| replica.address));
        if digest == pending.request.known_replicas {
            replicas.clear();
        }
        let domain = self.settings.domain.clone();
        let grant = FreshnessGrant { update, replicas, domain };
        send_reply(pending.reply, FreshnessAnswer::Granted(grant));
    }

    pub(super) fn fail_read(&mut self, token: ReadToken) {
        if let Some(reply) = self.pending_index_reads.remove(&token) {
            send_reply(reply, None);
        }
        if let Some(pending) = self.pending_freshness.remove(&token) {
            self.redirect_to_leader(pending);
        }
    }

    /// Restarts the parked requests once a leader is known. Returns true if there were any and this
    /// replica is the leader, which then has to serve them.
    pub(super) fn resume_parked(&mut self) -> bool {
        if self.parked.is_empty() || self.core.leader() == LeaderHint(None) {
            return false;
        }
        for parked in std::mem::take(&mut self.parked) {
            self.start_freshness(parked.pending.request, parked.pending.reply);
        }
        self.is_round_due = self.core.is_leader();
        self.is_round_due
    }

    /// Fails the parked requests whose wait for a leader has timed out.
    pub(super) fn expire_parked(&mut self, now: Instant) {
        for parked in self.parked.extract_if(.., |parked| parked.deadline <= now) {
            send_reply(parked.pending.reply, FreshnessAnswer::NotLeader(None));
        }
    }

    pub(super) fn redirect_to_leader(&self, pending: PendingFreshness) {
        let hint = self.leader_address(self.core.leader());
        send_reply(pending.reply, FreshnessAnswer::NotLeader(hint));
    }

    pub(super) fn replica_addresses(&self) -> Vec<ReplicaAddress> {
        let members = self.core.membership().members().iter();
        members
            .map(|member| ReplicaAddress { host: member.host.clone(), address: member.address })
            .collect()
    }
}
