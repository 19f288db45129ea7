//! The interface of the control plane and its implementation on top of a replica.

use crate::{
    ControlError, EntryDirectory, conditional_orders::DECISION_TIMEOUT, directory_entries,
    liveness::LivenessReporter, order_router::OrderRouter,
};
use async_trait::async_trait;
use peer::PeerLink;
use replica::ReplicaHandle;
use runtime::{DecisionCounters, Logger, TimerService};
use slog::{info, warn};
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};
use types::{
    AnnounceDecision, Announcement, Command, CommandAnswer, DomainName, RequestReport,
    RoutingDecision, RoutingDocument, RoutingVersion, ServerName, ServerState, SourceText,
};

/// Maximum number of findings in a report about requests.
const MAX_REPORTED_REQUESTS: usize = 256;

/// Requests that operators and servers may send to a replica.
///
/// A caller that stops waiting drops the future. An order that has not been submitted by then is not
/// carried out.
#[async_trait]
pub trait ControlPlane: Send + Sync {
    /// Registers a server or changes its state. If the server announces that it is leaving, success
    /// means that the registry holds this state.
    async fn announce(&self, announcement: Announcement) -> Result<AnnounceDecision, ControlError>;

    /// Takes a departed server out of service until it starts again.
    async fn depart(&self, server: ServerName) -> Result<(), ControlError>;

    /// Puts a routing document in force, unless a higher version is in force. `source` is the text
    /// of the document as the operator sent it. Returns the version in force.
    async fn put_routing(
        &self,
        document: RoutingDocument,
        source: SourceText,
    ) -> Result<RoutingVersion, ControlError>;

    /// Returns the text of the routing document currently in force, as confirmed by a quorum.
    async fn read_routing(&self) -> Result<SourceText, ControlError>;

    /// Takes a failure domain out of service (`true`) or brings it back.
    async fn set_drain(&self, domain: DomainName, is_drained: bool) -> Result<(), ControlError>;
}

/// The control plane of a replica, which submits every command to the leader, local or remote.
pub struct ReplicaControl {
    pub(crate) replica: ReplicaHandle,
    pub(crate) router: OrderRouter,
    liveness: Arc<LivenessReporter>,
    domains: BTreeSet<DomainName>,
    pub(crate) counters: DecisionCounters,
    logger: Logger,
}

impl ReplicaControl {
    /// Returns the control plane of a replica and starts its liveness reports to the leader.
    ///
    /// Announcements and drains of failure domains that are not in `domains` are refused. If it
    /// is empty, every failure domain is accepted.
    pub fn start(
        replica: ReplicaHandle,
        link: Arc<dyn PeerLink>,
        domains: BTreeSet<DomainName>,
        timer: TimerService,
        counters: DecisionCounters,
        logger: Logger,
    ) -> Arc<Self> {
        let liveness = Arc::new(LivenessReporter::default());
        tokio::spawn(liveness.clone().run(replica.clone(), link.clone(), timer));
        let router = OrderRouter::new(replica.clone(), link);
        Arc::new(Self { replica, router, liveness, domains, counters, logger })
    }

    /// Records what an entry reports about requests that crash servers.
    ///
    /// # Errors
    ///
    /// Fails if the report is too long, or if no leader takes it in time.
    pub async fn record_requests(&self, report: RequestReport) -> Result<(), ControlError> {
        if report.crashes.len() + report.answered.len() > MAX_REPORTED_REQUESTS {
            self.counters.count("request-report-invalid");
            return Err(ControlError::InvalidReport(report.crashes.len() + report.answered.len()));
        }
        let (crashes, answered) = (report.crashes.len(), report.answered.len());
        let result = self.submit(Command::ReportRequests(report)).await.map(|_| ());
        self.counters.count("request-report");
        info!(self.logger, "request report"; "crashes" => crashes, "answered" => answered,
            "outcome" => outcome_text(&result));
        result
    }

    /// Refuses announcements with invalid values, of unknown failure domains, or with an undeclared
    /// service in place of that of a server in service, before they are submitted.
    fn check_announcement(&self, announcement: &Announcement) -> Result<(), ControlError> {
        let invalid = ControlError::InvalidAnnouncement;
        announcement.verify().map_err(|error| invalid(error.to_string()))?;
        if !self.domains.is_empty() && !self.domains.contains(&announcement.domain) {
            return Err(invalid(format!("failure domain {} is not known", announcement.domain)));
        }
        let view = self.replica.view();
        let is_departure = |registered: &Announcement| {
            announcement.state == ServerState::Leaving
                && announcement.incarnation == registered.incarnation
        };
        if let Some(routing) = view.routing()
            && routing.pool(&announcement.service).is_none()
            && let Some(registered) = view.server(&announcement.server)
            && registered.state != ServerState::Leaving
            && !is_departure(registered)
        {
            return Err(invalid(format!("service {} is not declared", announcement.service)));
        }
        Ok(())
    }

