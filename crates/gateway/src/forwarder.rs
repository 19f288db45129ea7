//! The way of a request through an entry: route, attempts, final answer.

use crate::{
    GatewayAnswer, RequestTerms, WireDialect,
    answer::remove_hop_headers,
    attempt::{AttemptEnd, PreparedRequest, run_attempt},
    body::BodyMemory,
    call::{CallerRequest, ForwardedCall},
    final_answer::final_answer,
    placer::{PlaceError, ProbedServer, ServerPlacer},
    routes::InstalledRoutes,
    service_line::ServiceLine,
};
use futures_util::future::Either;
use http::{StatusCode, Uri, header};
use parking_lot::{Mutex, RwLock};
use policy::{
    BudgetLimits, CallerTimeouts, CapacityForecast, ServiceTime, SharedBudget, StartupWait,
    retry_delay,
};
use runtime::{DecisionCounters, Histogram, Logger};
use slog::info;
use std::{
    collections::HashMap,
    fmt::Write as _,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{sleep_until, timeout_at},
};
use types::{CallerLimits, ClusterView, RouteSpec, ServiceName};

/// Time after which an entry that has just started usually holds routes.
const NO_ROUTES_WAIT: Duration = Duration::from_millis(250);
/// Routes whose callers' patience is remembered.
const MAX_PATIENCE_ROUTES: usize = 4_096;
/// Part of the target latency after which a second server gets an idempotent request.
const HEDGE_SHARE: f64 = 0.6;
/// Usual time of a service's work before any answer, as a part of the target latency.
const FIRST_WORK_SHARE: f64 = 0.4;

/// What an entry has learned of one service.
#[derive(Default)]
pub(crate) struct ServiceNotes {
    budget: SharedBudget,
    pub(crate) usual_work: Option<ServiceTime>,
    pub(crate) line: Arc<ServiceLine>,
}

/// Counters and histograms of forwarding.
pub(crate) struct ForwardMetrics {
    pub(crate) requests: DecisionCounters,
    pub(crate) attempts: DecisionCounters,
    pub(crate) latency: Histogram,
    pub(crate) placing: Histogram,
}

/// Forwards requests.
pub(crate) struct RequestForwarder {
    pub(crate) placer: ServerPlacer,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) memory: Arc<BodyMemory>,
    pub(crate) view: Arc<RwLock<Arc<ClusterView>>>,
    pub(crate) routes: watch::Sender<Option<Arc<InstalledRoutes>>>,
    pub(crate) first_routes: StartupWait,
    pub(crate) started: Instant,
    pub(crate) budget: BudgetLimits,
    pub(crate) metrics: ForwardMetrics,
    pub(crate) logger: Logger,
    services: Mutex<HashMap<ServiceName, ServiceNotes>>,
    patience: Mutex<HashMap<Arc<str>, CallerTimeouts>>,
}

impl RequestForwarder {
    pub(crate) fn new(
        placer: ServerPlacer,
        view: Arc<RwLock<Arc<ClusterView>>>,
        budget: BudgetLimits,
        first_routes: StartupWait,
        metrics: ForwardMetrics,
        logger: Logger,
    ) -> Arc<Self> {
        let (dialect, memory) = (placer.dialect.clone(), placer.memory.clone());
        Arc::new(Self {
            placer,
            dialect,
            memory,
            view,
            routes: watch::Sender::new(None),
            first_routes,
            started: Instant::now(),
            budget,
            metrics,
            logger,
            services: Mutex::default(),
            patience: Mutex::default(),
        })
    }

