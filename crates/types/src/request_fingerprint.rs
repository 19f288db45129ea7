//! Fingerprints of callers' requests.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies requests that are alike: same method, host, target and body. The same on all hosts and
/// in all builds.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Returns the fingerprint of a request. `target` is the path with the query.
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method, host, target] {
            // The length separates the parts.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let digest = hasher.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}
