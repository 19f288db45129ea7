//! What a server tells the system about itself.

use crate::{DomainName, ServerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The greatest number of slots that a server may announce.
const MAX_SLOTS: u16 = 4096;

/// A number that a server draws or counts up at each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation(pub u64);

/// The state that a server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Not able to take requests yet.
    Starting,
    /// Able to take requests, though perhaps cold.
    Ready,
    /// Takes no new requests.
    Leaving,
}

/// One announcement of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name, unique over all services.
    pub server: ServerName,
    /// The service that the server offers.
    pub service: ServiceName,
    /// Where the server takes requests (HTTP/1.1).
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Requests that the server runs at the same time when warm.
    pub slots: u16,
    /// Greater at each start of the server.
    pub incarnation: ServerIncarnation,
    /// Greater at each announcement of one incarnation, so that a late one is recognised.
    #[serde(default)]
    pub sequence: u64,
    /// Current state.
    pub state: ServerState,
}

/// Says which field of an announcement is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// The number of slots is out of range.
    #[error("slots: {0} is not between 1 and 4096")]
    Slots(u16),
    /// The address cannot be connected to.
    #[error("address: {0} has no port or no usable IP number")]
    Address(SocketAddr),
}

impl Announcement {
    /// Checks the ranges of all fields.
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
