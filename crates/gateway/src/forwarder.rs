//! Forwards requests: finds the route, runs the attempts, and builds the final response.

use crate::{
    GatewayAnswer, GatewaySettings, RequestMetadata, WireDialect,
    answer::remove_hop_headers,
    attempt::{AttemptResult, PreparedRequest},
    body::BodyMemory,
    call::{AttemptLog, CallerRequest, ForwardedCall},
    crash_reporter::QuarantineClient,
    final_answer::final_answer,
    placer::ServerPlacer,
    relay::{RelayAnswer, RelayClient, TriedServers, attach_answer},
    routes::InstalledRoutes,
    service_queue::ServiceQueue,
};
use http::{HeaderValue, StatusCode, Uri, header};
use parking_lot::{Mutex, RwLock};
use policy::{
    BudgetLimits, CallerTimeouts, CapacityForecast, ServiceTime, SharedBudget, StartupWait,
    retry_delay,
};
use runtime::{DecisionCounters, Histogram, Logger};
use slog::{info, warn};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::timeout_at};
use types::{
    CallerLimits, ClusterView, PoolSpec, QuarantineStage, RouteSpec, RoutingVersion, ServiceName,
};

/// Base of the retry time that callers get while the entry has no routes: the typical time from the
/// start of an entry until it has routes.
const NO_ROUTES_RETRY_BASE: Duration = Duration::from_millis(250);
/// Maximum age of the view by which a request is answered with 404. Views are confirmed four times a
/// second.
const MAX_DENIAL_VIEW_AGE: Duration = Duration::from_millis(600);
/// Maximum time that a request without a route waits for the confirmation of the view.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(400);
/// Maximum number of routes for which callers' timeouts are tracked. Above it, the timeouts of all
/// routes are discarded.
const MAX_TIMEOUT_ROUTES: usize = 4_096;
/// Initial estimate of the service time, as a fraction of the route's target latency.
const INITIAL_SERVICE_TIME_SHARE: f64 = 0.4;

/// Where a request comes from.
pub(crate) enum CallOrigin {
    /// A caller of this entry.
    Caller,
    /// Another entry.
    Entry {
        /// Servers that it already sent the request to.
        tried: TriedServers,
        /// Whether the request counts in this entry's share of the retry budget.
        is_budgeted: bool,
    },
}

/// A request with the service that it is for.
pub(crate) struct RoutedRequest {
    pub(crate) request: CallerRequest,
    pub(crate) metadata: RequestMetadata,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) pool: PoolSpec,
    /// Version of the routing document that the route is from.
    pub(crate) routing: RoutingVersion,
    pub(crate) origin: CallOrigin,
}

/// The state that an entry keeps for one service.
#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) budget: SharedBudget,
    pub(crate) service_time: Option<ServiceTime>,
    pub(crate) queue: Arc<ServiceQueue>,
}

/// Counters and histograms of forwarded requests.
pub(crate) struct ForwardMetrics {
    pub(crate) requests: DecisionCounters,
    pub(crate) attempts: DecisionCounters,
    pub(crate) latency: Histogram,
    pub(crate) placing: Histogram,
}

/// Forwards the requests of one entry.
pub(crate) struct RequestForwarder {
    pub(crate) placer: Arc<ServerPlacer>,
    pub(crate) relay: Arc<RelayClient>,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) view: Arc<RwLock<Arc<ClusterView>>>,
    pub(crate) routes: watch::Sender<Option<Arc<InstalledRoutes>>>,
    /// When the last request for a view was sent that confirmed the view.
    pub(crate) confirmed: watch::Sender<Option<Instant>>,
    pub(crate) startup_wait: StartupWait,
    pub(crate) started: Instant,
    pub(crate) budget: BudgetLimits,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) logger: Logger,
    quarantine: QuarantineClient,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
    caller_timeouts: Mutex<HashMap<Arc<str>, CallerTimeouts>>,
}

impl RequestForwarder {
    pub(crate) fn new(
        placer: Arc<ServerPlacer>,
        relay: Arc<RelayClient>,
        quarantine: QuarantineClient,
        view: Arc<RwLock<Arc<ClusterView>>>,
        settings: &GatewaySettings,
        metrics: ForwardMetrics,
        logger: Logger,
    ) -> Arc<Self> {
        let (dialect, memory) = (placer.dialect.clone(), placer.memory.clone());
        Arc::new(Self {
            placer,
            relay,
            quarantine,
            dialect,
            memory,
            view,
            routes: watch::Sender::new(None),
            confirmed: watch::Sender::new(None),
            startup_wait: settings.startup_wait,
            started: Instant::now(),
            budget: settings.budget,
            metrics,
            logger,
            services: Mutex::default(),
            caller_timeouts: Mutex::default(),
        })
    }

