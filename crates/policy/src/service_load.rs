//! One entry's state of the servers of one service, and the choice of a server for a request.

use crate::{
    AttemptOutcome, CandidateLoad, LatencyTracker, MedianTest, ServerHealth, ServerSelector,
    WarmUpRamp,
};
use rand::RngCore;
use smallvec::SmallVec;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{EntryName, ServerIncarnation, ServerName, ServerRecord, ServerStage, SuspectKind};

/// Time for which a suspected server gets no requests, unless its shard owner sends a changed
/// record first.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Age of the last sample from which a server's latency counts as unknown.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(1);

/// Settings for the choice among the servers of a service.
#[derive(Clone)]
pub struct BalancerSettings {
    /// Initial limit on concurrent requests at a cold server.
    pub cold_concurrency: u16,
    /// Maximum share of a service's servers that are ejected for bad health, in percent.
    pub max_ejected_percent: usize,
    /// Policy for the choice among servers below their limits.
    pub selector: Arc<dyn ServerSelector>,
}

/// A server's record in the directory, and the restrictions on this entry's use of the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerStatus {
    /// Announcement and stage.
    pub record: ServerRecord,
    /// Shard owner of the server.
    pub owner: EntryName,
    /// Whether this entry is the shard owner and may send the server requests while it is cold.
    pub may_warm: bool,
    /// Whether the server's failure domain is drained.
    pub is_drained: bool,
}

#[derive(Debug, Clone)]
struct TrackedServer {
    status: ServerStatus,
    in_flight: u32,
    latency: LatencyTracker,
    /// Time of the last latency sample.
    sampled: Option<Instant>,
    /// Requests in flight by the last load report, and the time of the report.
    report: Option<(u32, Instant)>,
    health: ServerHealth,
    slowness: MedianTest,
    /// Warm-up ramp, if the server is cold and this entry may warm it.
    ramp: Option<WarmUpRamp>,
    /// End of the suspicion of this incarnation, unless the shard owner sends a changed record
    /// first.
    suspected_until: Option<Instant>,
}

/// A picked server, at which one request is counted as in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedServer {
    /// Name of the server.
    pub name: ServerName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation when it was picked.
    pub incarnation: ServerIncarnation,
    /// Shard owner of the server.
    pub owner: EntryName,
}

/// Result of picking a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PickResult {
    /// The picked server.
    Picked(PickedServer),
    /// All servers that this entry may use are at their limits.
    Busy,
    /// There is no server to which this entry may send requests.
    NoneEligible {
        /// Shard owners of cold servers of this service, which may send them requests.
        cold_owners: SmallVec<[EntryName; 2]>,
    },
}

/// State changes of a server found at the end of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseOutcome {
    /// Whether the server has completed its warm-up.
    pub is_warm: bool,
    /// Whether the server has become slow and was ejected.
    pub is_slow: bool,
    /// Suspicion to report to the server's shard owner, if any.
    pub suspicion: Option<SuspectKind>,
}

/// The servers of one service.
///
/// Invariant: a cold server gets a request only if this entry is its shard owner and has fewer
/// requests in flight there than the warm-up ramp allows.
pub struct ServiceBalancer {
    settings: BalancerSettings,
    servers: Vec<TrackedServer>,
}

impl ServiceBalancer {
    /// Returns an empty set of servers.
    pub fn new(settings: BalancerSettings) -> Self {
        Self { settings, servers: Vec::new() }
    }

    /// Sets the initial limit of cold servers, for warm-up ramps that start later.
    pub fn set_cold_concurrency(&mut self, cold_concurrency: u16) {
        self.settings.cold_concurrency = cold_concurrency;
    }

    /// Replaces the servers by the directory's current ones. Latency, health and other state of a
    /// server is kept while its incarnation stays the same.
    pub fn update(&mut self, statuses: Vec<ServerStatus>) {
        let mut previous = std::mem::take(&mut self.servers);
        for status in statuses {
            let name = &status.record.announcement.server;
            let position =
                previous.iter().position(|s| s.status.record.announcement.server == *name);
            let known = position.map(|position| previous.swap_remove(position));
            self.servers.push(self.settings.updated(known, status));
        }
        // Removed servers stay until their requests in flight have ended, but get no new ones.
        for mut removed in previous.into_iter().filter(|server| server.in_flight > 0) {
            removed.status.record.stage = ServerStage::Leaving;
            self.servers.push(removed);
        }
    }

