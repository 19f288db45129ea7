//! Services used by all parts of a process: settings, clock and timers, logging, metrics, the event
//! timeline, and streams with limits.

mod logging;
mod metered_stream;
mod metrics;
mod priority_queue;
mod settings;
mod timeline;
mod timer;

pub use logging::{LogFormat, root_logger};
pub use metered_stream::{MeteredStream, NoProgress, ReadMeter};
pub use metrics::{DecisionCounters, MetricsRegistry};
pub use priority_queue::{ClassSettings, PriorityQueue, QueueBatch};
pub use prometheus_client::metrics::histogram::Histogram;
pub use settings::{ProcessRole, ProcessSettings, ReplicaAddress, SettingsError};
pub use slog::Logger;
pub use timeline::{EventKind, EventRecord, EventTags, EventTimeline, HybridTime, TimelineFilter};
pub use timer::{TimerService, TimerSubscription, wall_clock_ms};