    /// Returns the bounds on what callers may send at present.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes.as_ref().map_or_else(CallerLimits::default, |routes| routes.document.limits.clone())
    }

    /// Says whether a request may run beside others of its connection. One that may not be
    /// repeated waits until those before it are answered, since their answers may close the
    /// connection, and the caller then takes it for not read.
    pub(crate) fn may_overlap(&self, request: &CallerRequest) -> bool {
        let routes = self.routes.borrow();
        let Some(routes) = routes.as_ref() else {
            return false;
        };
        routes.find(request).is_none_or(|route| route.is_idempotent)
    }

    /// Notes that bytes of a caller were refused before they were a whole request.
    pub(crate) fn note_refusal(&self, status: StatusCode, reason: &str) {
        self.metrics.requests.count("not-read");
        info!(self.logger, "request"; "id" => "-", "status" => status.as_u16(),
            "outcome" => "not-read", "reason" => reason);
    }

    /// Answers a request. Dropping the future of an idempotent request cancels it at its server.
    pub(crate) async fn forward(self: &Arc<Self>, request: CallerRequest) -> GatewayAnswer {
        let terms = self.dialect.request_terms(&request.headers);
        let Some(routes) = self.known_routes(&terms, request.arrived).await else {
            let answer = GatewayAnswer::refused("no routes are known yet", no_routes_wait());
            return self.finish_unrouted(&terms, "no-routes", answer);
        };
        let Some(route) = routes.find(&request).cloned() else {
            let answer = GatewayAnswer::own(StatusCode::NOT_FOUND, "no route for host and path");
            return self.finish_unrouted(&terms, "no-route", answer);
        };
        let service = route.part_for(rand::random());
        let Some(pool) = service.and_then(|service| routes.document.pool(service)).cloned() else {
            let answer = GatewayAnswer::own(StatusCode::NOT_FOUND, "the route has no service");
            return self.finish_unrouted(&terms, "no-service", answer);
        };
        let CallerRequest { method, target, mut headers, body, held, arrived } = request;
        let caller_wait = terms.time_allowed.unwrap_or(route.timeout());
        let caller_deadline = arrived + caller_wait;
        let deadline = caller_deadline.min(arrived + route.timeout());
        remove_hop_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let target = target.path_and_query().cloned().map(Uri::from).unwrap_or(target);
        let id = terms.id;
        let request =
            PreparedRequest { id, method, target, headers, body, caller_deadline, deadline };
        let view = self.view.read().clone();
        let is_idempotent = route.is_idempotent;
        let waited = self.note_patience(&route, arrived, terms.time_allowed);
        let trail = Mutex::default();
        let call = ForwardedCall { route, pool, request, arrived, waited, view, trail };
        self.with_notes(&call.pool.service, |notes| {
            notes.budget.record_request(arrived, &self.budget);
        });
        if is_idempotent {
            let _held = held;
            return self.serve(&call).await;
        }
        // Runs to its end even if the caller leaves, so that no order is broken off half way.
        let forwarder = self.clone();
        let task = tokio::spawn(async move {
            let _held = held;
            forwarder.serve(&call).await
        });
        task.await.unwrap_or_else(|_| {
            GatewayAnswer::own(StatusCode::INTERNAL_SERVER_ERROR, "the entry failed")
        })
    }

    /// Returns the routes in force. An entry that has just started waits for its first ones.
    async fn known_routes(
        &self,
        terms: &RequestTerms,
        arrived: Instant,
    ) -> Option<Arc<InstalledRoutes>> {
        let held = self.routes.borrow().clone();
        if held.is_some() {
            return held;
        }
        let end = self.first_routes.wait_until(self.started, arrived, terms.time_allowed)?;
        let mut routes = self.routes.subscribe();
        let known = timeout_at(end.into(), routes.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    async fn serve(&self, call: &ForwardedCall) -> GatewayAnswer {
        let end = self.run_attempts(call).await;
        let (answer, outcome) = final_answer(call, end, self.usual_work(call), &*self.dialect);
        let elapsed = call.arrived.elapsed();
        self.metrics.requests.count(outcome);
        self.metrics.latency.observe(elapsed.as_secs_f64());
        let trail = call.trail.lock();
        info!(self.logger, "request"; "id" => id_text(call.request.id.as_ref()),
            "route" => &*call.route.name, "service" => %call.pool.service,
            "idempotent" => call.route.is_idempotent,
            "view" => call.view.version.0, "routing" => call.view.routing_version().0,
            "asked" => trail.asked, "attempts" => trail.text.as_str(),
            "status" => answer.status.as_u16(), "outcome" => outcome,
            "waited_ms" => call.waited.as_millis() as u64, "ms" => elapsed.as_millis() as u64,
            "left_ms" => (call.request.caller_deadline - Instant::now()).as_millis() as u64,
            "retry_after_ms" => answer.retry_after.map(|wait| wait.as_millis() as u64));
        answer
    }

    /// Tries servers until one answers. Returns what the last attempt came to, or why there was
    /// none.
    async fn run_attempts(&self, call: &ForwardedCall) -> Result<AttemptEnd, PlaceError> {
        let mut last: Option<AttemptEnd> = None;
        while call.may_try_again() {
            if last.is_some() && !self.may_repeat(call, last.as_ref()) {
                break;
            }
            let placed = self.find_server(call).await;
            let end = match (placed, last.take()) {
                (Ok(probed), _) => self.run_hedged(call, probed).await,
                (Err(_), Some(end)) => return Ok(end),
                (Err(error), None) => return Err(error),
            };
            if matches!(end, AttemptEnd::Answered(_)) {
                return Ok(end);
            }
            last = Some(end);
        }
        last.ok_or(PlaceError::NoServers)
    }

    fn may_repeat(&self, call: &ForwardedCall, last: Option<&AttemptEnd>) -> bool {
        let now = Instant::now();
        let is_harmless = match last {
            Some(AttemptEnd::NotRun(_)) | None => true,
            Some(AttemptEnd::Failed(_) | AttemptEnd::Unknown(_)) => call.route.is_idempotent,
            Some(AttemptEnd::Answered(_) | AttemptEnd::TimedOut) => false,
        };
        is_harmless && now < call.request.deadline && self.take_repeat(call, now)
    }

    fn take_repeat(&self, call: &ForwardedCall, now: Instant) -> bool {
        let entries = call.view.entries().filter(|entry| entry.serving).count();
        let is_granted = self
            .with_notes(&call.pool.service, |notes| notes.budget.take(now, &self.budget, entries));
        self.metrics.attempts.count(if is_granted { "repeated" } else { "repeat-refused" });
        is_granted
    }

    /// Runs one attempt, and for an idempotent request a second one beside it if the first takes
    /// long. The one that loses is dropped, which cancels it at its server.
    async fn run_hedged(&self, call: &ForwardedCall, probed: ProbedServer) -> AttemptEnd {
        let first = pin!(self.run_one(call, probed));
        if !call.route.is_idempotent {
            return first.await;
        }
        let hedge_at = Instant::now() + call.route.target().mul_f64(HEDGE_SHARE);
        let waiting = pin!(sleep_until(hedge_at.min(call.request.deadline).into()));
        let first = match futures_util::future::select(first, waiting).await {
            Either::Left((end, _)) => return end,
            Either::Right(((), first)) => first,
        };
        let now = Instant::now();
        let is_late = now >= call.request.deadline;
        if is_late || !call.may_try_again() || !self.take_repeat(call, now) {
            return first.await;
        }
        let second = pin!(async {
            match self.find_server(call).await {
                Ok(probed) => Some(self.run_one(call, probed).await),
                Err(_) => None,
            }
        });
        match futures_util::future::select(first, second).await {
            Either::Left((end @ AttemptEnd::Answered(_), _)) => end,
            Either::Left((end, second)) => second.await.unwrap_or(end),
            Either::Right((Some(end @ AttemptEnd::Answered(_)), _)) => end,
            Either::Right((_, first)) => first.await,
        }
    }

    async fn run_one(&self, call: &ForwardedCall, probed: ProbedServer) -> AttemptEnd {
        let started = Instant::now();
        let (name, load) = (probed.server.name.clone(), probed.candidate.load);
        let is_listed = self.placer.table.is_listed(&call.pool.service, &probed.server);
        let age = probed.probed.elapsed();
        call.trail.lock().tried.push(name.clone());
        let is_cold = probed.candidate.is_cold;
        let end = if is_listed {
            run_attempt(&call.request, probed, &self.dialect, &self.memory).await
        } else {
            AttemptEnd::NotRun("the server has just left".to_owned())
        };
        let elapsed = started.elapsed();
        if matches!(end, AttemptEnd::Answered(_)) && !is_cold && load.running < load.slots {
            let usual = elapsed.mul_f64(100.0 / f64::from(load.slowness_percent.max(1)));
            self.learn_work(call, usual);
        }
        self.metrics.attempts.count(end.name());
        let mut trail = call.trail.lock();
        trail.had_room = load.running < load.slots;
        trail.may_have_run |= !matches!(end, AttemptEnd::NotRun(_));
        let reason = match &end {
            AttemptEnd::NotRun(reason) | AttemptEnd::Unknown(reason) => reason.as_str(),
            _ => "",
        };
        // Writing to a string cannot fail.
        let _ = write!(
            trail.text,
            "{name} load {}+{}/{} slow {}% age {} ms: {} {reason} {} ms; ",
            load.running,
            load.waiting,
            load.slots,
            load.slowness_percent,
            age.as_millis(),
            end.name(),
            elapsed.as_millis()
        );
        end
    }

    fn learn_work(&self, call: &ForwardedCall, observed: Duration) {
        self.with_notes(&call.pool.service, |notes| {
            let usual = ServiceTime::new(first_guess(&call.route));
            notes.usual_work.get_or_insert(usual).record(observed);
        });
    }

    fn finish_unrouted(
        &self,
        terms: &RequestTerms,
        outcome: &'static str,
        answer: GatewayAnswer,
    ) -> GatewayAnswer {
        self.metrics.requests.count(outcome);
        info!(self.logger, "request"; "id" => id_text(terms.id.as_ref()),
            "view" => self.view.read().version.0, "status" => answer.status.as_u16(),
            "outcome" => outcome);
        answer
    }

    fn note_patience(&self, route: &RouteSpec, now: Instant, stated: Option<Duration>) -> Duration {
        let Some(stated) = stated else {
            return Duration::ZERO;
        };
        let mut routes = self.patience.lock();
        if routes.len() > MAX_PATIENCE_ROUTES {
            routes.clear();
        }
        routes.entry(route.name.clone()).or_default().record(now, stated)
    }

    pub(crate) fn with_notes<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut ServiceNotes) -> T,
    ) -> T {
        let mut services = self.services.lock();
        if let Some(notes) = services.get_mut(service) {
            return act(notes);
        }
        act(services.entry(service.clone()).or_default())
    }
}

/// When to come back while this entry holds no routes yet.
fn no_routes_wait() -> Duration {
    retry_delay(CapacityForecast::After(NO_ROUTES_WAIT), rand::random())
}

/// Returns the usual time of a route's work before any answer.
pub(crate) fn first_guess(route: &RouteSpec) -> Duration {
    route.target().mul_f64(FIRST_WORK_SHARE)
}

fn id_text(id: Option<&http::HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned()
}
