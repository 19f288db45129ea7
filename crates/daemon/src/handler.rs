//! Dispatches requests of other processes to the role that handles them.

use async_trait::async_trait;
use control::ReplicaControl;
use entry::EntryNode;
use peer::{PeerAnswer, PeerHandler, PeerRequest};
use replica::ReplicaHandle;
use std::sync::{Arc, OnceLock};
use types::HostName;

/// The roles of this process; each is set when it has started.
#[derive(Default)]
pub(crate) struct RoleHandler {
    pub(crate) replica: OnceLock<ReplicaHandle>,
    pub(crate) entry: OnceLock<Arc<EntryNode>>,
    pub(crate) control: OnceLock<Arc<ReplicaControl>>,
}

#[async_trait]
impl PeerHandler for RoleHandler {
    async fn handle(&self, host: &HostName, request: PeerRequest) -> PeerAnswer {
        let answer = match &request {
            PeerRequest::Consensus(_)
            | PeerRequest::Freshness(_)
            | PeerRequest::ReadIndex(_)
            | PeerRequest::Submit(_)
            | PeerRequest::ServersSeen(_)
            | PeerRequest::ChangeMembership(_) => match self.replica.get() {
                Some(replica) => replica.handle(host, request).await,
                None => None,
            },
            PeerRequest::ReportRequests(report) => match self.control.get() {
                Some(control) => Some(match control.record_requests(report.clone()).await {
                    Ok(()) => PeerAnswer::Done,
                    Err(error) => PeerAnswer::Refused(error.to_string()),
                }),
                None => None,
            },
            _ => match self.entry.get() {
                Some(entry) => entry.handle(host, request).await,
                None => None,
            },
        };
        answer.unwrap_or_else(|| PeerAnswer::Refused("this process has no such role".to_owned()))
    }
}
