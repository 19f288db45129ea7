//! How the other parts of the process talk to its replica.

use crate::{ReplicaStatus, driver::ReplicaInput};
use consensus::{Member, MembershipChange};
use parking_lot::RwLock;
use peer::{FreshnessAnswer, FreshnessRequest, PeerAnswer, PeerRequest, SubmitAnswer};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use types::{ClusterView, Command, HostName, RoutingVersion, SourceText};

/// The replica's thread has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the replica has stopped")]
pub struct ReplicaStopped;

/// Sends inputs to the replica of this process.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) inputs: mpsc::Sender<ReplicaInput>,
    pub(crate) view: Arc<RwLock<Arc<ClusterView>>>,
    pub(crate) routing_source: Arc<RwLock<SourceText>>,
}

impl ReplicaHandle {
    /// Decides a command, if this replica leads.
    pub async fn submit(&self, command: Command) -> SubmitAnswer {
        self.ask(|reply| ReplicaInput::Submit(command, reply))
            .await
            .unwrap_or(SubmitAnswer::Unknown)
    }

    /// Changes the set of replicas, if this replica leads.
    pub async fn change_membership(&self, change: MembershipChange) -> SubmitAnswer {
        let answer = self.ask(|reply| ReplicaInput::ChangeMembership(change, reply)).await;
        answer.unwrap_or(SubmitAnswer::Unknown)
    }

    /// Confirms the view of an entry, if this replica leads.
    pub async fn freshness(&self, request: FreshnessRequest) -> FreshnessAnswer {
        let answer = self.ask(|reply| ReplicaInput::Freshness(request, reply)).await;
        answer.unwrap_or(FreshnessAnswer::NotLeader(None))
    }

    /// Forms a new group of replicas. Refused unless the data folder is empty.
    pub async fn bootstrap(&self, members: Vec<Member>) -> Result<(), String> {
        let answer = self.ask(|reply| ReplicaInput::Bootstrap(members, reply)).await;
        answer.unwrap_or_else(|stopped| Err(stopped.to_string()))
    }

    /// Returns the replica's account of itself.
    pub async fn status(&self) -> Result<ReplicaStatus, ReplicaStopped> {
        self.ask(ReplicaInput::Status).await
    }

    /// Returns the view as of the last applied entry. It may be old.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    /// Returns the text of the routing document of a version, if that is the last applied one.
    pub fn routing_source(&self, version: RoutingVersion) -> Option<SourceText> {
        // The view changes while the text is locked, so that both belong together.
        let source = self.routing_source.read();
        (self.view.read().routing_version() == version).then(|| source.clone())
    }

    /// Hands leadership over, if this replica leads, and ends its thread.
    pub async fn stop(&self) {
        // A replica that has stopped already needs no stop.
        let _ = self.ask(ReplicaInput::Stop).await;
    }

    /// Answers a peer's request that is meant for replicas. Returns `None` for all others.
    pub async fn handle(&self, host: &HostName, request: PeerRequest) -> Option<PeerAnswer> {
        match request {
            PeerRequest::Consensus(message) => {
                // Messages that a stopped or overloaded replica loses are sent again.
                let _ = self.inputs.send(ReplicaInput::Message(message)).await;
                Some(PeerAnswer::Done)
            }
            PeerRequest::ServersSeen(servers) => {
                // What a stopped replica loses is reported again to its successor.
                let _ = self.inputs.send(ReplicaInput::ServersSeen(servers)).await;
                Some(PeerAnswer::Done)
            }
            PeerRequest::Freshness(request) => {
                let entry = request.entry.as_ref();
                if entry.is_some_and(|entry| entry.name.as_str() != host.as_str()) {
                    return Some(PeerAnswer::Refused("entry and certificate differ".to_owned()));
                }
                Some(PeerAnswer::Freshness(Box::new(self.freshness(request).await)))
            }
            PeerRequest::ReadIndex(request) => {
                let index = self.ask(|reply| ReplicaInput::ReadIndex(request, reply)).await;
                Some(PeerAnswer::ReadIndex(index.unwrap_or(None)))
            }
            PeerRequest::Submit(command) => {
                if let Err(reason) = check_sender(host, &command) {
                    return Some(PeerAnswer::Refused(reason.to_owned()));
                }
                Some(PeerAnswer::Submit(self.submit(command).await))
            }
            PeerRequest::ChangeMembership(change) => {
                Some(PeerAnswer::Submit(self.change_membership(change).await))
            }
            _ => None,
        }
    }

    async fn ask<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> ReplicaInput,
    ) -> Result<T, ReplicaStopped> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).await.map_err(|_| ReplicaStopped)?;
        answer.await.map_err(|_| ReplicaStopped)
    }
}

/// Refuses commands that a peer may not give.
fn check_sender(host: &HostName, command: &Command) -> Result<(), &'static str> {
    match command {
        Command::Claim(claim) if claim.entry.as_str() != host.as_str() => {
            Err("claim for another entry")
        }
        Command::PutEntry(_)
        | Command::RemoveEntry(..)
        | Command::BalanceRanges
        | Command::Expire(..) => Err("only the leader gives this command"),
        _ => Ok(()),
    }
}
