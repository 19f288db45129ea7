//! Handle through which other parts of the process send requests to the replica.

use crate::{MemberList, ReplicaStatus, driver::ReplicaInput, input_queue::InputSender};
use consensus::{Member, MembershipChange};
use parking_lot::RwLock;
use peer::{FreshnessAnswer, FreshnessRequest, PeerAnswer, PeerRequest, SubmitAnswer};
use runtime::ReplicaAddress;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use types::{ClusterView, Command, HostName, ServerIncarnation, ServerName, SourceText};

/// The replica's thread has ended, or it is overloaded and did not process the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the replica has stopped or is overloaded")]
pub struct ReplicaStopped;

/// The leader of the group, as known to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownLeader {
    /// No leader is known.
    Unknown,
    /// The replica itself leads.
    Local,
    /// Another replica leads.
    Remote(ReplicaAddress),
}

/// Sends inputs to the replica of this process.
#[derive(Clone)]
pub struct ReplicaHandle {
    pub(crate) inputs: InputSender,
    pub(crate) view: Arc<RwLock<Arc<ClusterView>>>,
    pub(crate) routing_source: Arc<RwLock<SourceText>>,
    pub(crate) leader: watch::Receiver<KnownLeader>,
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

    /// Returns the members of the group.
    pub async fn members(&self) -> Result<MemberList, ReplicaStopped> {
        self.call(ReplicaInput::Members).await
    }

    /// Returns a receiver of the known leader and its changes.
    pub fn leader(&self) -> watch::Receiver<KnownLeader> {
        self.leader.clone()
    }

    /// Records that servers have announced themselves, which renews their leases if this replica is
    /// the leader.
    pub fn record_servers_seen(&self, servers: Vec<(ServerName, ServerIncarnation)>) {
        self.inputs.send(ReplicaInput::ServersSeen(servers));
    }

    /// Returns the view as of the last applied log entry, which may be stale.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    /// Returns the source text of the routing document in force as of the last applied log entry, or
    /// `None` if there is none.
    pub fn routing_source(&self) -> Option<SourceText> {
        // Writers update the view while they hold the lock on the text, so both are consistent.
        let source = self.routing_source.read();
        self.view.read().routing().is_some().then(|| source.clone())
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
                self.inputs.send(ReplicaInput::Message(message));
                Some(PeerAnswer::Done)
            }
            PeerRequest::ServersSeen(servers) => {
                self.record_servers_seen(servers);
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

    /// Handles a command or membership change of this process. Returns `None` for other requests.
    pub async fn handle_own(&self, request: PeerRequest) -> Option<PeerAnswer> {
        match request {
            PeerRequest::Submit(command) => Some(PeerAnswer::Submit(self.submit(command).await)),
            PeerRequest::ChangeMembership(change) => {
                Some(PeerAnswer::Submit(self.change_membership(change).await))
            }
            _ => None,
        }
    }

    /// Sends an input to the replica thread and waits for the reply. Fails if the replica has stopped
    /// or is overloaded.
    async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> ReplicaInput,
    ) -> Result<T, ReplicaStopped> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply));
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
