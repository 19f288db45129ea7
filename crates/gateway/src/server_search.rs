//! Finds a server for a request and queues the request while all servers are full.

use crate::{
    call::ForwardedCall,
    forwarder::{RequestForwarder, initial_service_time},
    placer::{PlaceError, PlaceRequest},
    relay_attempt::AttemptTarget,
    server_probe::ProbedServer,
    service_queue::QueuePosition,
};
use policy::{CapacityNeed, PlacementNeed};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// Delay before servers are probed again after all were full.
const REPROBE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of requests in the queue of one service.
const MAX_QUEUED: usize = 256;
/// Minimum fraction of the target latency for which a request waits for free capacity, even if it
/// can no longer meet the target. A request also waits this long if its service has no server or no
/// server responds. A refusal then helps the caller more than a longer wait, because it states when
/// to retry.
const MIN_WAIT_SHARE: f64 = 0.12;
/// Maximum fraction of the target latency for which a request waits for free capacity.
const MAX_WAIT_SHARE: f64 = 0.5;

impl RequestForwarder {
    /// Finds a server with free capacity. While all are full, requests wait in a queue until
    /// [`Self::wait_deadline`]; those that can still meet their target latency go first. If the
    /// queue holds [`MAX_QUEUED`] requests, a request that has found no server is refused, even if
    /// it is queued itself. The error is that of the last search.
    ///
    /// Finds another entry instead if this one lacks paths to servers and that one does not.
    pub(crate) async fn find_target(
        &self,
        call: &ForwardedCall,
    ) -> Result<AttemptTarget, PlaceError> {
        let started = Instant::now();
        if let Some(found) = self.find_entry(call, None).await {
            // Finds out whether the paths are back.
            self.placer.probe_unreachable(&call.pool);
            return Ok(AttemptTarget::Entry(found));
        }
        let queue = self.with_service(&call.pool.service, |state| state.queue.clone());
        let mut position: Option<QueuePosition> = None;
        let service_time = self.service_time(call);
        let mut rank = call.rank(started, service_time);
        let wait_deadline = self.wait_deadline(call, started);
        let mut obstacle = PlaceError::Full;
        loop {
            let now = Instant::now();
            let current = call.rank(now, service_time);
            if position.is_some() && current != rank {
                position = Some(queue.push(current));
            }
            rank = current;
            if position.is_some() || queue.would_be_first(&rank) {
                if let Some(position) = &position
                    && timeout_at(
                        call.next_rank_change(now, service_time, wait_deadline).into(),
                        position.wait_until_first(),
                    )
                    .await
                    .is_err()
                {
                    if Instant::now() >= wait_deadline {
                        return Err(obstacle);
                    }
                    continue;
                }
                match self.probe_servers(call, rank.is_late).await {
                    Ok(probed) => {
                        self.metrics.placing.observe(started.elapsed().as_secs_f64());
                        return Ok(AttemptTarget::Server(probed));
                    }
                    Err(error) => obstacle = error,
                }
                if let Some(found) = self.find_entry(call, Some(obstacle)).await {
                    return Ok(AttemptTarget::Entry(found));
                }
                match obstacle {
                    PlaceError::Full => {}
                    PlaceError::Held(wait)
                        if wait.is_none_or(|wait| now + wait >= wait_deadline) =>
                    {
                        return Err(obstacle);
                    }
                    _ if started.elapsed() > call.route.target().mul_f64(MIN_WAIT_SHARE) => {
                        return Err(obstacle);
                    }
                    _ => {}
                }
            }
            if Instant::now() + REPROBE_DELAY >= wait_deadline || queue.len() >= MAX_QUEUED {
                return Err(obstacle);
            }
            if position.is_none() {
                position = Some(queue.push(rank));
            }
            sleep(REPROBE_DELAY).await;
        }
    }

    /// Returns when a request that finds no free capacity is refused. It waits while it can still
    /// meet the target latency, but at least [`MIN_WAIT_SHARE`] and at most [`MAX_WAIT_SHARE`] of
    /// the target, and never so long that it could not finish by its deadline.
    fn wait_deadline(&self, call: &ForwardedCall, now: Instant) -> Instant {
        let target = call.route.target();
        let service_time = self.service_time(call);
        let earliest = now + target.mul_f64(MIN_WAIT_SHARE);
        let latest = now + target.mul_f64(MAX_WAIT_SHARE);
        let deadline = call.request.deadline - service_time;
        call.latest_start(service_time).clamp(earliest, latest).min(deadline)
    }

    /// Probes servers once and takes the best one.
    async fn probe_servers(
        &self,
        call: &ForwardedCall,
        is_late: bool,
    ) -> Result<ProbedServer, PlaceError> {
        let tried = call.attempt_log.lock().tried.clone();
        let request = PlaceRequest {
            view: &call.view,
            pool: &call.pool,
            need: self.placement_need(call, is_late),
            excluded: &tried,
        };
        let (probed, probe_count) = self.placer.place(&request).await?;
        call.attempt_log.lock().probe_count += probe_count;
        Ok(probed)
    }

    /// Returns the requirements on a server. A late request must leave a slot free, except at an
    /// idle server that has only one.
    fn placement_need(&self, call: &ForwardedCall, is_late: bool) -> PlacementNeed {
        let (service_time, target) = (self.service_time(call), call.route.target());
        if is_late {
            return PlacementNeed { service_time, target, capacity: CapacityNeed::SpareSlot };
        }
        let time_left = call.target_deadline().saturating_duration_since(Instant::now());
        PlacementNeed::within(service_time, target, time_left)
    }

    /// Returns the estimated median service time of the request's service.
    pub(crate) fn service_time(&self, call: &ForwardedCall) -> Duration {
        self.with_service(&call.pool.service, |state| state.service_time)
            .map_or_else(|| initial_service_time(&call.route), |estimate| estimate.get())
    }
}
