//! Replica status for operators.

use consensus::{Member, ReplicaId};
use serde::{Deserialize, Serialize};
use types::{EntryInfo, ViewVersion};

/// Status of a replica, as reported by itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity stored in the replica's data folder.
    pub id: ReplicaId,
    /// Whether the replica has a membership; false with an empty data folder.
    pub is_initialised: bool,
    /// Whether the replica is the leader.
    pub is_leader: bool,
    /// Whether writes to the disk fail. The replica then rejects requests and takes no part in
    /// consensus.
    pub is_stalled: bool,
    /// Current term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub commit: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// All members of the group. Only the leader reports their lag.
    pub members: Vec<MemberStatus>,
    /// Version of the view.
    pub view: ViewVersion,
    /// Number of retained claims.
    pub claims: usize,
    /// All registered entries. Only the leader reports their views and ages.
    pub entries: Vec<EntryStatus>,
}

/// The members of the group, as known to one replica. Unlike [`ReplicaStatus`], small enough to be
/// requested several times a second.
#[derive(Debug, Clone)]
pub struct MemberList {
    /// Identity stored in the replica's data folder.
    pub id: ReplicaId,
    /// Whether the replica has a membership; false with an empty data folder.
    pub is_initialised: bool,
    /// Whether the replica is the leader.
    pub is_leader: bool,
    /// Whether the replica knows the current leader.
    pub has_leader: bool,
    /// All members of the group. Only the leader reports their lag and activity.
    pub members: Vec<MemberStatus>,
}

/// Status of a member, as tracked by the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity, address and role of the member.
    pub member: Member,
    /// Number of log entries that the member has not acknowledged.
    pub lag: Option<u64>,
    /// Whether the member has answered recently.
    pub is_active: Option<bool>,
}

/// Status of an entry, as tracked by the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Identity and addresses of the entry.
    pub info: EntryInfo,
    /// Version of the entry's view.
    pub view: Option<ViewVersion>,
    /// Time since the last contact with the entry, in milliseconds.
    pub age_ms: Option<u64>,
}
