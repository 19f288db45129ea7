//! Vocabulary shared by every package: ids, names, the configuration model, the replicated view
//! and the commands that change it.
//!
//! Nothing here performs I/O or reads a clock, so that all processes agree on what a value means.

mod call;
mod change;
mod claim;
mod document;
mod entry_info;
mod names;
mod outcome;
mod registry;
mod routing;
mod server_info;
mod state;
mod view;

pub use call::{CallAnswer, CallRequest, HeaderField, header};
pub use change::{
    ChangeAction, ChangeAnswer, ChangeDigest, ChangeId, ChangeRequest, DocumentVersion, RefusalKind,
};
pub use claim::{
    AttemptId, CLAIM_FORGET_AFTER_MS, CLAIM_RETENTION_MS, CLOCK_SKEW_LIMIT_MS, ClaimAnswer,
    ClaimKey, ClaimRelease, ClaimRequest, ClaimResult, LogTime,
};
pub use document::{DocumentError, NonRepeatableRule, ServiceSpec, TeamDocument};
pub use entry_info::{EntryIncarnation, EntryInfo};
pub use names::{DomainName, EntryName, HostName, NameError, ServerName, ServiceName, TeamName};
pub use outcome::CallOutcome;
pub use registry::{
    OwnerBeat, RegistryChange, RegistryDelta, RegistryRequest, RegistryVersion, ServerRecord,
    ServerStage, ShardOwnerId, SuspectKind, SuspectReport,
};
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
    ClusterView, RANGE_COUNT, RangeIndex, RangeLease, VIEW_LOG_LIMIT, ViewChange, ViewError,
    ViewUpdate, ViewVersion, server_range,
};

use std::time::Duration;

/// The greatest age of the replicated view on which an entry may start new work.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(2);
