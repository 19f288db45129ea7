//! Follower reads.
//!
//! A follower requests a read index from the leader, which returns one after a quorum round, and
//! serves its entries once it has applied the log up to that index. One request covers all waiting
//! entries, so the leader's load grows with the number of replicas rather than entries, and views
//! need not cross failure domains.

use super::{PendingFreshness, ReplicaDriver, ReplicaInput, send_reply};
use crate::{entry_leases::EntryLeases, input_queue::WeakInputSender};
use consensus::{LogIndex, ReadToken};
use peer::{PeerAnswer, PeerRequest, PeerTarget, ReadIndexRequest};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;
use types::{EntryName, ViewVersion};

/// Timeout of a read index request. Entries wait less than this for a follower before they ask the
/// leader directly.
const READ_INDEX_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval between read index requests. Does not apply while an entry without a view is
/// waiting. Entries poll every 250 ms, so the interval adds little delay.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Period of the reports to the leader about each entry served by this follower; a fraction of the
/// entry's lease.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Entry requests that this follower serves with a read index from the leader.
pub(super) struct RelayQueue {
    inputs: WeakInputSender,
    /// Requests that arrived after the read index request in flight was sent.
    queued: Vec<PendingFreshness>,
    /// Requests covered by the read index request in flight.
    in_flight: Vec<PendingFreshness>,
    has_request_in_flight: bool,
    last_request: Option<Instant>,
    /// Time of the last report to the leader about each entry.
    last_reports: HashMap<EntryName, Instant>,
    /// Requests that wait until the log is applied up to their read index.
    awaiting_apply: Vec<(LogIndex, PendingFreshness)>,
}

impl RelayQueue {
    pub(super) fn new(inputs: WeakInputSender) -> Self {
        Self {
            inputs,
            queued: Vec::new(),
            in_flight: Vec::new(),
            has_request_in_flight: false,
            last_request: None,
            last_reports: HashMap::new(),
            awaiting_apply: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, pending: PendingFreshness) {
        self.queued.push(pending);
    }

    /// Returns whether to send a read index request now.
    fn is_due(&self, now: Instant) -> bool {
        let has_interval_passed =
            self.last_request.is_none_or(|last| now >= last + MIN_RELAY_INTERVAL);
        let has_no_view =
            |pending: &PendingFreshness| pending.request.version == ViewVersion::default();
        !self.has_request_in_flight
            && !self.queued.is_empty()
            && (has_interval_passed || self.queued.iter().any(has_no_view))
    }

    /// Returns whether a report about an entry is due, and if so records it as sent.
    fn record_report_if_due(&mut self, entry: &EntryName, now: Instant) -> bool {
        let is_due = self.last_reports.get(entry).is_none_or(|last| now >= *last + REPORT_PERIOD);
        if is_due {
            self.last_reports.retain(|_, last| now < *last + 2 * REPORT_PERIOD);
            self.last_reports.insert(entry.clone(), now);
        }
        is_due
    }
}

impl ReplicaDriver {
    /// Sends a read index request for the queued entries, if one is due.
    pub(super) fn request_read_index(&mut self) {
        let now = Instant::now();
        if !self.relays.is_due(now) {
            return;
        }
        let queued = std::mem::take(&mut self.relays.queued);
        let leader = self.leader_address(self.core.leader());
        let (Some(leader), Some(inputs)) = (leader, self.relays.inputs.upgrade()) else {
            queued.into_iter().for_each(|pending| self.redirect_to_leader(pending));
            return;
        };
        let request = PeerRequest::ReadIndex(self.build_read_index_request(&queued, now));
        self.relays.in_flight = queued;
        (self.relays.has_request_in_flight, self.relays.last_request) = (true, Some(now));
        let link = self.settings.link.clone();
        tokio::spawn(async move {
            let target = PeerTarget { host: leader.host, address: leader.address };
            let index = match link.call(&target, request, READ_INDEX_TIMEOUT).await {
                Ok(PeerAnswer::ReadIndex(index)) => index,
                // The entries are redirected to the leader.
                _ => None,
            };
            inputs.send(ReplicaInput::ReadIndexAnswer(index));
        });
    }

    /// Handles the leader's answer; `None` if the request failed.
    pub(super) fn handle_read_index(&mut self, index: Option<LogIndex>) {
        self.relays.has_request_in_flight = false;
        let in_flight = std::mem::take(&mut self.relays.in_flight);
        match index {
            Some(index) => {
                let awaiting_apply = &mut self.relays.awaiting_apply;
                awaiting_apply.extend(in_flight.into_iter().map(|pending| (index, pending)));
                self.serve_relays();
            }
            None => {
                // The leader may not have received the reports in this request, or may have been
                // replaced, so all reports are due again.
                self.relays.last_reports.clear();
                self.settings.counters.count("read-index-failed");
                in_flight.into_iter().for_each(|pending| self.redirect_to_leader(pending));
            }
        }
    }

    /// Serves the entries whose read index is applied.
    pub(super) fn serve_relays(&mut self) {
        let applied = self.applied;
        let is_ready = |(index, _): &mut (LogIndex, PendingFreshness)| *index <= applied;
        let ready: Vec<_> = self.relays.awaiting_apply.extract_if(.., is_ready).collect();
        ready.into_iter().for_each(|(_, pending)| self.send_grant(pending));
        // Drops requests whose senders no longer wait for an answer.
        self.relays.awaiting_apply.retain(|(_, pending)| !pending.reply.is_closed());
    }

    /// Redirects the entries that are queued or wait for their read index to be applied.
    pub(super) fn redirect_relays(&mut self) {
        let awaiting_apply = std::mem::take(&mut self.relays.awaiting_apply);
        let queued = std::mem::take(&mut self.relays.queued);
        awaiting_apply.into_iter().for_each(|(_, pending)| self.redirect_to_leader(pending));
        queued.into_iter().for_each(|pending| self.redirect_to_leader(pending));
    }

    /// Queues a quorum round for a follower, if this replica is the leader.
    ///
    /// Rejects requests from non-members: other processes must not report on behalf of entries, and
    /// removed replicas no longer receive the log, so they would never catch up.
    pub(super) fn start_read_index(
        &mut self,
        request: ReadIndexRequest,
        reply: oneshot::Sender<Option<LogIndex>>,
    ) {
        let token = ReadToken(self.next_token);
        self.next_token += 1;
        if self.core.membership().get(request.replica).is_none() {
            self.settings.counters.count("read-index-refused");
            return send_reply(reply, None);
        }
        if self.core.queue_read(token).is_err() {
            return send_reply(reply, None);
        }
        let now = Instant::now();
        for (entry, version) in &request.entries {
            self.entry_leases.observe(entry, *version, now);
        }
        for entry in &request.changed {
            for command in EntryLeases::registration(self.state.view(), entry) {
                self.propose_internal(command);
            }
        }
        self.pending_index_reads.insert(token, reply);
    }

    fn build_read_index_request(
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
            if self.relays.record_report_if_due(&entry.name, now) {
                entries.push((entry.name.clone(), pending.request.version));
            }
        }
        ReadIndexRequest { replica: self.settings.identity, entries, changed }
    }
}
