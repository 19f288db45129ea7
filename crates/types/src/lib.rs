//! Types shared by all packages: ids, names, the configuration model, the replicated view and the
//! commands that change it.
//!
//! This package performs no I/O and reads no clock, so that every process interprets a value in the
//! same way.

mod call;
mod change;
mod claim;
mod document;
mod entry_info;
mod names;
mod outcome;
mod quarantine;
mod registry;
mod request_fingerprint;
mod routing;
mod server_info;
mod state;
mod view;
mod view_log;

pub use call::{CallAnswer, CallRequest, HeaderField, header};
pub use change::{
    ChangeAction, ChangeAnswer, ChangeDigest, ChangeId, ChangeRequest, DocumentVersion, RefusalKind,
};
pub use claim::{
    AttemptId, CLAIM_EXPIRY_MS, CLAIM_RETENTION_MS, CLOCK_SKEW_LIMIT_MS, ClaimAnswer, ClaimKey,
    ClaimRelease, ClaimRequest, ClaimResult, LogTime,
};
pub use document::{DocumentError, NonRepeatableRule, ServiceSpec, TeamDocument};
pub use entry_info::{EntryIncarnation, EntryInfo};
pub use names::{DomainName, EntryName, HostName, NameError, ServerName, ServiceName, TeamName};
pub use outcome::CallOutcome;
pub use quarantine::{
    BLOCKING_CRASHES, CrashLedger, CrashReport, QUARANTINE_MS, QuarantineChange, QuarantineStage,
    RequestReport,
};
pub use registry::{
    OwnerHeartbeat, RegistryChange, RegistryDelta, RegistryRequest, RegistryVersion, ServerRecord,
    ServerStage, ShardOwnerId, SuspectKind, SuspectReport,
};
pub use request_fingerprint::{HeadHash, RequestFingerprint};
pub use routing::{
    CallerLimits, PoolSpec, RoutePart, RouteSpec, RouteTable, RoutingDocument, RoutingError,
    RoutingPatch, RoutingVersion,
};
pub use server_info::{Announcement, AnnouncementError, ServerIncarnation, ServerState};
pub use state::{
    AnnounceDecision, ClusterState, Command, CommandAnswer, RoutingDecision, SourceText,
    StateViolation,
};
pub use view::{
    ClusterView, RANGE_COUNT, RangeIndex, RangeLease, ViewChange, ViewError, ViewUpdate,
    ViewVersion, server_range,
};
pub use view_log::{VIEW_LOG_LIMIT, ViewLog};

use std::time::Duration;

/// Maximum age of the replicated view at which an entry may still start new work.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(2);
