//! The servers of one service as one entry sees them, and the choice among them.

use crate::{
    AttemptOutcome, CandidateLoad, ColdRamp, LatencyTracker, MedianBound, ServerHealth,
    ServerSelector,
};
use rand::RngCore;
use smallvec::SmallVec;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use types::{EntryName, ServerIncarnation, ServerName, ServerRecord, ServerStage, SuspectKind};

/// How long a suspicion holds if the server's owner does not tell of it anew.
const SUSPICION_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a latency counts as unknown.
const LATENCY_MAX_AGE: Duration = Duration::from_secs(1);

/// How a service's servers are used.
#[derive(Clone)]
pub struct LoadSettings {
    /// Concurrent requests that a cold server bears.
    pub cold_concurrency: u16,
    /// The greatest share of a service's servers that are left alone for bad health, in percent.
    pub max_paused_percent: usize,
    /// Choice among servers with room.
    pub selector: Arc<dyn ServerSelector>,
}

/// A server as the directory tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerView {
    /// Its announcement and stage.
    pub record: ServerRecord,
    /// Its owner.
    pub owner: EntryName,
    /// This entry is the owner and may give it work while it is cold.
    pub may_warm: bool,
    /// Its failure domain is out of service.
    pub is_drained: bool,
}

#[derive(Debug, Clone)]
struct ServerLoad {
    view: ServerView,
    in_flight: u32,
    latency: LatencyTracker,
    sampled: Option<Instant>,
    report: Option<(u32, Instant)>,
    health: ServerHealth,
    slowness: MedianBound,
    ramp: Option<ColdRamp>,
    /// Suspected in this incarnation, until its owner tells of it anew or this time passes.
    suspected_until: Option<Instant>,
}

/// A server that was picked, with one request counted as in flight there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PickedServer {
    /// Name.
    pub name: ServerName,
    /// Address.
    pub address: SocketAddr,
    /// Incarnation at the time of the choice.
    pub incarnation: ServerIncarnation,
    /// Its owner.
    pub owner: EntryName,
}

/// What a choice came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PickResult {
    /// This server.
    Picked(PickedServer),
    /// There are servers, but none has room now.
    Busy,
    /// No server may be given work by this entry. Other owners have cold ones.
    NoneEligible {
        /// Those owners.
        cold_owners: SmallVec<[EntryName; 2]>,
    },
}

/// What the end of a request showed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseNotes {
    /// The cold server has proved itself.
    pub is_warm: bool,
    /// The server has become slow and is left alone for a while.
    pub is_slow: bool,
    /// The server is to be reported to its owner.
    pub suspicion: Option<SuspectKind>,
}

/// The servers of one service.
///
/// Invariant: a cold server never has more requests in flight than its ramp allows, and none
/// unless this entry is its owner.
pub struct ServiceLoad {
    settings: LoadSettings,
    servers: Vec<ServerLoad>,
}

impl ServiceLoad {
    /// Returns a service without servers.
    pub fn new(settings: LoadSettings) -> Self {
        Self { settings, servers: Vec::new() }
    }

    /// Changes what a cold server bears, for ramps that start from now on.
    pub fn set_cold_concurrency(&mut self, cold_concurrency: u16) {
        self.settings.cold_concurrency = cold_concurrency;
    }

    /// Takes the directory's current account over. What was seen of a server is kept while its
    /// incarnation stays the same.
    pub fn update(&mut self, views: Vec<ServerView>) {
        let mut former = std::mem::take(&mut self.servers);
        for view in views {
            let name = &view.record.announcement.server;
            let position = former.iter().position(|s| s.view.record.announcement.server == *name);
            let known = position.map(|position| former.swap_remove(position));
            self.servers.push(self.settings.updated(known, view));
        }
        // Servers with requests in flight stay until those end, but get no new ones.
        for mut left in former.into_iter().filter(|server| server.in_flight > 0) {
            left.view.record.stage = ServerStage::Leaving;
            self.servers.push(left);
        }
    }

