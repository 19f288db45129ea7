//! Reads that a follower serves for the leader.
//!
//! A follower asks the leader for a read index, which the leader gives after a quorum round, and
//! serves its entries once it has applied the log up to there. One request stands for all entries
//! that wait, so that the leader's work grows with the replicas and not with the entries, and views
//! need not cross failure domains.

use super::{PendingFreshness, ReplicaDriver, ReplicaInput, answer};
use crate::entry_watch::EntryWatch;
use consensus::{LogIndex, ReadToken};
use peer::{PeerAnswer, PeerRequest, PeerTarget, ReadIndexRequest};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, oneshot};
use types::{EntryName, ViewVersion};

/// Time allowed to the leader for a read index. Entries give a follower less before they ask the
/// leader themselves.
const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between two requests for a read index, but for entries that hold no view yet. Entries
/// poll every 250 ms, so that this costs them little.
const RELAY_SPACING: Duration = Duration::from_millis(100);
/// How often the leader is told of an entry that is served here; a part of the entry's lease.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Requests of entries on their way through the leader.
pub(super) struct RelayQueue {
    inputs: mpsc::WeakSender<ReplicaInput>,
    /// Came after the request that is on its way to the leader.
    queued: Vec<PendingFreshness>,
    /// Stand behind the request that is on its way.
    asked: Vec<PendingFreshness>,
    is_asking: bool,
    asked_at: Option<Instant>,
    /// When the leader was last told of an entry.
    reported: HashMap<EntryName, Instant>,
    /// Have their index, which is not applied yet.
    indexed: Vec<(LogIndex, PendingFreshness)>,
}

impl RelayQueue {
    pub(super) fn new(inputs: mpsc::WeakSender<ReplicaInput>) -> Self {
        Self {
            inputs,
            queued: Vec::new(),
            asked: Vec::new(),
            is_asking: false,
            asked_at: None,
            reported: HashMap::new(),
            indexed: Vec::new(),
        }
    }

    pub(super) fn queue(&mut self, pending: PendingFreshness) {
        self.queued.push(pending);
    }

    /// Says whether a request to the leader should start now.
    fn is_due(&self, now: Instant) -> bool {
        let is_spaced = self.asked_at.is_none_or(|asked| now >= asked + RELAY_SPACING);
        let holds_nothing =
            |pending: &PendingFreshness| pending.request.version == ViewVersion::default();
        !self.is_asking
            && !self.queued.is_empty()
            && (is_spaced || self.queued.iter().any(holds_nothing))
    }

    /// Says whether the leader should be told of an entry now, and notes that it is.
    fn report(&mut self, entry: &EntryName, now: Instant) -> bool {
        let is_due = self.reported.get(entry).is_none_or(|last| now >= *last + REPORT_PERIOD);
        if is_due {
            self.reported.retain(|_, last| now < *last + 2 * REPORT_PERIOD);
            self.reported.insert(entry.clone(), now);
        }
        is_due
    }
}

impl ReplicaDriver {
    /// Asks the leader on behalf of the entries that wait, unless a request is on its way already.
    pub(super) fn start_relay(&mut self) {
        let now = Instant::now();
        if !self.relays.is_due(now) {
            return;
        }
        let queued = std::mem::take(&mut self.relays.queued);
        let leader = self.leader_address(self.core.leader());
        let (Some(leader), Some(inputs)) = (leader, self.relays.inputs.upgrade()) else {
            queued.into_iter().for_each(|pending| self.refer(pending));
            return;
        };
        let request = PeerRequest::ReadIndex(self.read_index_request(&queued, now));
        self.relays.asked = queued;
        (self.relays.is_asking, self.relays.asked_at) = (true, Some(now));
        let link = self.settings.link.clone();
        tokio::spawn(async move {
            let target = PeerTarget { host: leader.host, address: leader.address };
            let index = match link.call(&target, request, READ_INDEX_TIMEOUT).await {
                Ok(PeerAnswer::ReadIndex(index)) => index,
                // The entries are told that this replica cannot serve them.
                _ => None,
            };
            // A replica that has stopped serves no entry.
            let _ = inputs.send(ReplicaInput::Relayed(index)).await;
        });
    }

    /// Takes the leader's answer, `None` if there was none.
    pub(super) fn take_read_index(&mut self, index: Option<LogIndex>) {
        self.relays.is_asking = false;
        let asked = std::mem::take(&mut self.relays.asked);
        match index {
            Some(index) => {
                self.relays.indexed.extend(asked.into_iter().map(|pending| (index, pending)));
                self.finish_relays();
            }
            None => {
                // The leader, or its successor, may not have heard of these entries.
                self.relays.reported.clear();
                self.settings.counters.count("read-index-failed");
                asked.into_iter().for_each(|pending| self.refer(pending));
            }
        }
    }

    /// Serves the entries whose index is applied.
    pub(super) fn finish_relays(&mut self) {
        let applied = self.applied;
        let is_ready = |(index, _): &mut (LogIndex, PendingFreshness)| *index <= applied;
        let ready: Vec<_> = self.relays.indexed.extract_if(.., is_ready).collect();
        ready.into_iter().for_each(|(_, pending)| self.grant(pending));
        // Entries that no longer wait need no answer.
        self.relays.indexed.retain(|(_, pending)| !pending.reply.is_closed());
    }

    /// Sends all entries elsewhere.
    pub(super) fn drop_relays(&mut self) {
        let indexed = std::mem::take(&mut self.relays.indexed);
        let queued = std::mem::take(&mut self.relays.queued);
        indexed.into_iter().for_each(|(_, pending)| self.refer(pending));
        queued.into_iter().for_each(|pending| self.refer(pending));
    }

    /// Begins a quorum round for a follower, if this replica leads. Processes that are no replicas
    /// may not speak for entries, and replicas that were removed lag behind for good.
    pub(super) fn start_read_index(
        &mut self,
        request: ReadIndexRequest,
        reply: oneshot::Sender<Option<LogIndex>>,
    ) {
        let token = ReadToken(self.next_token);
        self.next_token += 1;
        if self.core.membership().get(request.replica).is_none() {
            self.settings.counters.count("read-index-refused");
            return answer(reply, None);
        }
        if self.core.queue_read(token).is_err() {
            return answer(reply, None);
        }
        let now = Instant::now();
        for (entry, version) in &request.entries {
            self.watch.observe(entry, *version, now);
        }
        for entry in &request.changed {
            for command in EntryWatch::registration(self.state.view(), entry) {
                self.propose_own(command);
            }
        }
        self.index_reads.insert(token, reply);
    }

    fn read_index_request(
        &mut self,
        queued: &[PendingFreshness],
        now: Instant,
    ) -> ReadIndexRequest {
        let (mut entries, mut changed) = (Vec::new(), Vec::new());
        for pending in queued {
            let Some(entry) = &pending.request.entry else {
                continue;
            };
            if self.state.view().entry(&entry.name) != Some(entry) {
                changed.push(entry.clone());
            }
            if self.relays.report(&entry.name, now) {
                entries.push((entry.name.clone(), pending.request.version));
            }
        }
        ReadIndexRequest { replica: self.settings.identity, entries, changed }
    }
}
