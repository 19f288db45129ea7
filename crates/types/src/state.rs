//! The replicated state machine, which applies commands in log order and returns their answers.
//!
//! Applying a command is deterministic. The time comes only from the log, so that all replicas
//! expire the same claims.

mod claims;
mod servers;

use crate::{
    Announcement, ChangeAction, ChangeAnswer, ChangeDigest, ChangeId, ChangeRequest, ClaimAnswer,
    ClaimKey, ClaimRelease, ClaimRequest, ClaimResult, ClusterView, CrashLedger, DocumentVersion,
    DomainName, EntryIncarnation, EntryInfo, EntryName, LogTime, QuarantineChange, RefusalKind,
    RequestReport, RoutingDocument, RoutingVersion, ServerIncarnation, ServerName, TeamDocument,
    ViewChange, ViewError, ViewLog, ViewUpdate, ViewVersion,
};
use claims::{ClaimRecord, ClaimStage};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use thiserror::Error;

/// Maximum number of decided changes kept to answer resends.
const MAX_DECIDED_CHANGES: usize = 20_000;

/// Approximate size of an encoded command without a document, in bytes.
const SMALL_COMMAND_BYTES: usize = 96;
/// Approximate size of an encoded service of a team's document, in bytes.
const SERVICE_SPEC_BYTES: usize = 128;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Decides an operator's change.
    Change(ChangeRequest),
    /// Claims a request that must not be repeated.
    Claim(ClaimRequest),
    /// Releases a claim.
    Release(ClaimRelease),
    /// Records that a claimed request has run.
    Finish(ClaimResult),
    /// Registers an entry or updates it.
    PutEntry(EntryInfo),
    /// Removes an entry, unless it has restarted with another incarnation.
    RemoveEntry(EntryName, EntryIncarnation),
    /// Rebalances the ranges over the entries.
    BalanceRanges,
    /// Puts a routing document in force if its version is the highest so far. Carries the text as
    /// the operator sent it.
    PutRouting(Arc<RoutingDocument>, SourceText),
    /// Takes a failure domain out of service (`true`) or brings it back; the last command wins.
    SetDrain(DomainName, bool),
    /// Registers a server or changes its state.
    Announce(Arc<Announcement>),
    /// Removes a server that reported its departure.
    Depart(ServerName),
    /// Removes a server that sent no announcement for too long, unless it has restarted with
    /// another incarnation.
    Expire(ServerName, ServerIncarnation),
    /// Records what an entry reports about requests that crash servers.
    ReportRequests(RequestReport),
}

impl Command {
    /// Returns the approximate size of the encoded command in bytes.
    pub fn approximate_bytes(&self) -> usize {
        match self {
            // The decoded document takes about as many bytes as its text.
            Self::PutRouting(_, source) => SMALL_COMMAND_BYTES + 2 * source.len(),
            Self::Change(ChangeRequest { action: ChangeAction::Document(document), .. }) => {
                SMALL_COMMAND_BYTES + document.services.len() * SERVICE_SPEC_BYTES
            }
            Self::ReportRequests(report) => {
                SMALL_COMMAND_BYTES * (1 + report.crashes.len() + report.answered.len())
            }
            _ => SMALL_COMMAND_BYTES,
        }
    }
}

/// The text of a routing document as the operator sent it.
pub type SourceText = Arc<str>;

/// The decision on a routing document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutingDecision {
    /// The document is in force, as a result of this command or of an earlier copy of it.
    InForce,
    /// A higher version is in force; the document changes nothing.
    Superseded(RoutingVersion),
    /// A different document is in force under the same version.
    OtherContent,
}

/// The decision on an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnounceDecision {
    /// The server is registered. A server that is registered as leaving keeps that state until it
    /// restarts.
    Registered,
    /// The announcement is outdated and changes nothing: the registered one is at least as new,
    /// this or a later incarnation has departed, or another server with the same or a higher
    /// incarnation is registered at the same address.
    Stale,
    /// The service, address or domain differs from an earlier announcement of the same incarnation.
    Contradicts,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// Answer to [`Command::Change`].
    Change(ChangeAnswer),
    /// Answer to [`Command::Claim`].
    Claim(ClaimAnswer),
    /// Answer to [`Command::PutRouting`].
    Routing(RoutingDecision),
    /// Answer to [`Command::Announce`].
    Announce(AnnounceDecision),
    /// Answer to all other commands.
    Done,
}

/// A violated invariant of the state.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateViolation {
    /// An invariant of the view is violated.
    #[error(transparent)]
    View(#[from] ViewError),
    /// A claim is held by a released attempt.
    #[error("claim {0} is held by a released attempt")]
    ReleasedHolder(ClaimKey),
    /// A claim is missing from the expiry index.
    #[error("claim {0} is missing from the expiry index")]
    Expiry(ClaimKey),
}

