//! Finding a server for a request: who waits in line, and until when.

use crate::{
    call::ForwardedCall,
    forwarder::{RequestForwarder, first_guess},
    placer::{PlaceError, PlaceRequest, ProbedServer},
    service_line::LinePlace,
};
use policy::{CapacityNeed, PlacementNeed};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// Pause before full servers are asked again.
const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(20);
/// Requests that may wait in the line of one service.
const MAX_WAITING: usize = 256;
/// Part of the target latency for which a request waits that can no longer meet it, or that no
/// server answers. After that a refusal serves the caller better: it knows when to come back.
const WAIT_SHARE: f64 = 0.12;
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
        let line = self.with_notes(&call.pool.service, |notes| notes.line.clone());
        let mut place: Option<LinePlace> = None;
        let usual_work = self.usual_work(call);
        let mut rank = call.rank(started, usual_work);
        let hopeless = self.give_up_at(call, started);
        loop {
            let now = Instant::now();
            let current = call.rank(now, usual_work);
            if place.is_some() && current != rank {
                place = Some(line.join(current));
            }
            rank = current;
            if place.is_some() || line.would_lead(&rank) {
                if let Some(place) = &place
                    && timeout_at(call.next_change(now, usual_work, hopeless).into(), place.turn())
                        .await
                        .is_err()
                {
                    if Instant::now() >= hopeless {
                        return Err(PlaceError::Full);
                    }
                    continue;
                }
                match self.search(call, rank.is_late).await {
                    Ok(probed) => {
                        self.metrics.placing.observe(started.elapsed().as_secs_f64());
                        return Ok(probed);
                    }
                    Err(PlaceError::Full) => {}
                    Err(error) if started.elapsed() > call.route.target().mul_f64(WAIT_SHARE) => {
                        return Err(error);
                    }
                    Err(_) => {}
                }
            }
            if Instant::now() + ASK_AGAIN_PAUSE >= hopeless || line.len() >= MAX_WAITING {
                return Err(PlaceError::Full);
            }
            if place.is_none() {
                place = Some(line.join(rank));
            }
            sleep(ASK_AGAIN_PAUSE).await;
        }
    }

    /// Returns when a request that finds no room is refused: as long as it can meet its target, it
    /// waits, but not for longer than a part of that.
    fn give_up_at(&self, call: &ForwardedCall, now: Instant) -> Instant {
        let target = call.route.target();
        let usual_work = self.usual_work(call);
        let at_least = now + target.mul_f64(WAIT_SHARE);
        let at_most = now + target.mul_f64(MAX_WAIT_SHARE);
        let last_start = call.request.deadline - usual_work;
        call.last_start(usual_work).clamp(at_least, at_most).min(last_start)
    }

    /// Asks servers once.
    async fn search(
        &self,
        call: &ForwardedCall,
        is_late: bool,
    ) -> Result<ProbedServer, PlaceError> {
        let tried = call.trail.lock().tried.clone();
        let request = PlaceRequest {
            view: &call.view,
            pool: &call.pool,
            need: self.need(call, is_late),
            excluded: &tried,
        };
        let (probed, asked) = self.placer.place(&request).await?;
        call.trail.lock().asked += asked;
        Ok(probed)
    }

    fn need(&self, call: &ForwardedCall, is_late: bool) -> PlacementNeed {
        let (usual_work, target) = (self.usual_work(call), call.route.target());
        if is_late {
            return PlacementNeed {
                service_time: usual_work,
                target,
                capacity: CapacityNeed::SpareSlot,
            };
        }
        let left = call.target_at().saturating_duration_since(Instant::now());
        PlacementNeed::within(usual_work, target, left)
    }

    pub(crate) fn usual_work(&self, call: &ForwardedCall) -> Duration {
        self.with_notes(&call.pool.service, |notes| notes.usual_work)
            .map_or_else(|| first_guess(&call.route), |usual| usual.get())
    }
}
