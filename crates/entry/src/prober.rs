//! Probes of the servers that this entry owns, within each server's probe budget.
//!
//! Only the owner probes a server, and only while its view is fresh, so entries need not coordinate
//! the budget. A probe only tests whether a server is reachable, since answers to requests report
//! its load. A server that has answered this entry recently is not probed.

use crate::{EntryContext, catalog::ServerCatalog};
use http::{HeaderMap, Method, uri::PathAndQuery};
use parking_lot::Mutex;
use policy::ProbeBudget;
use runtime::EventKind;
use server::{ServerRequest, ServerTransport, StartGuard};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{FRESHNESS_LIMIT, ServerName, ServerRecord, SuspectKind, SuspectReport};

/// HTTP path of a probe.
const PROBE_PATH: &str = "/probe";
/// Period at which the budgets are checked.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Time allowed for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The probe budget of one server.
struct ServerBudget {
    /// Probes per minute.
    rate: u16,
    budget: ProbeBudget,
}

/// Probes the servers that this entry owns.
pub(crate) struct ServerProber {
    context: Arc<EntryContext>,
    catalog: Arc<ServerCatalog>,
    transport: Arc<dyn ServerTransport>,
    budgets: Mutex<BTreeMap<ServerName, ServerBudget>>,
}

impl ServerProber {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        catalog: Arc<ServerCatalog>,
        transport: Arc<dyn ServerTransport>,
    ) -> Arc<Self> {
        Arc::new(Self { context, catalog, transport, budgets: Mutex::default() })
    }

    /// Probes servers until the timer service ends.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.context.timer.subscribe(CHECK_PERIOD);
        while ticks.tick().await.is_some() {
            if !self.context.is_open() {
                continue;
            }
            for record in self.take_due(Instant::now()) {
                let prober = self.clone();
                tokio::spawn(async move { prober.probe(&record).await });
            }
        }
    }

    /// Returns the servers to probe now, and deducts the probes from their budgets.
    fn take_due(&self, now: Instant) -> Vec<ServerRecord> {
        let view = self.context.view();
        let records = self.catalog.owned_warm_servers();
        let mut budgets = self.budgets.lock();
        let mut retained = BTreeMap::new();
        let mut due = Vec::new();
        for record in records {
            let announcement = &record.announcement;
            let spec = view.service(&announcement.service);
            let rate = spec.map_or(0, |spec| spec.probes_per_minute);
            let previous =
                budgets.remove(&announcement.server).filter(|budget| budget.rate == rate);
            // The previous owner may continue to probe until its view expires.
            let mut budget = previous.unwrap_or_else(|| ServerBudget {
                rate,
                budget: ProbeBudget::new(rate, now + FRESHNESS_LIMIT),
            });
            if !self.catalog.has_answered_recently(&record, now) && budget.budget.take(now) {
                due.push(record.clone());
            }
            retained.insert(announcement.server.clone(), budget);
        }
        *budgets = retained;
        due
    }

    /// Probes a server, and marks it as suspected if it is not reachable.
    async fn probe(&self, record: &ServerRecord) {
        let announcement = &record.announcement;
        let counters = &self.context.counters.servers;
        counters.count("probed");
        if self.is_reachable(record).await {
            return;
        }
        counters.count("probe-failed");
        let detail = "probe failed".to_owned();
        self.context.record_server(EventKind::ServerSuspected, &announcement.server, detail);
        self.catalog.apply_suspicion(&SuspectReport {
            server: announcement.server.clone(),
            incarnation: announcement.incarnation,
            kind: SuspectKind::Unreachable,
        });
    }

    /// Returns whether a server accepts a connection and answers a probe in time.
    async fn is_reachable(&self, record: &ServerRecord) -> bool {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let address = record.announcement.address;
        let Ok(connection) = self.transport.connect(address, deadline).await else {
            return false;
        };
        let request = ServerRequest {
            method: Method::GET,
            path: PathAndQuery::from_static(PROBE_PATH),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
        };
        let context = self.context.clone();
        let guard: StartGuard = Arc::new(move || context.is_open());
        connection.send(request, guard, deadline).await.is_ok()
    }
}