    /// Picks a server for one request. `is_confirmed` says whether a shard owner's word still holds.
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
                let is_usable = is_confirmed(&server.view.owner)
                    && !excluded.contains(&server.view.record.announcement.server);
                server.candidate(is_usable, typical, now)
            })
            .collect();
        self.readmit_some(&mut candidates, excluded, &is_confirmed, now);
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

    /// Returns the owners of cold servers that only they may give work.
    pub fn cold_owners(
        &self,
        is_confirmed: impl Fn(&EntryName) -> bool,
    ) -> SmallVec<[EntryName; 2]> {
        let mut owners = SmallVec::new();
        for server in &self.servers {
            let is_cold = server.view.record.stage == ServerStage::Cold
                && !server.view.may_warm
                && !server.view.is_drained;
            let owner = &server.view.owner;
            if is_cold && is_confirmed(owner) && !owners.contains(owner) {
                owners.push(owner.clone());
            }
        }
        owners
    }

    /// Notes the end of a request.
    pub fn release(
        &mut self,
        picked: &PickedServer,
        outcome: AttemptOutcome,
        stated: &StatedLoad,
        now: Instant,
    ) -> ReleaseNotes {
        let typical = self.typical_latency();
        let found = self
            .servers
            .iter_mut()
            .find(|server| server.view.record.announcement.server == picked.name);
        let Some(server) = found else {
            return ReleaseNotes::default();
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        if server.view.record.announcement.incarnation != picked.incarnation {
            return ReleaseNotes::default();
        }
        let mut notes = server.note(outcome, stated, now);
        if let AttemptOutcome::Success(latency) = outcome {
            notes.is_slow = server.slowness.note(latency, typical);
            if notes.is_slow {
                server.health.note_slow(now);
            }
        }
        notes
    }

    /// Says whether this entry may give any server work, now or once one has room.
    pub fn has_eligible(&self, is_confirmed: impl Fn(&EntryName) -> bool, now: Instant) -> bool {
        self.servers.iter().any(|server| server.limit(now) > 0 && is_confirmed(&server.view.owner))
    }

    /// Says whether a cold server of this owner has room.
    pub fn has_own_cold(&self, now: Instant) -> bool {
        let has_room = |server: &ServerLoad| server.in_flight < server.limit(now);
        self.servers.iter().any(|server| server.ramp.is_some() && has_room(server))
    }

    /// Says whether a server has answered lately.
    pub fn has_answered_lately(&self, server: &ServerName, now: Instant) -> bool {
        let found =
            self.servers.iter().find(|known| known.view.record.announcement.server == *server);
        found.is_some_and(|known| !known.recent_latency(now).is_zero())
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.servers.iter().map(|server| server.in_flight).sum()
    }

    /// Returns the number of requests that this entry may have in flight.
    pub fn capacity(&self, now: Instant) -> u32 {
        self.servers.iter().map(|server| server.limit(now)).sum()
    }

    /// Checks the invariant.
    pub fn verify(&self) -> Result<(), String> {
        for server in &self.servers {
            let slots = u32::from(server.view.record.announcement.slots);
            if server.in_flight > slots.max(1) {
                return Err(format!(
                    "{} has {} requests in flight, more than its slots",
                    server.view.record.announcement.server, server.in_flight
                ));
            }
        }
        Ok(())
    }

    /// Returns the median of the servers' median latencies, which a few slow ones do not move.
    fn typical_latency(&self) -> Duration {
        let known = self.servers.iter().filter(|server| server.latency.samples() > 0);
        let mut medians: SmallVec<[Duration; 16]> =
            known.map(|server| server.latency.median()).collect();
        medians.sort_unstable();
        medians.get(medians.len() / 2).copied().unwrap_or_default()
    }

    /// Lets paused servers back in where too many would be left alone: bad health of most servers
    /// says more about the service than about each of them.
    fn readmit_some(
        &self,
        candidates: &mut [CandidateLoad],
        excluded: &[ServerName],
        is_confirmed: impl Fn(&EntryName) -> bool,
        now: Instant,
    ) {
        let is_paused = |server: &ServerLoad, candidate: &CandidateLoad| {
            candidate.limit == 0
                && server.health.is_paused(now)
                && !server.is_suspected(now)
                && server.unpaused_limit() > 0
                && is_confirmed(&server.view.owner)
                && !excluded.contains(&server.view.record.announcement.server)
        };
        let pairs = || self.servers.iter().zip(candidates.iter());
        let open = candidates.iter().filter(|candidate| candidate.limit > 0).count();
        let paused = pairs().filter(|(server, candidate)| is_paused(server, candidate)).count();
        let allowed = (open + paused) * self.settings.max_paused_percent / 100;
        let mut excess = paused.saturating_sub(allowed);
        for (server, candidate) in self.servers.iter().zip(candidates.iter_mut()) {
            if excess > 0 && is_paused(server, candidate) {
                candidate.limit = 1;
                excess -= 1;
            }
        }
    }

    fn pick_cold(&self, candidates: &[CandidateLoad]) -> Option<usize> {
        self.servers.iter().zip(candidates).position(|(server, candidate)| {
            server.ramp.is_some() && candidate.in_flight < candidate.limit
        })
    }
}

/// What a server states about itself on an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests in flight there.
    pub load: Option<u32>,
    /// Its incarnation.
    pub incarnation: Option<ServerIncarnation>,
    /// It is leaving.
    pub is_leaving: bool,
}

