//! Fingerprints of callers' requests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Hash over all parts of a request but the bytes of its body. It costs little for any body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeadHash(u64);

impl HeadHash {
    /// Returns the hash for a request. `target` is the path with the query.
    pub fn new(method: &str, host: &str, target: &str, body_bytes: usize) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, host, target] {
            // The length separates the parts.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update((body_bytes as u64).to_be_bytes());
        Self(first_u64(hasher))
    }
}

/// Identifies requests that are alike: same method, host, target and body. The same on all hosts
/// and in all builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint {
    head: HeadHash,
    body: u64,
}

impl RequestFingerprint {
    /// Returns the fingerprint of a request with this hash of its head.
    pub fn new(head: HeadHash, body: &[u8]) -> Self {
        Self { head, body: first_u64(Sha256::new_with_prefix(body)) }
    }

    /// Returns the smallest and the largest fingerprint of requests with this hash of their heads.
    pub fn range(head: HeadHash) -> (Self, Self) {
        (Self { head, body: 0 }, Self { head, body: u64::MAX })
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.head.0, self.body)
    }
}

/// Returns the first eight bytes of a hash.
fn first_u64(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&digest[..size_of::<u64>()]);
    u64::from_be_bytes(bytes)
}
