//! Messages between shard owners and the other entries about the servers that the owners manage.

use crate::{Announcement, EntryIncarnation, EntryName, ServerIncarnation, ServerName};
use serde::{Deserialize, Serialize};

/// Version of a shard owner's registry of servers, incremented by each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RegistryVersion(pub u64);

/// Which entries may send requests to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerStage {
    /// Only its shard owner sends it requests.
    Cold,
    /// All entries send it requests.
    Warm,
    /// No entry sends it new requests.
    Leaving,
}

/// A server in the registry of its shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// The latest announcement of the server.
    pub announcement: Announcement,
    /// Which entries may send requests to the server.
    pub stage: ServerStage,
}

/// Identifies one incarnation of a shard owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardOwnerId {
    /// The entry.
    pub entry: EntryName,
    /// The incarnation of the entry; registry versions are comparable only within one.
    pub incarnation: EntryIncarnation,
}

/// Heartbeat that every shard owner sends to every entry once per heartbeat period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    /// The owner.
    pub owner: ShardOwnerId,
    /// The version of the owner's registry.
    pub version: RegistryVersion,
}

/// Requests the changes of a shard owner's registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryRequest {
    /// The owner's incarnation as the requester knows it. An owner with another incarnation answers
    /// with its whole registry.
    pub incarnation: EntryIncarnation,
    /// The version that the requester holds.
    pub since: RegistryVersion,
}

/// One difference between two versions of a registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// A server is new or has changed.
    Put(ServerRecord),
    /// A server was removed.
    Remove(ServerName),
}

/// Changes of a shard owner's registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryDelta {
    /// The owner.
    pub owner: ShardOwnerId,
    /// Whether the changes start from an empty registry instead of the requested version.
    pub is_whole: bool,
    /// The changes to apply.
    pub changes: Vec<RegistryChange>,
    /// The version after the changes; lower than the registry's if more changes must be pulled.
    pub version: RegistryVersion,
}

/// Reports to a shard owner that another entry suspects that a server has restarted, is leaving or
/// is unreachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The server.
    pub server: ServerName,
    /// The incarnation of the suspected server.
    pub incarnation: ServerIncarnation,
    /// The reason for the suspicion.
    pub kind: SuspectKind,
}

/// Why a server is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SuspectKind {
    /// An answer carried another incarnation, or connections were lost; the server may be cold.
    Restarted,
    /// The server declared that it is leaving.
    Leaving,
    /// A connection was refused or could not be opened, or a probe was not answered in time.
    Unreachable,
}