impl LoadSettings {
    fn updated(&self, known: Option<ServerLoad>, view: ServerView) -> ServerLoad {
        let incarnation = |view: &ServerView| view.record.announcement.incarnation;
        let in_flight = known.as_ref().map_or(0, |server| server.in_flight);
        let mut server = match known {
            Some(server) if incarnation(&server.view) == incarnation(&view) => {
                let is_retold = server.view.record != view.record;
                let suspected_until = server.suspected_until.filter(|_| !is_retold);
                ServerLoad { suspected_until, ..server }
            }
            _ => ServerLoad {
                view: view.clone(),
                in_flight,
                latency: LatencyTracker::default(),
                sampled: None,
                report: None,
                health: ServerHealth::default(),
                slowness: MedianBound::default(),
                ramp: None,
                suspected_until: None,
            },
        };
        let slots = view.record.announcement.slots;
        server.ramp = match (view.record.stage, server.ramp.take()) {
            (ServerStage::Cold, Some(ramp)) if view.may_warm => Some(ramp),
            (ServerStage::Cold, _) if view.may_warm => {
                Some(ColdRamp::new(self.cold_concurrency, slots))
            }
            _ => None,
        };
        server.view = view;
        server
    }
}

impl ServerLoad {
    /// Returns what the choice goes by. A server of unknown latency counts as a typical one.
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

    /// Returns the mean latency, or zero for "unknown" where the last sample is old: a server that
    /// was slow once must get work again to show that it has recovered.
    fn recent_latency(&self, now: Instant) -> Duration {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LATENCY_MAX_AGE;
        if self.sampled.is_some_and(is_recent) { self.latency.mean() } else { Duration::ZERO }
    }

    fn limit(&self, now: Instant) -> u32 {
        if self.health.is_paused(now) || self.is_suspected(now) { 0 } else { self.unpaused_limit() }
    }

    fn is_suspected(&self, now: Instant) -> bool {
        self.suspected_until.is_some_and(|until| now < until)
    }

    fn unpaused_limit(&self) -> u32 {
        if self.view.is_drained {
            return 0;
        }
        let limit = match (self.view.record.stage, &self.ramp) {
            (ServerStage::Warm, _) => u32::from(self.view.record.announcement.slots),
            (ServerStage::Cold, Some(ramp)) => ramp.limit(),
            (ServerStage::Cold, None) | (ServerStage::Leaving, _) => 0,
        };
        if self.health.is_on_trial() { limit.min(1) } else { limit }
    }

    fn picked(&self) -> PickedServer {
        let announcement = &self.view.record.announcement;
        PickedServer {
            name: announcement.server.clone(),
            address: announcement.address,
            incarnation: announcement.incarnation,
            owner: self.view.owner.clone(),
        }
    }

    fn note(&mut self, outcome: AttemptOutcome, stated: &StatedLoad, now: Instant) -> ReleaseNotes {
        self.health.note(outcome, now);
        if let Some(load) = stated.load {
            self.report = Some((load, now));
        }
        if let AttemptOutcome::Success(latency) = outcome {
            if self.recent_latency(now).is_zero() {
                self.latency = LatencyTracker::default();
            }
            self.latency.note(latency);
            self.sampled = Some(now);
        }
        let is_warm = match (&mut self.ramp, outcome) {
            (Some(ramp), AttemptOutcome::Success(_)) => ramp.note_success(),
            (Some(_), AttemptOutcome::Cancelled) | (None, _) => false,
            (Some(ramp), _) => {
                ramp.note_failure();
                false
            }
        };
        let suspicion = self.suspicion(outcome, stated, now);
        if suspicion.is_some() {
            self.suspected_until = Some(now + SUSPICION_LIMIT);
        }
        ReleaseNotes { is_warm, is_slow: false, suspicion }
    }

    fn suspicion(
        &self,
        outcome: AttemptOutcome,
        stated: &StatedLoad,
        now: Instant,
    ) -> Option<SuspectKind> {
        if self.is_suspected(now) {
            return None;
        }
        let known = self.view.record.announcement.incarnation;
        if stated.is_leaving {
            return Some(SuspectKind::Leaving);
        }
        if stated.incarnation.is_some_and(|incarnation| incarnation != known) {
            return Some(SuspectKind::Restarted);
        }
        let is_warm = self.view.record.stage == ServerStage::Warm;
        match outcome {
            AttemptOutcome::Unreachable if is_warm => Some(SuspectKind::Unreachable),
            AttemptOutcome::Broken if is_warm => Some(SuspectKind::Restarted),
            _ => None,
        }
    }
}

/// Returns how long a request that joins `waiting` others will wait, given the mean latency.
pub fn expected_wait(waiting: usize, capacity: u32, latency: Duration) -> Duration {
    latency.mul_f64((waiting + 1) as f64 / f64::from(capacity.max(1)))
}
