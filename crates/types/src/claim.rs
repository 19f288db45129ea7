//! Claims: replicated records that make a non-repeatable request run at most once.

use crate::{EntryName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{Uuid, Version};

/// Maximum age of a key for which a new claim is accepted, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 300_000;
/// Maximum number of milliseconds by which the time in a key may be ahead of the log's time.
pub const CLOCK_SKEW_LIMIT_MS: u64 = 10_000;
/// Time from the creation of a key to the expiry of its claim, in milliseconds.
///
/// Longer than [`CLAIM_RETENTION_MS`], so that a key is already refused as too old when its claim
/// expires.
pub const CLAIM_EXPIRY_MS: u64 = CLAIM_RETENTION_MS + 2 * CLOCK_SKEW_LIMIT_MS;

/// Time in the replicated log in milliseconds since the Unix epoch; never decreases.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogTime(pub u64);

/// Identifies one attempt of an entry to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId(pub Uuid);

/// Identifies a request that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The requested service.
    pub service: ServiceName,
    /// The caller's key (UUIDv7, RFC 9562).
    pub key: Uuid,
}

impl ClaimKey {
    /// Returns the time in the key in milliseconds since the Unix epoch, if it is a UUIDv7.
    pub fn time_ms(&self) -> Option<u64> {
        if self.key.get_version() != Some(Version::SortRand) {
            return None;
        }
        let (high, low, _, _) = self.key.as_fields();
        Some((u64::from(high) << 16) | u64::from(low))
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.key)
    }
}

/// Requests the exclusive right to send a request to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Identifies the request.
    pub key: ClaimKey,
    /// CRC-32 of method, path and body, to detect another request with the same key.
    pub digest: u32,
    /// This attempt; the same in every resend until the answer is known.
    pub attempt: AttemptId,
    /// The requesting entry.
    pub entry: EntryName,
}

/// Releases the claim of an attempt that sent nothing to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// Identifies the request.
    pub key: ClaimKey,
    /// The released attempt, which is never granted afterwards.
    pub attempt: AttemptId,
}

/// Records that a claimed request was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResult {
    /// Identifies the request.
    pub key: ClaimKey,
    /// The attempt that ran the request.
    pub attempt: AttemptId,
    /// HTTP status of the server's answer.
    pub status: u16,
}

/// The decision on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// This attempt, and no other, may send the request.
    Granted,
    /// Another attempt holds the claim; the request may have run.
    Held,
    /// The request ran.
    Ran {
        /// HTTP status of the server's answer.
        status: u16,
    },
    /// The key was used for a request with different content.
    OtherRequest,
    /// This attempt was released.
    Released,
    /// The key has no stored claim, and its time is more than [`CLAIM_RETENTION_MS`] behind the
    /// log's time.
    TooOld,
    /// The time in the key is more than [`CLOCK_SKEW_LIMIT_MS`] ahead of the log's time.
    TooNew,
    /// The key is not a UUIDv7.
    BadKey,
}
