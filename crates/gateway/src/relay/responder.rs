//! Answers the questions of other entries.

use super::message::{
    CrashQuestion, ForwardTerms, RELAY_FIELD, RelayAnswer, RelayQuestion, attach_answer,
    relay_question,
};
use crate::{
    GatewayAnswer,
    answer::remove_hop_headers,
    call::CallerRequest,
    forwarder::{CallOrigin, RequestForwarder, RoutedRequest},
};
use http::StatusCode;
use policy::{CapacityForecast, CrashObservation, ReachLevel, retry_delay};
use slog::info;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use types::ServiceName;

/// Base of the retry time of a caller whose request two entries could not place.
const NO_PATH_RETRY_BASE: Duration = Duration::from_millis(200);

impl RequestForwarder {
    /// Answers a request of another entry.
    pub(crate) async fn answer_entry(
        self: &Arc<Self>,
        mut request: CallerRequest,
    ) -> GatewayAnswer {
        match relay_question(&request.headers) {
            Some(RelayQuestion::Reach(service)) => self.answer_reach(&service),
            Some(RelayQuestion::Crash(question)) => self.answer_crash(&question).await,
            Some(RelayQuestion::Forward(terms)) => {
                request.headers.remove(RELAY_FIELD);
                self.forward_for_entry(request, terms).await
            }
            None => GatewayAnswer::own(StatusCode::BAD_REQUEST, "the relay field is malformed"),
        }
    }

    fn answer_reach(&self, service: &ServiceName) -> GatewayAnswer {
        let routing = self.routes.borrow().as_ref().map(|routes| routes.document.version);
        let reach = self.placer.table.reach(service);
        answer_question(StatusCode::OK, &RelayAnswer::reach(reach, routing.unwrap_or_default()))
    }

    async fn answer_crash(&self, question: &CrashQuestion) -> GatewayAnswer {
        let view = self.view.read().clone();
        let CrashObservation { reached_server, reached_sample } =
            self.placer.observe_crash(&view, question).await;
        answer_question(StatusCode::OK, &RelayAnswer::Crash { reached_server, reached_sample })
    }

    /// Forwards a request of another entry's caller. Refuses it at once if this entry has no path to
    /// a server either, or applies another routing document.
    async fn forward_for_entry(
        self: &Arc<Self>,
        mut request: CallerRequest,
        terms: ForwardTerms,
    ) -> GatewayAnswer {
        let routes = self.routes.borrow().clone();
        let Some(routes) = routes.filter(|routes| routes.document.version == terms.routing) else {
            return self.refuse_entry("the entry applies another routing document", terms);
        };
        let route = routes.find(&request).cloned();
        let is_part = |service: &ServiceName| {
            route.as_ref().is_some_and(|route| route.parts.iter().any(|p| p.service == *service))
        };
        let pool = routes.document.pool(&terms.service).filter(|_| is_part(&terms.service));
        let (Some(route), Some(pool)) = (&route, pool.cloned()) else {
            return self.refuse_entry("the route does not lead to the service", terms);
        };
        if self.placer.table.reach(&terms.service).level() == ReachLevel::Lost {
            return self.refuse_entry("the entry has no path to a server either", terms);
        }
        let elapsed = Duration::from_millis(terms.elapsed_ms);
        request.arrived = request.arrived.checked_sub(elapsed).unwrap_or_else(Instant::now);
        remove_hop_headers(&mut request.headers);
        let metadata = self.dialect.request_metadata(&request.headers);
        let (route, routing) = (route.clone(), terms.routing);
        let ForwardTerms { tried, is_budgeted, .. } = terms;
        let origin = CallOrigin::Entry { tried, is_budgeted };
        self.forward_routed(RoutedRequest { request, metadata, route, pool, routing, origin }).await
    }

    /// Refuses a relayed request that was sent to no further server.
    fn refuse_entry(&self, reason: &'static str, terms: ForwardTerms) -> GatewayAnswer {
        self.relay.counters.count("refused-at-once");
        info!(self.logger, "relayed request refused"; "service" => %terms.service,
            "reason" => reason, "routing" => terms.routing.0);
        let forecast = CapacityForecast::After(NO_PATH_RETRY_BASE);
        let mut response = GatewayAnswer::refused(reason, retry_delay(forecast, rand::random()));
        let relay_answer = RelayAnswer::not_run(terms.tried, &response);
        attach_answer(&mut response.headers, &relay_answer);
        response
    }
}

/// Returns a response without a body that carries an answer.
fn answer_question(status: StatusCode, answer: &RelayAnswer) -> GatewayAnswer {
    let mut response = GatewayAnswer::own(status, "");
    attach_answer(&mut response.headers, answer);
    response
}
