//! Sends commands and membership changes from a replica to the leader that it follows.

use consensus::MembershipChange;
use follow::SubmitResult;
use peer::{PeerAnswer, PeerLink, PeerRequest, PeerTarget, SubmitAnswer};
use replica::{KnownLeader, ReplicaHandle};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{timeout, timeout_at};
use types::{Command, CommandAnswer};

/// Time allowed for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a command is sent to the same leader again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Routes commands to the leader that the local replica follows.
///
/// A replica learns of a new leader by the leader's first heartbeat, so it waits for that instead of
/// asking the other replicas: while there is no leader, those questions would delay the election.
pub(crate) struct OrderRouter {
    replica: ReplicaHandle,
    link: Arc<dyn PeerLink>,
}

impl OrderRouter {
    pub(crate) fn new(replica: ReplicaHandle, link: Arc<dyn PeerLink>) -> Self {
        Self { replica, link }
    }

    /// Submits a command repeatedly until its outcome is known or the deadline passes. The command
    /// must be idempotent, because it may be applied more than once.
    pub(crate) async fn submit(&self, command: &Command, deadline: Instant) -> SubmitResult {
        self.route(&PeerRequest::Submit(command.clone()), deadline).await
    }

    /// Submits a membership change repeatedly until a leader accepts or refuses it, or the deadline
    /// passes. An accepted change may not be committed yet.
    pub(crate) async fn change_membership(
        &self,
        change: &MembershipChange,
        deadline: Instant,
    ) -> SubmitResult {
        self.route(&PeerRequest::ChangeMembership(change.clone()), deadline).await
    }

    async fn route(&self, request: &PeerRequest, deadline: Instant) -> SubmitResult {
        let mut leader = self.replica.leader();
        while Instant::now() < deadline {
            let known_leader = leader.borrow_and_update().clone();
            match self.attempt(&known_leader, request, deadline).await {
                Some(SubmitAnswer::Applied(answer)) => return SubmitResult::Applied(answer),
                Some(SubmitAnswer::Accepted) => return SubmitResult::Applied(CommandAnswer::Done),
                Some(SubmitAnswer::Refused(reason)) => return SubmitResult::Refused(reason),
                Some(SubmitAnswer::NotLeader(_) | SubmitAnswer::Unknown) | None => {}
            }
            let retry_at = match known_leader {
                KnownLeader::Unknown => deadline,
                KnownLeader::Local | KnownLeader::Remote(_) => Instant::now() + RETRY_PAUSE,
            };
            let leader_changed = timeout_at(retry_at.min(deadline).into(), leader.changed()).await;
            if let Ok(Err(_)) = leader_changed {
                break;
            }
        }
        SubmitResult::Unknown
    }

    async fn attempt(
        &self,
        leader: &KnownLeader,
        request: &PeerRequest,
        deadline: Instant,
    ) -> Option<SubmitAnswer> {
        let left = deadline.saturating_duration_since(Instant::now()).min(ATTEMPT_TIMEOUT);
        let answer = match leader {
            KnownLeader::Unknown => return None,
            KnownLeader::Local => {
                let handled = self.replica.handle_own(request.clone());
                timeout(left, handled).await.ok()??
            }
            KnownLeader::Remote(leader) => {
                let target = PeerTarget { host: leader.host.clone(), address: leader.address };
                self.link.call(&target, request.clone(), left).await.ok()?
            }
        };
        match answer {
            PeerAnswer::Submit(answer) => Some(answer),
            _ => None,
        }
    }
}
