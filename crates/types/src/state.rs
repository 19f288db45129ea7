//! The replicated state machine: commands in log order in, answers out.
//!
//! Applying is deterministic. Time enters only through the log, so that all replicas forget alike.

mod claims;
mod servers;

use crate::{
    Announcement, ChangeAction, ChangeAnswer, ChangeDigest, ChangeId, ChangeRequest, ClaimAnswer,
    ClaimKey, ClaimRelease, ClaimRequest, ClaimResult, ClusterView, DocumentVersion, DomainName,
    EntryIncarnation, EntryInfo, EntryName, LogTime, RefusalKind, RoutingDocument, RoutingVersion,
    ServerIncarnation, ServerName, TeamDocument, VIEW_LOG_LIMIT, ViewChange, ViewError, ViewUpdate,
    ViewVersion,
};
use claims::{ClaimRecord, ClaimStage};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};
use thiserror::Error;

/// How many decided changes are remembered for resends.
const CHANGE_MEMORY: usize = 20_000;

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Decides an operator's change.
    Change(ChangeRequest),
    /// Claims a request that may not be repeated.
    Claim(ClaimRequest),
    /// Gives up a claim.
    Release(ClaimRelease),
    /// Records the end of a claimed request.
    Finish(ClaimResult),
    /// Registers an entry or updates it.
    PutEntry(EntryInfo),
    /// Removes an entry, unless it has been started again since.
    RemoveEntry(EntryName, EntryIncarnation),
    /// Spreads the ranges over the entries.
    BalanceRanges,
    /// Puts a routing document, with its text as the operator sent it, in force if its version is
    /// the highest so far.
    PutRouting(Arc<RoutingDocument>, SourceText),
    /// Takes a failure domain out of service (`true`) or brings it back; the last one decides.
    SetDrain(DomainName, bool),
    /// Registers a server or changes its state.
    Announce(Arc<Announcement>),
    /// Removes a server that says that it is gone.
    Depart(ServerName),
    /// Removes a server that was silent for too long, unless it has been started again since.
    Expire(ServerName, ServerIncarnation),
}

/// The text of a routing document as the operator sent it.
pub type SourceText = Arc<str>;

/// How a routing document was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutingDecision {
    /// It is in force, now or since an earlier copy of it.
    InForce,
    /// A higher version is in force, so that it changes nothing.
    Superseded(RoutingVersion),
    /// Another document is in force under its version.
    OtherContent,
}

/// How an announcement was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnounceDecision {
    /// The registry holds what it says.
    Registered,
    /// It is older than what the registry holds and changes nothing.
    Stale,
    /// It contradicts what the server said before in the same incarnation.
    Contradicts,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// For a change.
    Change(ChangeAnswer),
    /// For a claim.
    Claim(ClaimAnswer),
    /// For a routing document.
    Routing(RoutingDecision),
    /// For an announcement.
    Announce(AnnounceDecision),
    /// For all others.
    Done,
}

/// Says how the state contradicts itself.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StateViolation {
    /// The view contradicts itself.
    #[error(transparent)]
    View(#[from] ViewError),
    /// A claim is held by an attempt that was released.
    #[error("claim {0} is held by a released attempt")]
    ReleasedHolder(ClaimKey),
    /// The claims and their expiry queue differ.
    #[error("claim {0} has no place in the expiry order")]
    Expiry(ClaimKey),
}

/// All replicated state.
///
/// Invariants: those of [`ClusterView`]; a released attempt never holds a claim; every claim stands
/// once in the expiry order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    time: LogTime,
    view: ClusterView,
    recent: VecDeque<ViewChange>,
    decided: BTreeMap<ChangeId, (ChangeDigest, ChangeAnswer)>,
    decided_order: VecDeque<ChangeId>,
    claims: BTreeMap<ClaimKey, ClaimRecord>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    departed: BTreeMap<ServerName, ServerIncarnation>,
    departed_order: VecDeque<ServerName>,
    routing_source: SourceText,
}

impl ClusterState {
    /// Returns the time of the last command.
    pub fn time(&self) -> LogTime {
        self.time
    }

    /// Returns the view that entries hold.
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// Returns the text of the routing document in force, as the operator sent it.
    pub fn routing_source(&self) -> &SourceText {
        &self.routing_source
    }

    /// Returns the number of claims remembered.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns what an entry at `version` needs to reach the current view.
    pub fn update_since(&self, version: ViewVersion) -> ViewUpdate {
        let changes = self.changes_since(version).map(ViewUpdate::Changes);
        changes.unwrap_or_else(|| ViewUpdate::Whole(Box::new(self.view.clone())))
    }

    /// Returns the changes since `version`, `None` if they are not remembered, or if the whole view
    /// is smaller because nothing is held at that version.
    pub fn changes_since(&self, version: ViewVersion) -> Option<Vec<ViewChange>> {
        let behind = self.view.version.0.checked_sub(version.0)? as usize;
        let holds_nothing = version == ViewVersion::default() && behind > 0;
        let skipped = self.recent.len().checked_sub(behind).filter(|_| !holds_nothing)?;
        Some(self.recent.iter().skip(skipped).cloned().collect())
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, time: LogTime, command: &Command) -> CommandAnswer {
        self.time = self.time.max(time);
        self.forget_claims();
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
            Command::Announce(server) => CommandAnswer::Announce(self.announce(server)),
            Command::Depart(server) => self.depart(server),
            Command::Expire(server, incarnation) => self.expire(server, *incarnation),
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
            let place = (key.time_ms().unwrap_or_default(), key.clone());
            if !self.expiry.contains(&place) {
                return Err(StateViolation::Expiry(key.clone()));
            }
        }
        Ok(())
    }

    fn change_view(&mut self, change: ViewChange) {
        self.view.apply(&change);
        self.recent.push_back(change);
        if self.recent.len() > VIEW_LOG_LIMIT {
            self.recent.pop_front();
        }
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
        if self.decided_order.len() > CHANGE_MEMORY
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
            Some(held) if held.version == document.version => {
                if self.routing_source == *source {
                    RoutingDecision::InForce
                } else {
                    RoutingDecision::OtherContent
                }
            }
            Some(held) if held.version > document.version => RoutingDecision::Superseded(version),
            _ => {
                let change = match current {
                    Some(held) => ViewChange::PatchRouting(Arc::new(document.patch_from(held))),
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
        let known = self.view.entry(&info.name);
        if known != Some(info) {
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
        let moves = self.view.plan_ranges();
        if !moves.is_empty() {
            self.change_view(ViewChange::AssignRanges(moves));
        }
        CommandAnswer::Done
    }
}
