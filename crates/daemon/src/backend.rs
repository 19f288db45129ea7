//! Carries out operators' requests with the roles of this process.

use crate::handler::RoleHandler;
use async_trait::async_trait;
use consensus::{Member, MembershipChange};
use follow::{LeaderClient, SubmitResult};
use operator::{BackendError, EntryPage, OperatorBackend, ServerRow, StatusPage, ViewPage};
use peer::QuicNode;
use policy::ServerStatus;
use runtime::{EventRecord, EventTimeline, TimelineFilter};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{ChangeAnswer, ChangeRequest, Command, CommandAnswer, DomainName, EntryName, HostName};

/// Time within which a change is resubmitted until its outcome is known.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time allowed for reading the view from the leader, before the local view is returned instead.
const VIEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Answers operators' requests from the roles of this process, or through the leader.
pub(crate) struct ProcessBackend {
    pub(crate) process: HostName,
    pub(crate) domain: DomainName,
    pub(crate) peer_address: SocketAddr,
    pub(crate) roles: Arc<RoleHandler>,
    pub(crate) node: Arc<QuicNode>,
    pub(crate) leader: LeaderClient,
    pub(crate) timeline: EventTimeline,
}

#[async_trait]
impl OperatorBackend for ProcessBackend {
    async fn status(&self) -> StatusPage {
        let replica = match self.roles.replica.get() {
            Some(replica) => replica.status().await.ok(),
            None => None,
        };
        let entry = self.roles.entry.get().map(|entry| EntryPage {
            is_open: entry.is_open(),
            view: entry.view().version,
            servers: entry.servers().into_iter().map(server_row).collect(),
        });
        let traffic = self.node.traffic();
        StatusPage {
            sent_bytes: traffic.sent,
            received_bytes: traffic.received,
            process: self.process.clone(),
            domain: self.domain.clone(),
            peer_address: self.peer_address,
            replica,
            entry,
        }
    }

    async fn view(&self) -> ViewPage {
        if let Some(view) = self.leader.read_view(VIEW_TIMEOUT).await {
            return ViewPage::new(&view);
        }
        self.local_view().await
    }

    async fn local_view(&self) -> ViewPage {
        match (self.roles.entry.get(), self.roles.replica.get()) {
            (Some(entry), _) => ViewPage::new(&entry.view()),
            (None, Some(replica)) => ViewPage::new(&replica.view()),
            (None, None) => ViewPage::new(&types::ClusterView::default()),
        }
    }

    async fn change(&self, change: ChangeRequest) -> Result<ChangeAnswer, BackendError> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self.leader.submit(Command::Change(change), deadline).await {
            SubmitResult::Applied(CommandAnswer::Change(answer)) => Ok(answer),
            SubmitResult::Refused(reason) => Err(BackendError::Refused(reason)),
            SubmitResult::Applied(_) | SubmitResult::Unknown => {
                let reason = "no decision in time; resend with the same change id".to_owned();
                Err(BackendError::Unknown(reason))
            }
        }
    }

    async fn events(&self, filter: TimelineFilter) -> Vec<EventRecord> {
        self.timeline.select(&filter)
    }

    async fn bootstrap(&self, members: Vec<Member>) -> Result<(), BackendError> {
        let not_replica = || BackendError::Refused("this process is no replica".to_owned());
        let replica = self.roles.replica.get().ok_or_else(not_replica)?;
        replica.bootstrap(members).await.map_err(BackendError::Refused)
    }

    async fn change_membership(&self, change: MembershipChange) -> Result<(), BackendError> {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self.leader.change_membership(change, deadline).await {
            SubmitResult::Applied(_) => Ok(()),
            SubmitResult::Refused(reason) => Err(BackendError::Refused(reason)),
            SubmitResult::Unknown => {
                Err(BackendError::Unknown("no leader took the change in time".to_owned()))
            }
        }
    }
}

fn server_row(status: ServerStatus) -> ServerRow {
    let ServerStatus { record, owner, .. } = status;
    let owner: EntryName = owner;
    ServerRow {
        server: record.announcement.server,
        service: record.announcement.service,
        domain: record.announcement.domain,
        stage: record.stage,
        owner,
    }
}
