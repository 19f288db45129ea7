//! Claims: the replicated record that lets a request that may not be repeated run at most once.

use crate::{EntryName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use uuid::{Uuid, Version};

/// How long after the time in its key a request may still be claimed, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 300_000;
/// How far the time in a key may be ahead of the log's time, in milliseconds.
pub const CLOCK_SKEW_LIMIT_MS: u64 = 10_000;
/// How long after the time in its key a claim is remembered, in milliseconds.
///
/// Longer than the retention, so that a key is refused by its age before its claim is forgotten.
pub const CLAIM_FORGET_AFTER_MS: u64 = CLAIM_RETENTION_MS + 2 * CLOCK_SKEW_LIMIT_MS;

/// Time in the replicated log in milliseconds since the Unix epoch; never falls.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct LogTime(pub u64);

/// Identifies one try of one entry to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId(pub Uuid);

/// Identifies a request that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service asked for.
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

/// Asks for the right to send a request to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request.
    pub key: ClaimKey,
    /// CRC-32 of method, path and body, to tell another request with the same key apart.
    pub digest: u32,
    /// This try; repeated unchanged until its answer is known.
    pub attempt: AttemptId,
    /// The entry that asks.
    pub entry: EntryName,
}

/// Gives a claim up, for an attempt that sent no byte.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The request.
    pub key: ClaimKey,
    /// The attempt that is given up and may never be granted from now on.
    pub attempt: AttemptId,
}

/// Records that a claimed request was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimResult {
    /// The request.
    pub key: ClaimKey,
    /// The attempt that ran it.
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
    /// The key was used for a request with another content.
    OtherRequest,
    /// This attempt was released.
    Released,
    /// The time in the key is older than the retention.
    TooOld,
    /// The time in the key is ahead of the log's time.
    TooNew,
    /// The key is not a UUIDv7.
    BadKey,
}