    /// Picks a server for one request and counts the request as in flight there.
    ///
    /// Skips the servers in `excluded` and those of shard owners whose records are out of date, for
    /// which `is_confirmed` returns false. With `prefers_cold`, a cold server owned by this entry
    /// is picked first if one is below its limit.
    pub fn pick(
        &mut self,
        excluded: &[ServerName],
        prefers_cold: bool,
        is_confirmed: impl Fn(&EntryName) -> bool,
        now: Instant,
        rng: &mut dyn RngCore,
    ) -> PickResult {
        let typical = self.typical_latency();
        let mut candidates: SmallVec<[CandidateLoad; 16]> = self
            .servers
            .iter()
            .map(|server| {
                let is_usable = is_confirmed(&server.status.owner)
                    && !excluded.contains(&server.status.record.announcement.server);
                server.candidate(is_usable, typical, now)
            })
            .collect();
        self.readmit_ejected(&mut candidates, excluded, &is_confirmed, now);
        let cold = prefers_cold.then(|| self.pick_cold(&candidates)).flatten();
        let chosen = cold.or_else(|| self.settings.selector.pick(&candidates, rng));
        if let Some(index) = chosen {
            let server = &mut self.servers[index];
            server.in_flight += 1;
            return PickResult::Picked(server.picked());
        }
        if candidates.iter().any(|candidate| candidate.limit > 0) {
            return PickResult::Busy;
        }
        PickResult::NoneEligible { cold_owners: self.cold_owners(is_confirmed) }
    }

    /// Returns the shard owners of the cold servers to which this entry may not send requests.
    pub fn cold_owners(
        &self,
        is_confirmed: impl Fn(&EntryName) -> bool,
    ) -> SmallVec<[EntryName; 2]> {
        let mut owners = SmallVec::new();
        for server in &self.servers {
            let is_cold = server.status.record.stage == ServerStage::Cold
                && !server.status.may_warm
                && !server.status.is_drained;
            let owner = &server.status.owner;
            if is_cold && is_confirmed(owner) && !owners.contains(owner) {
                owners.push(owner.clone());
            }
        }
        owners
    }

    /// Records the end of a request at a picked server. Updates only the count of requests in
    /// flight if the server has restarted since.
    pub fn release(
        &mut self,
        picked: &PickedServer,
        outcome: AttemptOutcome,
        report: &ServerReport,
        now: Instant,
    ) -> ReleaseOutcome {
        let typical = self.typical_latency();
        let found = self
            .servers
            .iter_mut()
            .find(|server| server.status.record.announcement.server == picked.name);
        let Some(server) = found else {
            return ReleaseOutcome::default();
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if server.status.record.announcement.incarnation != picked.incarnation {
            return ReleaseOutcome::default();
        }
        let mut release = server.record_end(outcome, report, now);
        if let AttemptOutcome::Success(latency) = outcome {
            release.is_slow = server.slowness.record(latency, typical);
            if release.is_slow {
                server.health.eject_slow(now);
            }
        }
        release
    }

    /// Returns whether this entry may send requests to any server, now or once it is below its
    /// limit.
    pub fn has_eligible(&self, is_confirmed: impl Fn(&EntryName) -> bool, now: Instant) -> bool {
        self.servers
            .iter()
            .any(|server| server.limit(now) > 0 && is_confirmed(&server.status.owner))
    }

    /// Returns whether a cold server owned by this entry is below its limit.
    pub fn has_cold_capacity(&self, now: Instant) -> bool {
        let has_capacity = |server: &TrackedServer| server.in_flight < server.limit(now);
        self.servers.iter().any(|server| server.ramp.is_some() && has_capacity(server))
    }

    /// Returns whether a server has answered a request successfully within the last second.
    pub fn has_recent_answer(&self, server: &ServerName, now: Instant) -> bool {
        let found =
            self.servers.iter().find(|known| known.status.record.announcement.server == *server);
        found.is_some_and(|known| !known.recent_latency(now).is_zero())
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.servers.iter().map(|server| server.in_flight).sum()
    }

    /// Returns the number of requests that this entry may have in flight at all servers together.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.servers.iter().map(|server| server.limit(now)).sum()
    }

