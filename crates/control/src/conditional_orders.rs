//! Orders that take effect only on the state on which they were decided.
//!
//! An order may arrive late: its replica was paused, or the link to the leader has healed. Its caller
//! has given it up then, and newer orders may have been acknowledged. Such an order must not undo them.
//! Two checks prevent that. An order is decided on a state that a quorum has confirmed after the order
//! arrived, so that newer orders are part of it or will be refused; while the replica waits for the
//! quorum, the order is dropped if its caller has closed the connection. And the command names the
//! version that it replaces, so that one that is on its way for long has no effect.

use crate::{ControlError, ReplicaControl};
use follow::SubmitResult;
use peer::{FreshnessAnswer, FreshnessRequest};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout_at};
use types::{
    AnnounceDecision, Announcement, ChangeAction, ChangeAnswer, ChangeId, ChangeRequest,
    ClusterView, Command, CommandAnswer, DomainName, RefusalKind, ServerName, ServerState,
};
use uuid::Uuid;

/// Timeout of a decision. Shorter than the 1 s for which clients of the control plane wait.
pub(crate) const DECISION_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a quorum is asked again to confirm the view.
const CONFIRM_PAUSE: Duration = Duration::from_millis(20);

impl ReplicaControl {
    /// Submits a command to the leader and waits until it is applied there.
    pub(crate) async fn submit(&self, command: Command) -> Result<CommandAnswer, ControlError> {
        self.submit_until(command, Instant::now() + DECISION_TIMEOUT).await
    }

    /// Takes a failure domain out of service or brings it back, unless a newer order is applied
    /// before this one.
    pub(crate) async fn decide_drain(
        &self,
        domain: &DomainName,
        is_drained: bool,
    ) -> Result<(), ControlError> {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        loop {
            let view = self.confirm_view(deadline).await?;
            let domain = domain.clone();
            // Submitted even if the domain is in the requested state, so that the version tells an
            // older order on its way from this one.
            let change = ChangeRequest {
                id: ChangeId(Uuid::new_v4()),
                expected_version: view.drain_version(&domain),
                action: match is_drained {
                    true => ChangeAction::Drain(domain),
                    false => ChangeAction::Undrain(domain),
                },
            };
            match self.submit_until(Command::Change(change), deadline).await? {
                CommandAnswer::Change(ChangeAnswer::Accepted { .. }) => return Ok(()),
                CommandAnswer::Change(ChangeAnswer::Refused {
                    kind: RefusalKind::Conflict,
                    ..
                }) => self.counters.count("order-outdated"),
                CommandAnswer::Change(ChangeAnswer::Refused { reason, .. }) => {
                    return Err(ControlError::Unavailable(reason));
                }
                _ => return Err(ControlError::unexpected_answer()),
            }
        }
    }

    /// Takes a departed server out of service, unless another incarnation registers before that.
    ///
    /// The incarnation that the quorum confirmed is registered as leaving, which it stays until its
    /// lease ends or it starts again. `Command::Depart` names no incarnation.
    pub(crate) async fn decide_departure(&self, server: &ServerName) -> Result<(), ControlError> {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        loop {
            let view = self.confirm_view(deadline).await?;
            let Some(registered) = view.server(server) else {
                return Ok(());
            };
            let leaving = Announcement {
                state: ServerState::Leaving,
                sequence: registered.sequence.saturating_add(1),
                ..(**registered).clone()
            };
            match self.submit_until(Command::Announce(Arc::new(leaving)), deadline).await? {
                CommandAnswer::Announce(AnnounceDecision::Registered) => return Ok(()),
                CommandAnswer::Announce(_) => self.counters.count("order-outdated"),
                _ => return Err(ControlError::unexpected_answer()),
            }
        }
    }

    /// Asks a quorum to confirm the local view as of a time after this call. Returns the view, or
    /// `None` if no leader confirms it.
    pub(crate) async fn try_confirm_view(&self, deadline: Instant) -> Option<Arc<ClusterView>> {
        let request = FreshnessRequest {
            entry: None,
            version: self.replica.view().version,
            known_replicas: 0,
            may_relay: true,
        };
        let confirmed = timeout_at(deadline.into(), self.replica.freshness(request)).await;
        // Once it is confirmed, the local replica has applied every earlier decision.
        matches!(confirmed, Ok(FreshnessAnswer::Granted(_))).then(|| self.replica.view())
    }

    /// Does the same repeatedly until the deadline, since an election may be in progress.
    async fn confirm_view(&self, deadline: Instant) -> Result<Arc<ClusterView>, ControlError> {
        while Instant::now() < deadline {
            if let Some(view) = self.try_confirm_view(deadline).await {
                return Ok(view);
            }
            sleep(CONFIRM_PAUSE).await;
        }
        Err(ControlError::Unavailable("no leader confirmed the state".to_owned()))
    }

    async fn submit_until(
        &self,
        command: Command,
        deadline: Instant,
    ) -> Result<CommandAnswer, ControlError> {
        match self.router.submit(&command, deadline).await {
            SubmitResult::Applied(answer) => Ok(answer),
            SubmitResult::Refused(reason) => Err(ControlError::Unavailable(reason)),
            SubmitResult::Unknown => {
                Err(ControlError::Unavailable("no leader answered".to_owned()))
            }
        }
    }
}
