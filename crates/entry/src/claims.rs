//! Claims of requests that are not idempotent.

use async_trait::async_trait;
use follow::{LeaderClient, SubmitResult};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use thiserror::Error;
use types::{
    CLAIM_RETENTION_MS, ClaimAnswer, ClaimRelease, ClaimRequest, ClaimResult, Command,
    CommandAnswer,
};

/// Time after which an entry stops trying to release or finish a claim.
const RECORD_TIMEOUT: Duration = Duration::from_millis(CLAIM_RETENTION_MS);

/// The reason why a claim was not decided.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The deadline passed or the answer was of another type; the claim may still be granted.
    #[error("the claim could not be decided in time")]
    Undecided,
    /// The leader refused the claim. Contains the reason.
    #[error("the claim was refused: {0}")]
    Refused(String),
}

/// Decides and records claims.
#[async_trait]
pub trait ClaimLedger: Send + Sync {
    /// Decides a claim. Submits the same attempt again until its answer is known or the deadline
    /// passes.
    async fn claim(
        &self,
        request: &ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimAnswer, ClaimError>;

    /// Releases a claim in the background, with retries.
    fn release(&self, release: ClaimRelease);

    /// Records the result of a claimed request in the background, with retries.
    fn finish(&self, result: ClaimResult);
}

/// Stores claims in the replicated log.
pub struct ReplicatedLedger {
    leader: Arc<LeaderClient>,
}

impl ReplicatedLedger {
    /// Returns a ledger that submits commands to this leader.
    pub fn new(leader: Arc<LeaderClient>) -> Self {
        Self { leader }
    }

    /// Submits a command in a task until it is applied or refused, or `RECORD_TIMEOUT` has passed.
    fn submit_in_background(&self, command: Command) {
        let leader = self.leader.clone();
        tokio::spawn(async move {
            // Soon after `CLAIM_RETENTION_MS` the replicas drop the claim and refuse its key as too
            // old, so a later command has no effect.
            let _ = leader.submit(command, Instant::now() + RECORD_TIMEOUT).await;
        });
    }
}

#[async_trait]
impl ClaimLedger for ReplicatedLedger {
    async fn claim(
        &self,
        request: &ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimAnswer, ClaimError> {
        match self.leader.submit(Command::Claim(request.clone()), deadline).await {
            SubmitResult::Applied(CommandAnswer::Claim(answer)) => Ok(answer),
            SubmitResult::Refused(reason) => Err(ClaimError::Refused(reason)),
            SubmitResult::Applied(_) | SubmitResult::Unknown => Err(ClaimError::Undecided),
        }
    }

    fn release(&self, release: ClaimRelease) {
        self.submit_in_background(Command::Release(release));
    }

    fn finish(&self, result: ClaimResult) {
        self.submit_in_background(Command::Finish(result));
    }
}