    /// Checks that no server has more requests in flight than slots. One request is allowed at a
    /// server without slots.
    ///
    /// # Errors
    ///
    /// Describes the first violation found.
    pub fn verify(&self) -> Result<(), String> {
        for server in &self.servers {
            let slots = u32::from(server.status.record.announcement.slots);
            if server.in_flight > slots.max(1) {
                return Err(format!(
                    "server {} has {} requests in flight, but only {slots} slots",
                    server.status.record.announcement.server, server.in_flight
                ));
            }
        }
        Ok(())
    }

    /// Returns the median of the servers' median latencies, which is robust against a few slow
    /// servers. Zero if no latency is known.
    fn typical_latency(&self) -> Duration {
        let known = self.servers.iter().filter(|server| server.latency.samples() > 0);
        let mut medians: SmallVec<[Duration; 16]> =
            known.map(|server| server.latency.median()).collect();
        medians.sort_unstable();
        medians.get(medians.len() / 2).copied().unwrap_or_default()
    }

    /// Readmits ejected servers beyond the maximum share, each with a limit of one request. If most
    /// servers are in bad health, the cause is probably the service rather than the servers.
    fn readmit_ejected(
        &self,
        candidates: &mut [CandidateLoad],
        excluded: &[ServerName],
        is_confirmed: impl Fn(&EntryName) -> bool,
        now: Instant,
    ) {
        let is_ejected = |server: &TrackedServer, candidate: &CandidateLoad| {
            candidate.limit == 0
                && server.health.is_ejected(now)
                && !server.is_suspected(now)
                && server.limit_when_admitted() > 0
                && is_confirmed(&server.status.owner)
                && !excluded.contains(&server.status.record.announcement.server)
        };
        let pairs = || self.servers.iter().zip(candidates.iter());
        let eligible = candidates.iter().filter(|candidate| candidate.limit > 0).count();
        let ejected = pairs().filter(|(server, candidate)| is_ejected(server, candidate)).count();
        let allowed = (eligible + ejected) * self.settings.max_ejected_percent / 100;
        let mut excess = ejected.saturating_sub(allowed);
        for (server, candidate) in self.servers.iter().zip(candidates.iter_mut()) {
            if excess > 0 && is_ejected(server, candidate) {
                candidate.limit = 1;
                excess -= 1;
            }
        }
    }

    /// Returns the index of the first cold server that this entry may warm and that is below its
    /// limit.
    fn pick_cold(&self, candidates: &[CandidateLoad]) -> Option<usize> {
        self.servers.iter().zip(candidates).position(|(server, candidate)| {
            server.ramp.is_some() && candidate.in_flight < candidate.limit
        })
    }
}

/// Report of a server about itself, sent with an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests in flight at the server.
    pub load: Option<u32>,
    /// Current incarnation.
    pub incarnation: Option<ServerIncarnation>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
}

impl BalancerSettings {
    /// Returns the state of a server after an update, given its previous state.
    fn updated(&self, known: Option<TrackedServer>, status: ServerStatus) -> TrackedServer {
        let incarnation = |status: &ServerStatus| status.record.announcement.incarnation;
        let in_flight = known.as_ref().map_or(0, |server| server.in_flight);
        let mut server = match known {
            Some(server) if incarnation(&server.status) == incarnation(&status) => {
                let has_changed = server.status.record != status.record;
                let suspected_until = server.suspected_until.filter(|_| !has_changed);
                TrackedServer { suspected_until, ..server }
            }
            _ => TrackedServer {
                status: status.clone(),
                in_flight,
                latency: LatencyTracker::default(),
                sampled: None,
                report: None,
                health: ServerHealth::default(),
                slowness: MedianTest::default(),
                ramp: None,
                suspected_until: None,
            },
        };
        let slots = status.record.announcement.slots;
        server.ramp = match (status.record.stage, server.ramp.take()) {
            (ServerStage::Cold, Some(ramp)) if status.may_warm => Some(ramp),
            (ServerStage::Cold, _) if status.may_warm => {
                Some(WarmUpRamp::new(self.cold_concurrency, slots))
            }
            _ => None,
        };
        server.status = status;
        server
    }
}

