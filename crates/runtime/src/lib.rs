//! Services used by all parts of a process: settings, clock and timers, logging, metrics, and the
//! event timeline.

mod logging;
mod metrics;
mod priority_queue;
mod settings;
mod timeline;
mod timer;

pub use logging::{LogFormat, root_logger};
pub use metrics::{DecisionCounters, MetricsRegistry};
pub use priority_queue::{ClassSettings, PriorityQueue, QueueBatch};
pub use prometheus_client::metrics::histogram::Histogram;
pub use settings::{ProcessRole, ProcessSettings, ReplicaAddress, SettingsError};
pub use slog::Logger;
pub use timeline::{EventKind, EventRecord, EventTags, EventTimeline, HybridTime, TimelineFilter};
pub use timer::{TimerService, TimerSubscription, wall_clock_ms};
