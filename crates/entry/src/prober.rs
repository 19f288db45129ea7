//! Probes of this entry's own servers, within the agreed budget of each.
//!
//! Only a server's owner probes it, and only while its view is fresh, so the budget needs no
//! coordination. Probes say just whether a server can be reached at all: load comes free on
//! answers, and a server that has answered this entry lately is not probed.

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

/// Path that is probed.
const PROBE_PATH: &str = "/probe";
/// Period of looks at the budgets.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Time allowed for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

struct ServerBudget {
    rate: u16,
    budget: ProbeBudget,
}

/// Probes the servers that this entry looks after.
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

    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = self.context.timer.subscribe(LOOK_PERIOD);
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

    /// Returns the servers to probe now, and counts the probes against their budgets.
    fn take_due(&self, now: Instant) -> Vec<ServerRecord> {
        let view = self.context.view();
        let records = self.catalog.own_warm_servers();
        let mut budgets = self.budgets.lock();
        let mut kept = BTreeMap::new();
        let mut due = Vec::new();
        for record in records {
            let announcement = &record.announcement;
            let spec = view.service(&announcement.service);
            let rate = spec.map_or(0, |spec| spec.probes_per_minute);
            let former = budgets.remove(&announcement.server).filter(|known| known.rate == rate);
            // A former owner may go on until its view runs out.
            let mut known = former.unwrap_or_else(|| ServerBudget {
                rate,
                budget: ProbeBudget::new(rate, now + FRESHNESS_LIMIT),
            });
            if !self.catalog.has_answered_lately(&record, now) && known.budget.take(now) {
                due.push(record.clone());
            }
            kept.insert(announcement.server.clone(), known);
        }
        *budgets = kept;
        due
    }

    async fn probe(&self, record: &ServerRecord) {
        let announcement = &record.announcement;
        let counters = &self.context.counters.servers;
        counters.count("probed");
        if self.is_reached(record).await {
            return;
        }
        counters.count("probe-failed");
        let detail = "probe failed".to_owned();
        self.context.record_server(EventKind::ServerSuspected, &announcement.server, detail);
        self.catalog.take_suspicion(&SuspectReport {
            server: announcement.server.clone(),
            incarnation: announcement.incarnation,
            kind: SuspectKind::Unreachable,
        });
    }

    async fn is_reached(&self, record: &ServerRecord) -> bool {
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
