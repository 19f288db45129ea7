//! Claims of requests that may not be repeated.

use async_trait::async_trait;
use follow::{LeaderFinder, SubmitResult};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use thiserror::Error;
use types::{
    CLAIM_RETENTION_MS, ClaimAnswer, ClaimRelease, ClaimRequest, ClaimResult, Command,
    CommandAnswer,
};

/// How long the end of a claim is tried to be recorded.
const RECORD_LIMIT: Duration = Duration::from_millis(CLAIM_RETENTION_MS);

/// Says why a claim is not decided.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClaimError {
    /// The deadline passed; the claim may be granted yet.
    #[error("the claim could not be decided in time")]
    Undecided,
    /// The leader refuses to take claims.
    #[error("the claim was refused: {0}")]
    Refused(String),
}

/// Where claims are decided.
#[async_trait]
pub trait ClaimLedger: Send + Sync {
    /// Decides a claim. The same attempt is repeated until its answer is known.
    async fn claim(
        &self,
        request: &ClaimRequest,
        deadline: Instant,
    ) -> Result<ClaimAnswer, ClaimError>;

    /// Gives a claim up in the background; keeps trying to.
    fn release(&self, release: ClaimRelease);

    /// Records the end of a claimed request in the background.
    fn finish(&self, result: ClaimResult);
}

/// Claims in the replicated log.
pub struct ReplicatedLedger {
    leader: Arc<LeaderFinder>,
}

impl ReplicatedLedger {
    /// Returns a ledger that asks this leader.
    pub fn new(leader: Arc<LeaderFinder>) -> Self {
        Self { leader }
    }

    fn submit_in_background(&self, command: Command) {
        let leader = self.leader.clone();
        tokio::spawn(async move {
            // Past the limit the claim is forgotten anyway.
            let _ = leader.submit(command, Instant::now() + RECORD_LIMIT).await;
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
