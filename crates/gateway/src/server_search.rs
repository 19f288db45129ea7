//! Finding a server for a request: who waits in line, and until when.

use crate::{
    call::ForwardedCall,
    forwarder::{RequestForwarder, initial_work_estimate},
    placer::{PlaceError, PlaceRequest, ProbedServer},
    service_queue::QueuePosition,
};
use policy::{PlacementNeed, RoomNeed};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// Pause before full servers are asked again.
const REPROBE_DELAY: Duration = Duration::from_millis(20);
/// Requests that may wait in the line of one service.
const MAX_QUEUED: usize = 256;
/// Part of the target latency for which a request waits that can no longer meet it, or that no
/// server answers. After that a refusal serves the caller better: it knows when to come back.
const MIN_WAIT_SHARE: f64 = 0.12;
/// The greatest part of the target latency for which a request waits for room.
const MAX_WAIT_SHARE: f64 = 0.5;

impl RequestForwarder {
    /// Finds a server with room. While all are full, requests wait in line, those that can still
    /// meet their target first, as long as there is time to run them.
    pub(crate) async fn find_server(
        &self,
        call: &ForwardedCall,
    ) -> Result<ProbedServer, PlaceError> {
        let started = Instant::now();
        let queue = self.with_service(&call.pool.service, |state| state.queue.clone());
        let mut position: Option<QueuePosition> = None;
        let usual_work = self.usual_work(call);
        let mut rank = call.rank(started, usual_work);
        let give_up_at = self.wait_deadline(call, started);
        loop {
            let now = Instant::now();
            let current = call.rank(now, usual_work);
            if position.is_some() && current != rank {
                position = Some(queue.join(current));
            }
            rank = current;
            if position.is_some() || queue.would_lead(&rank) {
                if let Some(position) = &position
                    && timeout_at(
                        call.next_rank_change(now, usual_work, give_up_at).into(),
                        position.turn(),
                    )
                    .await
                    .is_err()
                {
                    if Instant::now() >= give_up_at {
                        return Err(PlaceError::Full);
                    }
                    continue;
                }
                match self.probe_servers(call, rank.is_late).await {
                    Ok(probed) => {
                        self.metrics.placing.observe(started.elapsed().as_secs_f64());
                        return Ok(probed);
                    }
                    Err(PlaceError::Full) => {}
                    Err(error)
                        if started.elapsed() > call.route.target().mul_f64(MIN_WAIT_SHARE) =>
                    {
                        return Err(error);
                    }
                    Err(_) => {}
                }
            }
            if Instant::now() + REPROBE_DELAY >= give_up_at || queue.len() >= MAX_QUEUED {
                return Err(PlaceError::Full);
            }
            if position.is_none() {
                position = Some(queue.join(rank));
            }
            sleep(REPROBE_DELAY).await;
        }
    }

    /// Returns when a request that finds no room is refused: as long as it can meet its target, it
    /// waits, but not for longer than a part of that.
    fn wait_deadline(&self, call: &ForwardedCall, now: Instant) -> Instant {
        let target = call.route.target();
        let usual_work = self.usual_work(call);
        let at_least = now + target.mul_f64(MIN_WAIT_SHARE);
        let at_most = now + target.mul_f64(MAX_WAIT_SHARE);
        let latest_start = call.request.deadline - usual_work;
        call.latest_start(usual_work).clamp(at_least, at_most).min(latest_start)
    }

    /// Asks servers once.
    async fn probe_servers(
        &self,
        call: &ForwardedCall,
        is_late: bool,
    ) -> Result<ProbedServer, PlaceError> {
        let tried = call.attempt_log.lock().tried.clone();
        let request = PlaceRequest {
            view: &call.view,
            pool: &call.pool,
            need: self.need(call, is_late),
            excluded: &tried,
        };
        let (probed, probe_count) = self.placer.place(&request).await?;
        call.attempt_log.lock().probe_count += probe_count;
        Ok(probed)
    }

    fn need(&self, call: &ForwardedCall, is_late: bool) -> PlacementNeed {
        let (usual_work, target) = (self.usual_work(call), call.route.target());
        if is_late {
            return PlacementNeed { usual_work, target, room: RoomNeed::SpareSlot };
        }
        let left = call.target_deadline().saturating_duration_since(Instant::now());
        PlacementNeed::within(usual_work, target, left)
    }

    pub(crate) fn usual_work(&self, call: &ForwardedCall) -> Duration {
        self.with_service(&call.pool.service, |state| state.usual_work)
            .map_or_else(|| initial_work_estimate(&call.route), |usual| usual.get())
    }
}
