//! The event timeline: a bounded ring buffer of events with hybrid logical timestamps.
//!
//! A hybrid logical clock (Kulkarni et al., 2014) follows the wall clock, and its time is sent with
//! every message between processes. The merged events of all processes are thus in causal order.

use crate::wall_clock_ms;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, fmt, sync::Arc};

/// Maximum number of events that a process keeps; the oldest are discarded.
const MAX_EVENTS: usize = 16_384;

/// Hybrid logical time: the wall clock, and a counter that orders events within one millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order of the event within the millisecond.
    pub counter: u32,
}

impl HybridTime {
    /// Returns the time of the next local event: `wall_ms` if it is later than `self`, or else the
    /// time of `self` with the next counter.
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
        /// The kind of an event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum EventKind {
            $($(#[$doc])* $kind,)*
        }

        impl EventKind {
            /// Returns the name used in output and in serialized events.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $text,)*
                }
            }
        }
    };
}

event_kinds! {
    /// An entry received a request.
    CallReceived = "call-received",
    /// An entry sent a request to a server.
    CallSent = "call-sent",
    /// An attempt failed and the entry retries the request.
    CallRetried = "call-retried",
    /// An entry hedged: it sent a second copy of an idempotent request.
    CallHedged = "call-hedged",
    /// An entry forwarded a request to another entry.
    CallForwarded = "call-forwarded",
    /// An entry answered a request.
    CallAnswered = "call-answered",
    /// A request for a claim was decided.
    ClaimDecided = "claim-decided",
    /// A claim was released.
    ClaimReleased = "claim-released",
    /// A configuration change was decided.
    ChangeDecided = "change-decided",
    /// A configuration change took effect at an entry.
    ChangeInForce = "change-in-force",
    /// An entry opened to new work.
    EntryOpened = "entry-opened",
    /// An entry closed to new work.
    EntryClosed = "entry-closed",
    /// A replica became the leader.
    LeaderElected = "leader-elected",
    /// A replica ceased to be the leader.
    LeaderLost = "leader-lost",
    /// The set of replicas changed.
    MembershipChanged = "membership-changed",
    /// A server announced a different state.
    ServerAnnounced = "server-announced",
    /// A server became warm.
    ServerWarm = "server-warm",
    /// A server departed, or its lease expired.
    ServerGone = "server-gone",
    /// A server was found to be slow, failing, or cold without an announcement.
    ServerSuspected = "server-suspected",
    /// A process began its planned stop.
    StopBegun = "stop-begun",
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The objects that an event concerns, by which events are selected.
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
    /// When the event happened.
    pub time: HybridTime,
    /// The process that recorded the event.
    pub process: Arc<str>,
    /// Kind of the event.
    pub kind: EventKind,
    /// The objects that the event concerns.
    pub tags: EventTags,
    /// Details in human-readable form.
    pub detail: String,
}

/// A filter for events. A field that is `None` matches all events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineFilter {
    /// Only events at or after this wall-clock time, in milliseconds since the Unix epoch.
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
    /// Returns whether the filter selects an event.
    pub fn matches(&self, event: &EventRecord) -> bool {
        let is_match =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        event.time.wall_ms >= self.since_ms
            && is_match(&self.request, &event.tags.request)
            && is_match(&self.change, &event.tags.change)
            && is_match(&self.server, &event.tags.server)
            && is_match(&self.domain, &event.tags.domain)
    }
}

#[derive(Debug, Default)]
struct EventBuffer {
    /// The latest time that was assigned or received.
    last: HybridTime,
    events: VecDeque<EventRecord>,
}

/// The events of one process.
#[derive(Debug, Clone)]
pub struct EventTimeline {
    process: Arc<str>,
    buffer: Arc<Mutex<EventBuffer>>,
}

impl EventTimeline {
    /// Returns an empty timeline.
    pub fn new(process: &str) -> Self {
        Self { process: process.into(), buffer: Arc::default() }
    }

    /// Records an event at the current time.
    pub fn record(&self, kind: EventKind, tags: EventTags, detail: String) {
        let wall_ms = wall_clock_ms();
        let mut buffer = self.buffer.lock();
        let time = buffer.last.next(wall_ms);
        buffer.last = time;
        if buffer.events.len() == MAX_EVENTS {
            buffer.events.pop_front();
        }
        let process = self.process.clone();
        buffer.events.push_back(EventRecord { time, process, kind, tags, detail });
    }

    /// Advances the clock and returns the time to send with a message.
    pub fn stamp(&self) -> HybridTime {
        let mut buffer = self.buffer.lock();
        buffer.last = buffer.last.next(wall_clock_ms());
        buffer.last
    }

    /// Advances the clock to the time received with a message, if that is later.
    pub fn observe(&self, time: HybridTime) {
        let mut buffer = self.buffer.lock();
        buffer.last = buffer.last.max(time);
    }

    /// Returns the selected events, oldest first.
    pub fn select(&self, filter: &TimelineFilter) -> Vec<EventRecord> {
        self.buffer.lock().events.iter().filter(|event| filter.matches(event)).cloned().collect()
    }
}
