//! The time line: events with hybrid logical time in a bounded ring.
//!
//! Hybrid logical time (Kulkarni et al., 2014) follows the wall clock and is carried by every
//! message between processes, so that merged events stand in causal order.

use crate::wall_clock_ms;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, fmt, sync::Arc};

/// The number of events that a process remembers.
const RING_LIMIT: usize = 16_384;

/// Wall clock with a counter for events within one millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order within the millisecond.
    pub counter: u32,
}

impl HybridTime {
    /// Returns the time of the next local event.
    fn next(self, wall_ms: u64) -> Self {
        if wall_ms > self.wall_ms {
            Self { wall_ms, counter: 0 }
        } else {
            Self { wall_ms: self.wall_ms, counter: self.counter + 1 }
        }
    }
}

macro_rules! event_kinds {
    ($($(#[$doc:meta])* $kind:ident = $text:literal,)*) => {
        /// What happened.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum EventKind {
            $($(#[$doc])* $kind,)*
        }

        impl EventKind {
            /// Returns the name used on pages.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $text,)*
                }
            }
        }
    };
}

event_kinds! {
    /// An entry took a request in.
    CallReceived = "call-received",
    /// An entry sent a request to a server.
    CallSent = "call-sent",
    /// A try failed and another follows.
    CallRetried = "call-retried",
    /// An entry sent a second copy of a repeatable request.
    CallHedged = "call-hedged",
    /// An entry handed a request over to another entry.
    CallForwarded = "call-forwarded",
    /// An entry answered a request.
    CallAnswered = "call-answered",
    /// A claim was asked for and decided.
    ClaimDecided = "claim-decided",
    /// A claim was given up.
    ClaimReleased = "claim-released",
    /// A change of the configuration was decided.
    ChangeDecided = "change-decided",
    /// A change came into force at an entry.
    ChangeInForce = "change-in-force",
    /// An entry opened to new work or closed.
    EntryOpened = "entry-opened",
    /// An entry closed to new work.
    EntryClosed = "entry-closed",
    /// A replica began to lead.
    LeaderElected = "leader-elected",
    /// A replica stopped leading.
    LeaderLost = "leader-lost",
    /// The set of replicas changed.
    MembershipChanged = "membership-changed",
    /// A server announced another state.
    ServerAnnounced = "server-announced",
    /// A server became warm.
    ServerWarm = "server-warm",
    /// A server left, or its lease ran out.
    ServerGone = "server-gone",
    /// A server was found slow, failing or cold without warning.
    ServerSuspected = "server-suspected",
    /// A process began its planned stop.
    StopBegun = "stop-begun",
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What an event is about.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventTags {
    /// Request id.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<String>,
    /// Change id.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub change: Option<String>,
    /// Server name.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub server: Option<String>,
    /// Failure domain.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub domain: Option<String>,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// When it happened.
    pub time: HybridTime,
    /// The process that saw it.
    pub process: Arc<str>,
    /// What happened.
    pub kind: EventKind,
    /// What it is about.
    pub tags: EventTags,
    /// Details for people.
    pub detail: String,
}

/// Selects events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineFilter {
    /// Only events after this wall time, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub since_ms: u64,
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this change.
    pub change: Option<String>,
    /// Only events of this server.
    pub server: Option<String>,
    /// Only events of this failure domain.
    pub domain: Option<String>,
}

impl TimelineFilter {
    /// Says whether an event is selected.
    pub fn matches(&self, event: &EventRecord) -> bool {
        let is_same =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        event.time.wall_ms >= self.since_ms
            && is_same(&self.request, &event.tags.request)
            && is_same(&self.change, &event.tags.change)
            && is_same(&self.server, &event.tags.server)
            && is_same(&self.domain, &event.tags.domain)
    }
}

#[derive(Debug, Default)]
struct EventRing {
    last: HybridTime,
    events: VecDeque<EventRecord>,
}

/// The events of one process.
#[derive(Debug, Clone)]
pub struct EventTimeline {
    process: Arc<str>,
    ring: Arc<Mutex<EventRing>>,
}

impl EventTimeline {
    /// Returns an empty time line.
    pub fn new(process: &str) -> Self {
        Self { process: process.into(), ring: Arc::default() }
    }

    /// Records an event that happens now.
    pub fn record(&self, kind: EventKind, tags: EventTags, detail: String) {
        let wall_ms = wall_clock_ms();
        let mut ring = self.ring.lock();
        let time = ring.last.next(wall_ms);
        ring.last = time;
        if ring.events.len() == RING_LIMIT {
            ring.events.pop_front();
        }
        let process = self.process.clone();
        ring.events.push_back(EventRecord { time, process, kind, tags, detail });
    }

    /// Returns the time to send along with a message.
    pub fn stamp(&self) -> HybridTime {
        let mut ring = self.ring.lock();
        ring.last = ring.last.next(wall_clock_ms());
        ring.last
    }

    /// Takes over the time received with a message.
    pub fn observe(&self, time: HybridTime) {
        let mut ring = self.ring.lock();
        ring.last = ring.last.max(time);
    }

    /// Returns the selected events, oldest first.
    pub fn select(&self, filter: &TimelineFilter) -> Vec<EventRecord> {
        self.ring.lock().events.iter().filter(|event| filter.matches(event)).cloned().collect()
    }
}
