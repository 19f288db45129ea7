//! Errors of the control plane.

use thiserror::Error;
use types::{DomainName, RoutingError, RoutingVersion};

/// The reason why a request to the control plane failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ControlError {
    /// The result is not known, or the request was refused, for the reason given: no quorum or
    /// leader answered in time, the leader refused the request or answered another one, or this
    /// replica does not have the routing document yet. The same request may be sent again to any
    /// replica.
    #[error("no decision in time: {0}")]
    Unavailable(String),
    /// The routing document is not valid.
    #[error("routing document: {0}")]
    InvalidRouting(#[from] RoutingError),
    /// A different document is in force under the same version.
    #[error("routing version {0} is in force with other content")]
    VersionTaken(RoutingVersion),
    /// No routing document has been accepted yet.
    #[error("no routing document has been accepted yet")]
    NoRouting,
    /// The failure domain is not configured.
    #[error("failure domain {0} is not known")]
    UnknownDomain(DomainName),
    /// The announcement is not valid.
    #[error("announcement: {0}")]
    InvalidAnnouncement(String),
    /// A report about requests has more findings than this replica takes; holds their number.
    #[error("report: {0} findings are too many")]
    InvalidReport(usize),
}

impl ControlError {
    /// The leader answered another command than the one submitted.
    pub(crate) fn unexpected_answer() -> Self {
        Self::Unavailable("the leader answered another command".to_owned())
    }
}
