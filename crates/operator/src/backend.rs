//! Trait through which the operators' interface uses the process.

use crate::{StatusPage, ViewPage};
use async_trait::async_trait;
use consensus::{Member, MembershipChange};
use runtime::{EventRecord, TimelineFilter};
use thiserror::Error;
use types::{ChangeAnswer, ChangeRequest};

/// Reason why an operator's request has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BackendError {
    /// The request was not carried out and will not be.
    #[error("{0}")]
    Refused(String),
    /// The request may have been carried out; resend it with the same id.
    #[error("{0}")]
    Unknown(String),
}

/// Carries out operators' requests.
#[async_trait]
pub trait OperatorBackend: Send + Sync {
    /// Returns the status of this process.
    async fn status(&self) -> StatusPage;

    /// Returns the configuration in force as the leader has it, or the local view if no leader
    /// answers.
    async fn view(&self) -> ViewPage;

    /// Returns the configuration that this process uses.
    async fn local_view(&self) -> ViewPage;

    /// Submits a change and returns the decision on it.
    async fn change(&self, change: ChangeRequest) -> Result<ChangeAnswer, BackendError>;

    /// Returns the events of this process that match a filter.
    async fn events(&self, filter: TimelineFilter) -> Vec<EventRecord>;

    /// Bootstraps this process's replica with the members of a new group.
    async fn bootstrap(&self, members: Vec<Member>) -> Result<(), BackendError>;

    /// Adds, promotes or removes one member of the set of replicas.
    async fn change_membership(&self, change: MembershipChange) -> Result<(), BackendError>;
}