/// All replicated state.
///
/// Invariants: those of [`ClusterView`]; a released attempt never holds a claim; every claim is in
/// the expiry index exactly once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    time: LogTime,
    view: ClusterView,
    recent: ViewLog,
    /// Digests and answers of decided changes, kept to answer resends.
    decided: BTreeMap<ChangeId, (ChangeDigest, ChangeAnswer)>,
    /// The ids in `decided`, oldest first.
    decided_order: VecDeque<ChangeId>,
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    /// Expiry index: for each claim the time in its key, in milliseconds since the Unix epoch, and
    /// the key.
    expiry: BTreeSet<(u64, ClaimKey)>,
    /// Servers that departed or were replaced by another at their address, with the removed
    /// incarnation.
    departed: BTreeMap<ServerName, ServerIncarnation>,
    /// The names in `departed`, oldest first.
    departed_order: VecDeque<ServerName>,
    routing_source: SourceText,
    crashes: CrashLedger,
}

impl ClusterState {
    /// Returns the latest time of an applied command.
    pub fn time(&self) -> LogTime {
        self.time
    }

    /// Returns the replicated view.
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// Returns the text of the routing document in force, as the operator sent it.
    pub fn routing_source(&self) -> &SourceText {
        &self.routing_source
    }

    /// Sets the maximum size in memory of the changes that are kept for entries that lag, in bytes.
    pub fn set_view_log_bytes(&mut self, limit_bytes: usize) {
        self.recent.set_limit_bytes(limit_bytes);
    }

    /// Returns the number of stored claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the update that brings an entry from `version` to the current view.
    pub fn update_since(&self, version: ViewVersion) -> ViewUpdate {
        let changes = self.changes_since(version).map(ViewUpdate::Changes);
        changes.unwrap_or_else(|| ViewUpdate::Whole(Box::new(self.view.clone())))
    }

    /// Returns the changes since `version`. Returns `None` if they are no longer stored, or if
    /// `version` is that of an empty view, since the whole view is then smaller than its changes.
    pub fn changes_since(&self, version: ViewVersion) -> Option<Vec<ViewChange>> {
        let lag = self.view.version.0.checked_sub(version.0)? as usize;
        let is_empty_view = version == ViewVersion::default() && lag > 0;
        let skipped = self.recent.len().checked_sub(lag).filter(|_| !is_empty_view)?;
        Some(self.recent.iter().skip(skipped).cloned().collect())
    }

    /// Returns the version that the oldest stored change follows.
    pub fn oldest_change(&self) -> ViewVersion {
        ViewVersion(self.view.version.0 - self.recent.len() as u64)
    }

    /// Returns `count` changes that follow `version`, or `None` if not all of them are stored.
    pub fn changes_between(&self, version: ViewVersion, count: usize) -> Option<Vec<ViewChange>> {
        let skipped = version.0.checked_sub(self.oldest_change().0)? as usize;
        let is_stored = skipped + count <= self.recent.len();
        is_stored.then(|| self.recent.iter().skip(skipped).take(count).cloned().collect())
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, time: LogTime, command: &Command) -> CommandAnswer {
        self.time = self.time.max(time);
        self.expire_claims();
        let expired = self.crashes.expire(self.time);
        self.change_quarantine(expired);
        match command {
            Command::Change(change) => CommandAnswer::Change(self.decide_change(change)),
            Command::Claim(claim) => CommandAnswer::Claim(self.decide_claim(claim)),
            Command::Release(release) => self.release_claim(release),
            Command::Finish(result) => self.finish_claim(result),
            Command::PutEntry(info) => self.put_entry(info),
            Command::RemoveEntry(name, incarnation) => self.remove_entry(name, *incarnation),
            Command::BalanceRanges => self.balance_ranges(),
            Command::PutRouting(document, source) => {
                CommandAnswer::Routing(self.put_routing(document, source))
            }
            Command::SetDrain(domain, is_drained) => self.set_drain(domain, *is_drained),
            Command::Announce(announcement) => CommandAnswer::Announce(self.announce(announcement)),
            Command::Depart(server) => self.depart(server),
            Command::Expire(server, incarnation) => self.expire(server, *incarnation),
            Command::ReportRequests(report) => self.record_report(report),
        }
    }

    /// Checks the invariants.
    pub fn verify(&self) -> Result<(), StateViolation> {
        self.view.verify()?;
        for (key, record) in &self.claims {
            if let ClaimStage::Held(attempt) = record.stage
                && record.released.contains(&attempt)
            {
                return Err(StateViolation::ReleasedHolder(key.clone()));
            }
            let expiry_key = (key.time_ms().unwrap_or_default(), key.clone());
            if !self.expiry.contains(&expiry_key) {
                return Err(StateViolation::Expiry(key.clone()));
            }
        }
        Ok(())
    }

    fn record_report(&mut self, report: &RequestReport) -> CommandAnswer {
        let answered = report.answered.iter().filter_map(|r| self.crashes.record_answer(r));
        let answered = answered.collect();
        self.change_quarantine(answered);
        for crash in &report.crashes {
            let changes = self.crashes.record_crash(self.time, crash);
            self.change_quarantine(changes);
        }
        CommandAnswer::Done
    }

