//! Reports requests under which servers crashed, so that all entries stop sending them.

use crate::{
    local_quarantine::{LocalQuarantine, QuarantineStages},
    placer::ServerPlacer,
    relay::{RelayClient, RelayQuestion},
    servers::BackendServer,
};
use follow::LeaderClient;
use futures_util::future::join_all;
use parking_lot::{Mutex, RwLock};
use policy::{RecentAnswers, is_crash_proved};
use runtime::{DecisionCounters, Logger};
use slog::{info, warn};
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};
use types::{ClusterView, CrashReport, PoolSpec, RequestFingerprint, RequestReport};

/// Maximum number of findings that wait to be reported. Others are dropped and counted.
const MAX_QUEUED: usize = 256;
/// Maximum number of findings in one report.
const MAX_REPORTED: usize = 32;
/// Time in which findings are collected for one report.
const COLLECT_TIME: Duration = Duration::from_millis(10);
/// Period in which the time of requests in the local quarantine is checked.
const EXPIRY_PERIOD: Duration = Duration::from_secs(30);
/// Time allowed for one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// What the end of a request says about it.
pub(crate) enum RequestFinding {
    /// No server answered the request, and attempts at these servers were lost.
    Lost {
        /// The request.
        request: RequestFingerprint,
        /// The service of the servers.
        pool: PoolSpec,
        /// The servers.
        servers: SmallVec<[Arc<BackendServer>; 2]>,
    },
    /// A server answered a request that is in quarantine.
    Answered(RequestFingerprint),
}

/// Takes findings without waiting, and holds the quarantine of this entry.
#[derive(Clone)]
pub(crate) struct QuarantineClient {
    findings: mpsc::Sender<RequestFinding>,
    local: Arc<LocalQuarantine>,
    answers: Arc<Mutex<RecentAnswers>>,
    counters: DecisionCounters,
}

/// Checks which servers have crashed, with the help of other entries, and reports to the replicas.
pub(crate) struct CrashReporter {
    pub(crate) placer: Arc<ServerPlacer>,
    pub(crate) relay: Arc<RelayClient>,
    pub(crate) view: Arc<RwLock<Arc<ClusterView>>>,
    pub(crate) leader: Arc<LeaderClient>,
    pub(crate) local: Arc<LocalQuarantine>,
    pub(crate) counters: DecisionCounters,
    pub(crate) logger: Logger,
}

impl QuarantineClient {
    /// Queues a finding.
    pub(crate) fn send(&self, finding: RequestFinding) {
        if self.findings.try_send(finding).is_err() {
            self.counters.count("crash-report-dropped");
        }
    }

    /// Records that a server has answered a request.
    pub(crate) fn record_answer(&self, request: RequestFingerprint) {
        self.answers.lock().record(Instant::now(), request);
    }

    /// Returns whether a server has answered the request lately, so that it does not crash servers.
    pub(crate) fn was_answered(&self, request: &RequestFingerprint) -> bool {
        self.answers.lock().contains(Instant::now(), request)
    }

    /// Returns the requests in quarantine at this entry alone.
    pub(crate) fn local_stages(&self) -> Arc<QuarantineStages> {
        self.local.stages()
    }
}

impl CrashReporter {
    /// Starts the reporter and returns its client.
    pub(crate) fn start(self) -> QuarantineClient {
        let (findings, queue) = mpsc::channel(MAX_QUEUED);
        let (local, counters) = (self.local.clone(), self.counters.clone());
        tokio::spawn(self.run(queue));
        QuarantineClient { findings, local, answers: Arc::default(), counters }
    }

    async fn run(self, mut queue: mpsc::Receiver<RequestFinding>) {
        loop {
            let first = match timeout(EXPIRY_PERIOD, queue.recv()).await {
                Ok(Some(first)) => first,
                Ok(None) => return,
                Err(_) => {
                    self.local.record(Instant::now(), &RequestReport::default());
                    continue;
                }
            };
            sleep(COLLECT_TIME).await;
            let mut findings = vec![first];
            while findings.len() < MAX_REPORTED
                && let Ok(finding) = queue.try_recv()
            {
                findings.push(finding);
            }
            let report = self.examine(findings).await;
            if report != RequestReport::default() {
                self.send(report).await;
            }
        }
    }

    /// Checks whether the servers of lost attempts have crashed. A server that still answers has
    /// only lost a connection or an answer.
    async fn examine(&self, findings: Vec<RequestFinding>) -> RequestReport {
        let mut report = RequestReport::default();
        let mut checks = Vec::new();
        for finding in findings {
            match finding {
                RequestFinding::Answered(request) if !report.answered.contains(&request) => {
                    report.answered.push(request);
                }
                RequestFinding::Answered(_) => {}
                RequestFinding::Lost { request, pool, servers } => {
                    let check = |server| self.check(request, pool.clone(), server);
                    checks.extend(servers.into_iter().map(check));
                }
            }
        }
        report.crashes = join_all(checks).await.into_iter().flatten().collect();
        report
    }

    async fn check(
        &self,
        request: RequestFingerprint,
        pool: PoolSpec,
        server: Arc<BackendServer>,
    ) -> Option<CrashReport> {
        if !self.placer.seems_crashed(&server, &pool.health_path).await {
            return None;
        }
        let view = self.view.read().clone();
        let question = self.placer.crash_question(&server);
        let asked = RelayQuestion::Crash(question.clone());
        let (own, others) = tokio::join!(
            self.placer.observe_crash(&view, &question),
            self.relay.ask_witnesses(&asked)
        );
        if !is_crash_proved(&own, &others) {
            self.counters.count("crash-not-proved");
            info!(self.logger, "no proof that a server crashed under a request";
                "server" => %server.name, "incarnation" => server.incarnation.0,
                "fingerprint" => %request, "own" => ?own, "others" => ?others);
            return None;
        }
        info!(self.logger, "server crashed under a request"; "server" => %server.name,
            "incarnation" => server.incarnation.0, "fingerprint" => %request);
        let (server, incarnation) = (server.name.clone(), server.incarnation);
        Some(CrashReport { request, server, incarnation })
    }

    async fn send(&self, report: RequestReport) {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let is_taken = self.leader.report_requests(report.clone(), deadline).await;
        if is_taken {
            self.counters.count("crash-report-sent");
            // What servers have answered is no suspect here either.
            let answered = RequestReport { crashes: Vec::new(), ..report };
            self.local.record(Instant::now(), &answered);
        } else {
            self.counters.count("crash-report-failed");
            warn!(self.logger, "replicas did not take the report about requests, kept here";
                "crashes" => report.crashes.len(), "answered" => report.answered.len());
            self.local.record(Instant::now(), &report);
        }
    }
}
