//! What an entry tells the replicas about itself.

use crate::{DomainName, EntryName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A random number drawn at each start of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryIncarnation(pub u64);

/// Identity and addresses of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Name, equal to the host name in the entry's certificate.
    pub name: EntryName,
    /// Failure domain of the entry's host.
    pub domain: DomainName,
    /// Drawn at each start.
    pub incarnation: EntryIncarnation,
    /// Where callers connect (HTTP).
    pub caller_address: SocketAddr,
    /// Where servers announce themselves (HTTP).
    pub server_address: SocketAddr,
    /// Where the system's own processes connect (QUIC).
    pub peer_address: SocketAddr,
    /// Where operators connect (HTTPS).
    pub operator_address: SocketAddr,
    /// False once the entry has begun a planned stop.
    pub serving: bool,
    /// The entry looks after a share of the servers that announce themselves to entries.
    pub owns_shards: bool,
}