impl TrackedServer {
    /// Returns the load by which servers are compared. An unknown latency counts as the typical
    /// one.
    fn candidate(&self, is_usable: bool, typical: Duration, now: Instant) -> CandidateLoad {
        let known = self.recent_latency(now);
        let age = |at: Instant| now.saturating_duration_since(at);
        CandidateLoad {
            in_flight: self.in_flight,
            limit: if is_usable { self.limit(now) } else { 0 },
            latency: if known.is_zero() { typical } else { known },
            report: self.report.map(|(load, at)| (load, age(at))),
        }
    }

    /// Returns the mean latency, or zero for "unknown" if the last sample is old. A server that was
    /// slow must get requests again to show that it has recovered.
    fn recent_latency(&self, now: Instant) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LATENCY_MAX_AGE;
        if self.sampled.is_some_and(is_recent) { self.latency.mean() } else { Duration::ZERO }
    }

    /// Returns the number of requests that this entry may have in flight at the server.
    fn limit(&self, now: Instant) -> u32 {
        if self.health.is_ejected(now) || self.is_suspected(now) {
            0
        } else {
            self.limit_when_admitted()
        }
    }

    fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    /// Returns the limit that applies while the server is neither ejected nor suspected.
    fn limit_when_admitted(&self) -> u32 {
        if self.status.is_drained {
            return 0;
        }
        let limit = match (self.status.record.stage, &self.ramp) {
            (ServerStage::Warm, _) => u32::from(self.status.record.announcement.slots),
            (ServerStage::Cold, Some(ramp)) => ramp.limit(),
            (ServerStage::Cold, None) | (ServerStage::Leaving, _) => 0,
        };
        if self.health.is_half_open() { limit.min(1) } else { limit }
    }

    fn picked(&self) -> PickedServer {
        let announcement = &self.status.record.announcement;
        PickedServer {
            name: announcement.server.clone(),
            address: announcement.address,
            incarnation: announcement.incarnation,
            owner: self.status.owner.clone(),
        }
    }

    /// Records the end of a request. The result leaves `is_slow` false.
    fn record_end(
        &mut self,
        outcome: AttemptOutcome,
        report: &ServerReport,
        now: Instant,
    ) -> ReleaseOutcome {
        self.health.record(outcome, now);
        if let Some(load) = report.load {
            self.report = Some((load, now));
        }
        if let AttemptOutcome::Success(latency) = outcome {
            if self.recent_latency(now).is_zero() {
                self.latency = LatencyTracker::default();
            }
            self.latency.record(latency);
            self.sampled = Some(now);
        }
        let is_warm = match (&mut self.ramp, outcome) {
            (Some(ramp), AttemptOutcome::Success(_)) => ramp.record_success(),
            (Some(_), AttemptOutcome::Cancelled) | (None, _) => false,
            (Some(ramp), _) => {
                ramp.record_failure();
                false
            }
        };
        let suspicion = self.suspicion(outcome, report, now);
        if suspicion.is_some() {
            self.suspected_until = Some(now + SUSPICION_TIMEOUT);
        }
        ReleaseOutcome { is_warm, is_slow: false, suspicion }
    }

    /// Returns the suspicion that the end of a request raises, unless there is one already.
    fn suspicion(
        &self,
        outcome: AttemptOutcome,
        report: &ServerReport,
        now: Instant,
    ) -> Option<SuspectKind> {
        if self.is_suspected(now) {
            return None;
        }
        let known = self.status.record.announcement.incarnation;
        if report.is_leaving {
            return Some(SuspectKind::Leaving);
        }
        if report.incarnation.is_some_and(|incarnation| incarnation != known) {
            return Some(SuspectKind::Restarted);
        }
        let is_warm = self.status.record.stage == ServerStage::Warm;
        match outcome {
            AttemptOutcome::Unreachable if is_warm => Some(SuspectKind::Unreachable),
            AttemptOutcome::Broken if is_warm => Some(SuspectKind::Restarted),
            _ => None,
        }
    }
}

/// Returns the expected wait of a request queued behind `waiting` others, given the maximum number
/// of concurrent requests (`capacity`) and their mean latency.
pub fn expected_wait(waiting: usize, capacity: u32, latency: Duration) -> Duration {
    latency.mul_f64((waiting + 1) as f64 / f64::from(capacity.max(1)))
}
