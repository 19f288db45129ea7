//! State and services shared by all parts of an entry.

use parking_lot::{Mutex, RwLock};
use policy::FreshnessGate;
use rand::{SeedableRng, rngs::SmallRng};
use runtime::{
    DecisionCounters, EventKind, EventTags, EventTimeline, Logger, MetricsRegistry, TimerService,
};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use types::{
    ClusterView, EntryIncarnation, EntryInfo, EntryName, RegistryVersion, ServerName, ShardOwnerId,
};

/// Counters of an entry's decisions.
#[derive(Debug, Clone)]
pub struct EntryCounters {
    /// Decisions on requests of callers.
    pub calls: DecisionCounters,
    /// Confirmations of the view.
    pub freshness: DecisionCounters,
    /// Decisions on servers and on messages of their shard owners.
    pub servers: DecisionCounters,
}

impl EntryCounters {
    /// Registers the counters with `metrics`.
    pub fn new(metrics: &MetricsRegistry) -> Self {
        Self {
            calls: metrics.decisions("calls", "Decisions on requests of callers"),
            freshness: metrics.decisions("freshness", "Confirmations of the view"),
            servers: metrics.decisions("servers", "Decisions on servers"),
        }
    }
}

/// The state and services of an entry.
pub struct EntryContext {
    /// The registration of this entry, which it sends to the replicas.
    pub info: RwLock<EntryInfo>,
    /// Closed while the view is not fresh; new work starts only while it is open.
    pub gate: FreshnessGate,
    /// Counters of the entry's decisions.
    pub counters: EntryCounters,
    /// Event timeline.
    pub timeline: EventTimeline,
    /// Logger.
    pub logger: Logger,
    /// Timer service.
    pub timer: TimerService,
    view: RwLock<Arc<ClusterView>>,
    rng: Mutex<SmallRng>,
}

impl EntryContext {
    /// Returns the context of an entry that has no view yet.
    pub fn new(
        info: EntryInfo,
        metrics: &MetricsRegistry,
        timeline: EventTimeline,
        logger: Logger,
        timer: TimerService,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(info.incarnation.0);
        Self {
            info: RwLock::new(info),
            gate: FreshnessGate::new(Instant::now()),
            counters: EntryCounters::new(metrics),
            timeline,
            logger,
            timer,
            view: RwLock::default(),
            rng: Mutex::new(rng),
        }
    }

    /// Returns the entry's name.
    pub fn name(&self) -> EntryName {
        self.info.read().name.clone()
    }

    /// Returns the entry's incarnation.
    pub fn incarnation(&self) -> EntryIncarnation {
        self.info.read().incarnation
    }

    /// Returns the identity of this entry as a shard owner.
    pub fn owner_id(&self) -> ShardOwnerId {
        let info = self.info.read();
        ShardOwnerId { entry: info.name.clone(), incarnation: info.incarnation }
    }

    /// Returns the view. Check [`is_open`](Self::is_open) before acting on it.
    pub fn view(&self) -> Arc<ClusterView> {
        self.view.read().clone()
    }

    /// Replaces the view.
    pub fn set_view(&self, view: Arc<ClusterView>) {
        *self.view.write() = view;
    }

    /// Returns whether new work may start now.
    pub fn is_open(&self) -> bool {
        self.gate.is_open(Instant::now())
    }

    /// Calls a function with the entry's random number generator, which is locked meanwhile.
    pub fn with_rng<T>(&self, function: impl FnOnce(&mut SmallRng) -> T) -> T {
        function(&mut self.rng.lock())
    }

    /// Records an event about a request.
    pub fn record_call(&self, kind: EventKind, request: uuid::Uuid, detail: String) {
        let tags = EventTags { request: Some(request.to_string()), ..EventTags::default() };
        self.timeline.record(kind, tags, detail);
    }

    /// Records an event about a server.
    pub fn record_server(&self, kind: EventKind, server: &ServerName, detail: String) {
        let tags = EventTags { server: Some(server.to_string()), ..EventTags::default() };
        self.timeline.record(kind, tags, detail);
    }
}

/// The version of a registry before its first change.
pub(crate) const INITIAL_VERSION: RegistryVersion = RegistryVersion(0);

/// Returns the time left until a deadline in whole milliseconds, at least 1.
pub(crate) fn remaining_ms(deadline: Instant) -> u32 {
    let remaining = deadline.saturating_duration_since(Instant::now()).as_millis();
    remaining.clamp(1, u128::from(u32::MAX)) as u32
}

/// Returns a duration in whole milliseconds, limited to `u32::MAX`.
pub(crate) fn duration_ms(duration: Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