    /// Returns the current limits on what callers may send.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes.as_ref().map_or_else(CallerLimits::default, |routes| routes.document.limits.clone())
    }

    /// Returns whether a request may run concurrently with others of its connection. A
    /// non-idempotent request waits until all requests before it are answered: one of those
    /// responses might close the connection, and the caller would then assume that the request was
    /// not read.
    pub(crate) fn may_run_concurrently(&self, request: &CallerRequest) -> bool {
        let routes = self.routes.borrow();
        let Some(routes) = routes.as_ref() else {
            return false;
        };
        routes.find(request).is_none_or(|route| route.is_idempotent)
    }

    /// Records that a request was refused before it was read completely.
    pub(crate) fn record_refusal(&self, status: StatusCode, reason: &str) {
        self.metrics.requests.count("not-read");
        info!(self.logger, "request"; "id" => "-", "status" => status.as_u16(),
            "outcome" => "not-read", "reason" => reason);
    }

    /// Records that the body of a response broke off after its head had been sent.
    pub(crate) fn record_broken_answer(&self, id: Option<&HeaderValue>, reason: &str) {
        self.metrics.requests.count("broken-off");
        warn!(self.logger, "answer broken off"; "id" => id_text(id), "reason" => reason);
    }

    /// Forwards a request and returns the response. Dropping the future of an idempotent request
    /// cancels the request at its server.
    pub(crate) async fn forward(self: &Arc<Self>, request: CallerRequest) -> GatewayAnswer {
        let metadata = self.dialect.request_metadata(&request.headers);
        let Some(routes) = self.wait_for_routes(&metadata, request.arrived).await else {
            let answer = GatewayAnswer::refused("no routes are known yet", no_routes_retry_after());
            return self.finish_unrouted(&metadata, "no-routes", answer);
        };
        let routes = match routes.find(&request) {
            Some(_) => routes,
            // The route may have been added since the view was confirmed.
            None => match self.confirmed_routes(request.arrived).await {
                Some(confirmed) => confirmed,
                None => {
                    let reason = "no route is known, but the routes may have changed";
                    let answer = GatewayAnswer::refused(reason, no_routes_retry_after());
                    return self.finish_unrouted(&metadata, "routes-unconfirmed", answer);
                }
            },
        };
        let Some(route) = routes.find(&request).cloned() else {
            let answer = GatewayAnswer::own(StatusCode::NOT_FOUND, "no route for host and path");
            return self.finish_unrouted(&metadata, "no-route", answer);
        };
        let service = route.pick_service(rand::random());
        let Some(pool) = service.and_then(|service| routes.document.pool(service)).cloned() else {
            let answer = GatewayAnswer::own(StatusCode::NOT_FOUND, "the route has no service");
            return self.finish_unrouted(&metadata, "no-service", answer);
        };
        let routing = routes.document.version;
        let origin = CallOrigin::Caller;
        self.forward_routed(RoutedRequest { request, metadata, route, pool, routing, origin }).await
    }

    /// Forwards a request whose service is known.
    pub(crate) async fn forward_routed(self: &Arc<Self>, routed: RoutedRequest) -> GatewayAnswer {
        let RoutedRequest { request, metadata, route, pool, routing, origin } = routed;
        let CallerRequest { method, target, mut headers, body, reservation, arrived, caller } =
            request;
        let caller_wait = metadata.time_allowed.unwrap_or(route.timeout());
        let caller_deadline = arrived + caller_wait;
        let deadline = caller_deadline.min(arrived + route.timeout());
        remove_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let target = target.path_and_query().cloned().map(Uri::from).unwrap_or(target);
        let id = metadata.id;
        let request =
            PreparedRequest { id, method, target, headers, body, caller_deadline, deadline };
        let view = self.view.read().clone();
        let stage = self.quarantine_stage(&request);
        let is_idempotent = route.is_idempotent;
        let earlier_attempts_time =
            self.record_caller_timeout(&route, arrived, metadata.time_allowed);
        let (is_relayed, is_budgeted, tried) = match origin {
            CallOrigin::Caller => (false, true, SmallVec::new()),
            CallOrigin::Entry { tried, is_budgeted } => (true, is_budgeted, tried),
        };
        let attempt_log = Mutex::new(AttemptLog { tried, ..AttemptLog::default() });
        let call = ForwardedCall {
            route,
            pool,
            request,
            caller,
            arrived,
            earlier_attempts_time,
            routing,
            view,
            is_relayed,
            attempt_log,
            stage,
            quarantine: self.quarantine.clone(),
        };
        if is_budgeted {
            self.with_service(&call.pool.service, |state| {
                state.budget.record_request(arrived, &self.budget);
            });
        }
        if is_idempotent {
            let _reservation = reservation;
            return self.serve(&call).await;
        }
        // A non-idempotent request runs to completion even if the caller disconnects, so that it is
        // not cancelled halfway.
        let forwarder = self.clone();
        let task = tokio::spawn(async move {
            let _reservation = reservation;
            forwarder.serve(&call).await
        });
        task.await.unwrap_or_else(|_| {
            GatewayAnswer::own(StatusCode::INTERNAL_SERVER_ERROR, "the entry failed")
        })
    }

    /// Returns the current routes. An entry that has just started waits for its first ones.
    async fn wait_for_routes(
        &self,
        metadata: &RequestMetadata,
        arrived: Instant,
    ) -> Option<Arc<InstalledRoutes>> {
        let current = self.routes.borrow().clone();
        if current.is_some() {
            return current;
        }
        let deadline =
            self.startup_wait.wait_until(self.started, arrived, metadata.time_allowed)?;
        let mut routes = self.routes.subscribe();
        let installed = timeout_at(deadline.into(), routes.wait_for(Option::is_some)).await;
        installed.ok()?.ok()?.clone()
    }

    /// Returns the routes of a view that was current at most [`MAX_DENIAL_VIEW_AGE`] before `arrived`.
    /// Waits up to [`MAX_CONFIRMATION_WAIT`] for its confirmation, and returns `None` if there is
    /// none.
    async fn confirmed_routes(&self, arrived: Instant) -> Option<Arc<InstalledRoutes>> {
        let mut confirmed = self.confirmed.subscribe();
        let is_recent =
            |sent: &Option<Instant>| sent.is_some_and(|sent| sent + MAX_DENIAL_VIEW_AGE >= arrived);
        let deadline = arrived + MAX_CONFIRMATION_WAIT;
        timeout_at(deadline.into(), confirmed.wait_for(is_recent)).await.ok()?.ok()?;
        self.routes.borrow().clone()
    }

    /// Runs the attempts for a request, then records and logs the result.
    async fn serve(&self, call: &ForwardedCall) -> GatewayAnswer {
        let result = self.run_attempts(call).await;
        let is_servers_own =
            matches!(result, Ok(AttemptResult::Answered(_) | AttemptResult::Failed(_)));
        let (mut answer, outcome) =
            final_answer(call, result, self.service_time(call), &*self.dialect);
        let elapsed = call.arrived.elapsed();
        self.metrics.requests.count(outcome);
        self.metrics.latency.observe(elapsed.as_secs_f64());
        let attempt_log = call.attempt_log.lock();
        if call.is_relayed {
            let tried = attempt_log.tried.clone();
            let relay_answer = match answer.status {
                _ if is_servers_own => RelayAnswer::Answered(tried),
                StatusCode::SERVICE_UNAVAILABLE => RelayAnswer::not_run(tried, &answer),
                _ => RelayAnswer::Unknown(tried),
            };
            attach_answer(&mut answer.headers, &relay_answer);
        }
        info!(self.logger, "request"; "id" => id_text(call.request.id.as_ref()),
            "route" => &*call.route.name, "service" => %call.pool.service,
            "idempotent" => call.route.is_idempotent, "relayed" => call.is_relayed,
            "view" => call.view.version.0, "routing" => call.view.routing_version().0,
            "asked" => attempt_log.probe_count, "attempts" => attempt_log.summary.as_str(),
            "status" => answer.status.as_u16(), "outcome" => outcome,
            "waited_ms" => call.earlier_attempts_time.as_millis() as u64,
            "ms" => elapsed.as_millis() as u64,
            "left_ms" => (call.request.caller_deadline - Instant::now()).as_millis() as u64,
            "retry_after_ms" => answer.retry_after.map(|wait| wait.as_millis() as u64));
        answer
    }

    /// Returns a request's stage in the quarantine of all entries, or in that of this entry.
    pub(crate) fn quarantine_stage(&self, request: &PreparedRequest) -> Option<QuarantineStage> {
        let view = self.view.read().clone();
        let shared = request.quarantine_stage(view.quarantine());
        shared.max(request.quarantine_stage(&self.quarantine.local_stages()))
    }

    /// Records and logs the response to a request that was not routed to a service.
    fn finish_unrouted(
        &self,
        metadata: &RequestMetadata,
        outcome: &'static str,
        answer: GatewayAnswer,
    ) -> GatewayAnswer {
        self.metrics.requests.count(outcome);
        info!(self.logger, "request"; "id" => id_text(metadata.id.as_ref()),
            "view" => self.view.read().version.0, "status" => answer.status.as_u16(),
            "outcome" => outcome);
        answer
    }

    /// Records the timeout that a caller states, and returns the estimated time that the caller
    /// spent on earlier attempts.
    fn record_caller_timeout(
        &self,
        route: &RouteSpec,
        now: Instant,
        stated: Option<Duration>,
    ) -> Duration {
        let Some(stated) = stated else {
            return Duration::ZERO;
        };
        let mut timeouts = self.caller_timeouts.lock();
        if timeouts.len() > MAX_TIMEOUT_ROUTES {
            timeouts.clear();
        }
        timeouts.entry(route.name.clone()).or_default().record(now, stated)
    }

    /// Calls `update` with the state of a service, which is created if needed.
    pub(crate) fn with_service<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.lock();
        if let Some(state) = services.get_mut(service) {
            return update(state);
        }
        update(services.entry(service.clone()).or_default())
    }
}

/// Returns the retry time for a request that was refused because the entry has no routes yet.
fn no_routes_retry_after() -> Duration {
    retry_delay(CapacityForecast::After(NO_ROUTES_RETRY_BASE), rand::random())
}

/// Returns the estimate of the service time that is used until a first one has been recorded.
pub(crate) fn initial_service_time(route: &RouteSpec) -> Duration {
    route.target().mul_f64(INITIAL_SERVICE_TIME_SHARE)
}

pub(crate) fn id_text(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned()
}
