//! The data that an entry reports to the replicas about itself.

use crate::{DomainName, EntryName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Random number that an entry generates at each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryIncarnation(pub u64);

/// Identity and addresses of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Name, equal to the host name in the entry's certificate.
    pub name: EntryName,
    /// Failure domain of the entry's host.
    pub domain: DomainName,
    /// Generated at each start.
    pub incarnation: EntryIncarnation,
    /// Address for callers (HTTP).
    pub caller_address: SocketAddr,
    /// Address for announcements of servers (HTTP).
    pub server_address: SocketAddr,
    /// Address for other processes of the system (QUIC).
    pub peer_address: SocketAddr,
    /// Address for operators (HTTPS).
    pub operator_address: SocketAddr,
    /// False once the entry has started a planned shutdown.
    pub serving: bool,
    /// Whether the entry may own ranges of the servers that announce themselves to entries.
    pub owns_shards: bool,
}
