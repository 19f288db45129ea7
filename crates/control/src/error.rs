//! Why a request to the control plane was not carried out.

use thiserror::Error;
use types::{DomainName, RoutingError, RoutingVersion};

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ControlError {
    /// No leader decided in time; the same request may be sent again anywhere.
    #[error("no decision in time: {0}")]
    Unavailable(String),
    /// The routing document is not valid.
    #[error("routing document: {0}")]
    InvalidRouting(#[from] RoutingError),
    /// Another document is in force under the same version.
    #[error("routing version {0} is in force with other content")]
    VersionTaken(RoutingVersion),
    /// No routing document has been accepted yet.
    #[error("no routing document has been accepted yet")]
    NoRouting,
    /// The failure domain does not exist.
    #[error("failure domain {0} is not known")]
    UnknownDomain(DomainName),
    /// The announcement is not valid.
    #[error("announcement: {0}")]
    InvalidAnnouncement(String),
}
