//! What operators see of a replica.

use consensus::{Member, ReplicaId};
use serde::{Deserialize, Serialize};
use types::{EntryInfo, ViewVersion};

/// A replica's own account.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity bound to its disk.
    pub id: ReplicaId,
    /// It has a set of replicas; false on an empty disk.
    pub is_initialised: bool,
    /// It leads.
    pub is_leader: bool,
    /// The disk refuses writes, so the replica takes no part.
    pub is_stalled: bool,
    /// Current term.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// The leader, as far as known.
    pub leader: Option<ReplicaId>,
    /// All replicas as far as known; lag is known to the leader only.
    pub members: Vec<MemberStatus>,
    /// Version of the view.
    pub view: ViewVersion,
    /// Claims remembered.
    pub claims: usize,
    /// All entries; ages are known to the leader only.
    pub entries: Vec<EntryStatus>,
}

/// One member as the leader sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identity and address.
    pub member: Member,
    /// Entries that it lacks.
    pub lag: Option<u64>,
    /// It answered lately.
    pub is_active: Option<bool>,
}

/// One entry as the leader sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Identity and addresses.
    pub info: EntryInfo,
    /// Version of its view.
    pub view: Option<ViewVersion>,
    /// Time since it was last heard of, in milliseconds.
    pub age_ms: Option<u64>,
}
