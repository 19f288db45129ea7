//! Freshness requests: each waits for its quorum round and for the index that it covers.

use super::{PendingFreshness, ReplicaDriver, answer};
use crate::entry_watch::EntryWatch;
use consensus::{LeaderHint, ReadToken};
use peer::{
    FreshnessAnswer, FreshnessGrant, FreshnessRequest, PackedView, ViewTransfer, replicas_digest,
};
use runtime::ReplicaAddress;
use slog::warn;
use std::time::Instant;
use tokio::sync::oneshot;
use types::{ViewUpdate, ViewVersion};

/// Changes that follow a packed view before it is packed anew.
const MAX_PACKED_LAG: usize = 256;

/// A request that came while no leader was known.
pub(super) struct ParkedFreshness {
    until: Instant,
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
                self.relays.queue(pending);
            } else if self.core.leader() == LeaderHint(None) {
                let until = Instant::now() + self.settings.leader_wait;
                self.parked.push(ParkedFreshness { until, pending });
            } else {
                self.refer(pending);
            }
            return;
        }
        if let Some(entry) = &request.entry {
            self.watch.observe(&entry.name, request.version, Instant::now());
            for command in EntryWatch::registration(self.state.view(), entry) {
                self.propose_own(command);
            }
        }
        self.freshness.insert(token, PendingFreshness { request, reply });
    }

    pub(super) fn finish_freshness(&mut self) {
        let applied = self.applied;
        let ready = std::mem::take(&mut self.ready_reads);
        for read in ready {
            if let Some(reply) = self.index_reads.remove(&read.token) {
                answer(reply, Some(read.index));
            } else if read.index > applied {
                self.ready_reads.push(read);
            } else if let Some(pending) = self.freshness.remove(&read.token) {
                self.grant(pending);
            }
        }
    }

    /// Answers with what the entry lacks of this replica's view.
    pub(super) fn grant(&mut self, pending: PendingFreshness) {
        let update = self.transfer_since(pending.request.version);
        let mut replicas = self.replica_addresses();
        let digest = replicas_digest(replicas.iter().map(|replica| replica.address));
        if digest == pending.request.known_replicas {
            replicas.clear();
        }
        let domain = self.settings.domain.clone();
        let grant = FreshnessGrant { update, replicas, domain };
        answer(pending.reply, FreshnessAnswer::Granted(grant));
    }

    /// Returns what brings an entry at `version` to the current view. Whole views are packed once
    /// for all entries that ask within a few changes.
    fn transfer_since(&mut self, version: ViewVersion) -> ViewTransfer {
        if let Some(changes) = self.state.changes_since(version) {
            return ViewTransfer::Plain(ViewUpdate::Changes(changes));
        }
        if let Some((since, packed)) = &self.packed_view
            && let Some(changes) = self.state.changes_since(*since)
            && changes.len() <= MAX_PACKED_LAG
        {
            return ViewTransfer::Packed(packed.clone(), changes);
        }
        let view = self.state.view();
        match PackedView::pack(view) {
            Ok(packed) => {
                self.packed_view = Some((view.version, packed.clone()));
                ViewTransfer::Packed(packed, Vec::new())
            }
            Err(error) => {
                warn!(self.settings.logger, "view not packed"; "error" => %error);
                ViewTransfer::Plain(ViewUpdate::Whole(Box::new(view.clone())))
            }
        }
    }

    pub(super) fn fail_freshness(&mut self, token: ReadToken) {
        if let Some(reply) = self.index_reads.remove(&token) {
            answer(reply, None);
        }
        if let Some(pending) = self.freshness.remove(&token) {
            self.refer(pending);
        }
    }

    /// Takes up the requests that wait for a leader, if one is known by now. Returns whether this
    /// replica has any of them to serve.
    pub(super) fn resume_parked(&mut self) -> bool {
        if self.parked.is_empty() || self.core.leader() == LeaderHint(None) {
            return false;
        }
        for parked in std::mem::take(&mut self.parked) {
            self.start_freshness(parked.pending.request, parked.pending.reply);
        }
        self.round_is_due = self.core.is_leader();
        self.round_is_due
    }

    /// Answers the requests that have waited for a leader in vain.
    pub(super) fn expire_parked(&mut self, now: Instant) {
        for parked in self.parked.extract_if(.., |parked| parked.until <= now) {
            answer(parked.pending.reply, FreshnessAnswer::NotLeader(None));
        }
    }

    pub(super) fn refer(&self, pending: PendingFreshness) {
        let hint = self.leader_address(self.core.leader());
        answer(pending.reply, FreshnessAnswer::NotLeader(hint));
    }

    pub(super) fn replica_addresses(&self) -> Vec<ReplicaAddress> {
        let members = self.core.membership().members().iter();
        members
            .map(|member| ReplicaAddress { host: member.host.clone(), address: member.address })
            .collect()
    }
}
