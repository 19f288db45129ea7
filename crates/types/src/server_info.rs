//! The data that a server announces about itself.

use crate::{DomainName, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of slots that a server may announce.
const MAX_SLOTS: u16 = 4096;

/// Number that a server generates or increments at each start. Must be higher than at the previous
/// start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation(pub u64);

/// The state that a server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Does not accept requests yet.
    Starting,
    /// Accepts requests, but may still be cold.
    Ready,
    /// Accepts no new requests.
    Leaving,
}

/// One announcement of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name, unique across all services.
    pub server: ServerName,
    /// The service that the server provides.
    pub service: ServiceName,
    /// Address for requests (HTTP/1.1).
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Maximum number of concurrent requests when warm.
    pub slots: u16,
    /// Identifies the current run of the server.
    pub incarnation: ServerIncarnation,
    /// Increases with each announcement of one incarnation, so that a delayed one is detected.
    #[serde(default)]
    pub sequence: u64,
    /// Current state.
    pub state: ServerState,
}

/// The reason why an announcement is not valid, with the field concerned.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The number of slots is out of range.
    #[error("slots: {0} is not between 1 and 4096")]
    Slots(u16),
    /// The address is not a valid target of a connection.
    #[error("address: {0} has no port or no usable IP number")]
    Address(SocketAddr),
}

impl Announcement {
    /// Checks the number of slots and the address.
    pub fn verify(&self) -> Result<(), AnnouncementError> {
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return Err(AnnouncementError::Slots(self.slots));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(AnnouncementError::Address(self.address));
        }
        Ok(())
    }
}
