//! The border between the operators' interface and the process behind it.

use crate::{StatusPage, ViewPage};
use async_trait::async_trait;
use consensus::{Member, MembershipChange};
use runtime::{EventRecord, TimelineFilter};
use thiserror::Error;
use types::{ChangeAnswer, ChangeRequest};

/// Says why an operator's request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BackendError {
    /// It was not carried out and will not be.
    #[error("{0}")]
    Refused(String),
    /// It may have been carried out; resend it with the same id.
    #[error("{0}")]
    Unknown(String),
}

/// Carries out operators' requests.
#[async_trait]
pub trait OperatorBackend: Send + Sync {
    /// Returns this process at a glance.
    async fn status(&self) -> StatusPage;

    /// Returns the configuration in force: the leader's, or while there is none as this process
    /// knows it.
    async fn view(&self) -> ViewPage;

    /// Returns the configuration that this process goes by.
    async fn local_view(&self) -> ViewPage;

    /// Decides a change.
    async fn change(&self, change: ChangeRequest) -> Result<ChangeAnswer, BackendError>;

    /// Returns events of this process.
    async fn events(&self, filter: TimelineFilter) -> Vec<EventRecord>;

    /// Forms a new group of replicas.
    async fn bootstrap(&self, members: Vec<Member>) -> Result<(), BackendError>;

    /// Changes the set of replicas by one member.
    async fn change_membership(&self, change: MembershipChange) -> Result<(), BackendError>;
}
