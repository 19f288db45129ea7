//! Claims of requests that must not be repeated.

use super::{ClusterState, CommandAnswer};
use crate::{
    AttemptId, CLAIM_EXPIRY_MS, CLAIM_RETENTION_MS, CLOCK_SKEW_LIMIT_MS, ClaimAnswer, ClaimKey,
    ClaimRelease, ClaimRequest, ClaimResult,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimStage {
    /// No attempt holds the claim.
    Free,
    /// The attempt may send the request.
    Held(AttemptId),
    /// The attempt ran the request; with the HTTP status of the server's answer.
    Ran(AttemptId, u16),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// Digest of the claimed request, set again by each grant of a free claim; 0 if the release
    /// arrived before the claim.
    pub(super) digest: u32,
    pub(super) stage: ClaimStage,
    /// Attempts that are never granted again.
    pub(super) released: SmallVec<[AttemptId; 1]>,
}

impl ClusterState {
    pub(super) fn decide_claim(&mut self, claim: &ClaimRequest) -> ClaimAnswer {
        let Some(key_time_ms) = claim.key.time_ms() else {
            return ClaimAnswer::BadKey;
        };
        if key_time_ms > self.time.0 + CLOCK_SKEW_LIMIT_MS {
            return ClaimAnswer::TooNew;
        }
        if let Some(record) = self.claims.get_mut(&claim.key) {
            return record.decide(claim);
        }
        if key_time_ms + CLAIM_RETENTION_MS < self.time.0 {
            return ClaimAnswer::TooOld;
        }
        let record = ClaimRecord {
            digest: claim.digest,
            stage: ClaimStage::Held(claim.attempt),
            released: SmallVec::new(),
        };
        self.insert_claim(key_time_ms, claim.key.clone(), record);
        ClaimAnswer::Granted
    }

    pub(super) fn release_claim(&mut self, release: &ClaimRelease) -> CommandAnswer {
        if let Some(record) = self.claims.get_mut(&release.key) {
            record.release(release.attempt);
        } else if let Some(key_time_ms) = release.key.time_ms()
            && key_time_ms + CLAIM_RETENTION_MS >= self.time.0
        {
            // The claim may arrive after its release; this record then refuses the attempt.
            let record = ClaimRecord {
                digest: 0,
                stage: ClaimStage::Free,
                released: SmallVec::from_elem(release.attempt, 1),
            };
            self.insert_claim(key_time_ms, release.key.clone(), record);
        }
        CommandAnswer::Done
    }

    pub(super) fn finish_claim(&mut self, result: &ClaimResult) -> CommandAnswer {
        if let Some(record) = self.claims.get_mut(&result.key)
            && record.stage == ClaimStage::Held(result.attempt)
        {
            record.stage = ClaimStage::Ran(result.attempt, result.status);
        }
        CommandAnswer::Done
    }

    pub(super) fn insert_claim(&mut self, key_time_ms: u64, key: ClaimKey, record: ClaimRecord) {
        self.expiry.insert((key_time_ms, key.clone()));
        self.claims.insert(key, record);
    }

    pub(super) fn expire_claims(&mut self) {
        while let Some((key_time_ms, _)) = self.expiry.first() {
            if key_time_ms + CLAIM_EXPIRY_MS >= self.time.0 {
                return;
            }
            if let Some((_, key)) = self.expiry.pop_first() {
                self.claims.remove(&key);
            }
        }
    }
}

impl ClaimRecord {
    fn decide(&mut self, claim: &ClaimRequest) -> ClaimAnswer {
        if self.released.contains(&claim.attempt) {
            return ClaimAnswer::Released;
        }
        if self.stage == ClaimStage::Free {
            self.digest = claim.digest;
            self.stage = ClaimStage::Held(claim.attempt);
            return ClaimAnswer::Granted;
        }
        if self.digest != claim.digest {
            return ClaimAnswer::OtherRequest;
        }
        match self.stage {
            ClaimStage::Held(attempt) if attempt == claim.attempt => ClaimAnswer::Granted,
            ClaimStage::Ran(_, status) => ClaimAnswer::Ran { status },
            ClaimStage::Held(_) | ClaimStage::Free => ClaimAnswer::Held,
        }
    }

    fn release(&mut self, attempt: AttemptId) {
        if !self.released.contains(&attempt) {
            self.released.push(attempt);
        }
        if self.stage == ClaimStage::Held(attempt) {
            self.stage = ClaimStage::Free;
        }
    }
}