    fn log_announcement(&self, announcement: &Announcement, outcome: &str) {
        info!(self.logger, "announcement"; "server" => %announcement.server,
            "service" => %announcement.service, "address" => %announcement.address,
            "domain" => %announcement.domain, "state" => ?announcement.state,
            "incarnation" => announcement.incarnation.0, "sequence" => announcement.sequence,
            "outcome" => outcome);
    }
}

#[async_trait]
impl ControlPlane for ReplicaControl {
    async fn announce(&self, announcement: Announcement) -> Result<AnnounceDecision, ControlError> {
        if let Err(error) = self.check_announcement(&announcement) {
            self.counters.count("announcement-invalid");
            self.log_announcement(&announcement, &error.to_string());
            return Err(error);
        }
        self.liveness.record(&announcement);
        let view = self.replica.view();
        // Announcements that would change nothing are not submitted: within an incarnation, a
        // change of `slots` alone has no effect, and a leaving server keeps that state until it
        // restarts.
        let is_registered = view.server(&announcement.server).is_some_and(|server| {
            server.incarnation == announcement.incarnation
                && server.service == announcement.service
                && server.address == announcement.address
                && server.domain == announcement.domain
                && (server.state == announcement.state || server.state == ServerState::Leaving)
        });
        if is_registered {
            self.counters.count("announcement-known");
            return Ok(AnnounceDecision::Registered);
        }
        let command = Command::Announce(Arc::new(announcement.clone()));
        let result = self.submit(command).await;
        let decision = match result {
            Ok(CommandAnswer::Announce(decision)) => decision,
            Ok(_) => return Err(ControlError::unexpected_answer()),
            Err(error) => {
                self.counters.count("announcement-undecided");
                self.log_announcement(&announcement, &error.to_string());
                return Err(error);
            }
        };
        self.counters.count("announcement-decided");
        self.log_announcement(&announcement, &format!("{decision:?}"));
        match decision {
            AnnounceDecision::Contradicts => Err(ControlError::InvalidAnnouncement(format!(
                "server {} said otherwise before in the same incarnation",
                announcement.server
            ))),
            decision => Ok(decision),
        }
    }

    async fn depart(&self, server: ServerName) -> Result<(), ControlError> {
        let result = self.decide_departure(&server).await;
        let outcome = outcome_text(&result);
        self.counters.count("departure");
        info!(self.logger, "departure"; "server" => %server, "outcome" => outcome);
        result
    }

    async fn put_routing(
        &self,
        document: RoutingDocument,
        source: SourceText,
    ) -> Result<RoutingVersion, ControlError> {
        let version = document.version;
        if let Err(error) = document.verify() {
            self.counters.count("routing-invalid");
            warn!(self.logger, "routing refused"; "version" => version.0, "reason" => %error);
            return Err(error.into());
        }
        let routes = document.routes.len();
        let result = self.submit(Command::PutRouting(Arc::new(document), source)).await;
        let result = match result {
            Ok(CommandAnswer::Routing(RoutingDecision::InForce)) => Ok(version),
            Ok(CommandAnswer::Routing(RoutingDecision::Superseded(current))) => Ok(current),
            Ok(CommandAnswer::Routing(RoutingDecision::OtherContent)) => {
                Err(ControlError::VersionTaken(version))
            }
            Ok(_) => Err(ControlError::unexpected_answer()),
            Err(error) => Err(error),
        };
        self.counters.count(if result.is_ok() { "routing-taken" } else { "routing-not-taken" });
        // 0 on every failure, even if some version is in force.
        let in_force = result.as_ref().map_or(0, |version| version.0);
        let outcome = outcome_text(&result);
        info!(self.logger, "routing"; "version" => version.0, "routes" => routes,
            "in_force" => in_force, "outcome" => outcome);
        result
    }

    async fn read_routing(&self) -> Result<SourceText, ControlError> {
        let confirmed = self.try_confirm_view(Instant::now() + DECISION_TIMEOUT).await;
        if confirmed.is_none() {
            return Err(ControlError::Unavailable("no leader confirmed the read".to_owned()));
        }
        self.replica.routing_source().ok_or(ControlError::NoRouting)
    }

    async fn set_drain(&self, domain: DomainName, is_drained: bool) -> Result<(), ControlError> {
        if !self.domains.is_empty() && !self.domains.contains(&domain) {
            return Err(ControlError::UnknownDomain(domain));
        }
        let result = self.decide_drain(&domain, is_drained).await;
        let outcome = outcome_text(&result);
        self.counters.count("drain");
        info!(self.logger, "drain"; "domain" => %domain, "drained" => is_drained,
            "outcome" => outcome);
        result
    }
}

impl EntryDirectory for ReplicaControl {
    fn entries_for(&self, caller_domain: Option<&DomainName>, limit: usize) -> Vec<SocketAddr> {
        directory_entries(&self.replica.view(), caller_domain, limit)
    }
}

fn outcome_text<T>(result: &Result<T, ControlError>) -> String {
    match result {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}
