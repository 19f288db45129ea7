//! Handle through which other parts of the process send requests to the replica.

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
    /// Proposes a command and waits until it is applied. Only the leader accepts commands.
    pub async fn submit(&self, command: Command) -> SubmitAnswer {
        self.call(|reply| ReplicaInput::Submit(command, reply))
            .await
            .unwrap_or(SubmitAnswer::Unknown)
    }

    /// Proposes a membership change. Only the leader accepts changes.
    pub async fn change_membership(&self, change: MembershipChange) -> SubmitAnswer {
        let answer = self.call(|reply| ReplicaInput::ChangeMembership(change, reply)).await;
        answer.unwrap_or(SubmitAnswer::Unknown)
    }

    /// Confirms that an entry's view is current, or returns the missing changes.
    ///
    /// The leader serves all requests; a follower serves those with `may_relay` set.
    pub async fn freshness(&self, request: FreshnessRequest) -> FreshnessAnswer {
        let answer = self.call(|reply| ReplicaInput::Freshness(request, reply)).await;
        answer.unwrap_or(FreshnessAnswer::NotLeader(None))
    }

    /// Forms a new set of replicas. Succeeds without effect if this replica already has the same
    /// members.
    ///
    /// # Errors
    ///
    /// Returns a reason if the data folder belongs to a different set, if this replica is not among
    /// `members`, or if the disk write fails.
    pub async fn bootstrap(&self, members: Vec<Member>) -> Result<(), String> {
        let answer = self.call(|reply| ReplicaInput::Bootstrap(members, reply)).await;
        answer.unwrap_or_else(|stopped| Err(stopped.to_string()))
    }

    /// Returns the replica's status.
    pub async fn status(&self) -> Result<ReplicaStatus, ReplicaStopped> {
        self.call(ReplicaInput::Status).await
    }

    /// Returns the view as of the last applied log entry, which may be stale.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    /// Returns the source text of the routing document if `version` is the last applied one.
    pub fn routing_source(&self, version: RoutingVersion) -> Option<SourceText> {
        // Writers update the view while they hold the lock on the text, so both are consistent.
        let source = self.routing_source.read();
        (self.view.read().routing_version() == version).then(|| source.clone())
    }

    /// Transfers leadership, if this replica is the leader, and stops its thread.
    pub async fn stop(&self) {
        // Fails only if the replica has already stopped.
        let _ = self.call(ReplicaInput::Stop).await;
    }

    /// Handles a peer's request. Returns `None` if the request is not addressed to replicas.
    pub async fn handle(&self, host: &HostName, request: PeerRequest) -> Option<PeerAnswer> {
        match request {
            PeerRequest::Consensus(message) => {
                // Consensus resends messages that a stopped or overloaded replica loses.
                let _ = self.inputs.send(ReplicaInput::Message(message)).await;
                Some(PeerAnswer::Done)
            }
            PeerRequest::ServersSeen(servers) => {
                // Fails if the replica has stopped; the report is repeated to the next leader.
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
                let index = self.call(|reply| ReplicaInput::ReadIndex(request, reply)).await;
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

    /// Sends an input to the replica thread and waits for the reply.
    async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> ReplicaInput,
    ) -> Result<T, ReplicaStopped> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).await.map_err(|_| ReplicaStopped)?;
        answer.await.map_err(|_| ReplicaStopped)
    }
}

/// Rejects commands that the peer on `host` is not allowed to submit.
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
