//! The directory: tells callers which entries to use for a service.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::EntryName;

/// The answer of `GET /v1/entries/{service}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryAnswer {
    /// Entries, best first.
    pub entries: Vec<DirectoryEntry>,
    /// How long the answer may be kept, in seconds.
    pub max_age_s: u64,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name.
    pub name: EntryName,
    /// Where to connect.
    pub address: SocketAddr,
}