    fn change_quarantine(&mut self, changes: Vec<QuarantineChange>) {
        for (request, stage) in changes {
            self.change_view(ViewChange::SetQuarantine(request, stage));
        }
    }

    fn change_view(&mut self, change: ViewChange) {
        self.view.apply(&change);
        self.recent.push(change);
    }

    fn decide_change(&mut self, change: &ChangeRequest) -> ChangeAnswer {
        let digest = change.digest();
        if let Some((first_digest, answer)) = self.decided.get(&change.id) {
            if *first_digest == digest {
                return answer.clone();
            }
            let reason = "this change id was used before for another change".to_owned();
            let current = self.current_version(&change.action);
            return ChangeAnswer::Refused { kind: RefusalKind::IdReused, current, reason };
        }
        let answer = self.decide_new_change(change);
        self.decided.insert(change.id, (digest, answer.clone()));
        self.decided_order.push_back(change.id);
        if self.decided_order.len() > MAX_DECIDED_CHANGES
            && let Some(oldest) = self.decided_order.pop_front()
        {
            self.decided.remove(&oldest);
        }
        answer
    }

    fn decide_new_change(&mut self, change: &ChangeRequest) -> ChangeAnswer {
        let current = self.current_version(&change.action);
        if change.expected_version != current {
            let reason = format!(
                "expected version {}, but version {current} is in force",
                change.expected_version
            );
            return ChangeAnswer::Refused { kind: RefusalKind::Conflict, current, reason };
        }
        let version = current.next();
        let view_change = match &change.action {
            ChangeAction::Document(document) => {
                if let Err((kind, reason)) = self.check_document(document) {
                    return ChangeAnswer::Refused { kind, current, reason };
                }
                ViewChange::PutDocument(document.clone(), version)
            }
            ChangeAction::Drain(domain) => ViewChange::SetDrain(domain.clone(), true, version),
            ChangeAction::Undrain(domain) => ViewChange::SetDrain(domain.clone(), false, version),
        };
        self.change_view(view_change);
        ChangeAnswer::Accepted { version }
    }

    fn check_document(&self, document: &TeamDocument) -> Result<(), (RefusalKind, String)> {
        document.verify().map_err(|error| (RefusalKind::Invalid, error.to_string()))?;
        for service in &document.services {
            let holder = self.view.holder(&service.name);
            if let Some(team) = holder.filter(|team| **team != document.team) {
                let reason = format!("service {} is held by team {team}", service.name);
                return Err((RefusalKind::ServiceHeld { team: team.clone() }, reason));
            }
        }
        Ok(())
    }

    fn current_version(&self, action: &ChangeAction) -> DocumentVersion {
        match action {
            ChangeAction::Document(document) => self.view.document_version(&document.team),
            ChangeAction::Drain(domain) | ChangeAction::Undrain(domain) => {
                self.view.drain_version(domain)
            }
        }
    }

    fn put_routing(
        &mut self,
        document: &Arc<RoutingDocument>,
        source: &SourceText,
    ) -> RoutingDecision {
        let current = self.view.routing();
        let version = self.view.routing_version();
        match current {
            Some(current) if current.version == document.version => {
                if self.routing_source == *source {
                    RoutingDecision::InForce
                } else {
                    RoutingDecision::OtherContent
                }
            }
            Some(current) if current.version > document.version => {
                RoutingDecision::Superseded(version)
            }
            _ => {
                let change = match current {
                    Some(current) => {
                        ViewChange::PatchRouting(Arc::new(document.patch_from(current)))
                    }
                    None => ViewChange::PutRouting(document.clone()),
                };
                self.change_view(change);
                self.routing_source = source.clone();
                RoutingDecision::InForce
            }
        }
    }

    fn set_drain(&mut self, domain: &DomainName, is_drained: bool) -> CommandAnswer {
        if self.view.is_drained(domain) != is_drained {
            let version = self.view.drain_version(domain).next();
            self.change_view(ViewChange::SetDrain(domain.clone(), is_drained, version));
        }
        CommandAnswer::Done
    }

    fn put_entry(&mut self, info: &EntryInfo) -> CommandAnswer {
        let registered = self.view.entry(&info.name);
        if registered != Some(info) {
            self.change_view(ViewChange::PutEntry(info.clone()));
        }
        CommandAnswer::Done
    }

    fn remove_entry(&mut self, name: &EntryName, incarnation: EntryIncarnation) -> CommandAnswer {
        if self.view.entry(name).is_some_and(|info| info.incarnation == incarnation) {
            self.change_view(ViewChange::RemoveEntry(name.clone()));
        }
        CommandAnswer::Done
    }

    fn balance_ranges(&mut self) -> CommandAnswer {
        let assignments = self.view.plan_ranges();
        if !assignments.is_empty() {
            self.change_view(ViewChange::AssignRanges(assignments));
        }
        CommandAnswer::Done
    }
}
