//! Answers of the directory, which lists the entries that callers should use for a service.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::EntryName;

/// The answer of `GET /v1/entries/{service}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryAnswer {
    /// Entries, in order of preference.
    pub entries: Vec<DirectoryEntry>,
    /// How long callers may cache the answer, in seconds.
    pub max_age_s: u64,
}

/// An entry that accepts requests for the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The entry's name.
    pub name: EntryName,
    /// Address for callers (HTTP/1.1).
    pub address: SocketAddr,
}
